//! The size of a topic's copy is bounded, however its keys arrive.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_proxy::{
    clock,
    follow::Follower,
    replica::{Replica, Replicas, Topic, Update},
    store::{Batch, Change, Era, Item, Lease, Page, Revision, Store, StoreError},
};
use tokio::time::sleep;

/// Largest size, in bytes, of the copy.
const MAX_BYTES: usize = 20_000;

/// Size of each value, in bytes.
const VALUE_BYTES: usize = 1_000;

/// Keys whose values alone are larger than the copy may be.
const KEYS: u64 = 60;

/// Revision of the first read.
const START: u64 = 5;

/// Time for spawned tasks to process updates.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Time after which a failed read was tried again.
const RETRY_TIME: Duration = Duration::from_millis(2_500);

/// Time for which the gate confirms a copy; longer than a watch that is under way.
const CONFIRMED_TIME: Duration = Duration::from_secs(4);

/// Store with one key, to which keys are added one by one; a read has one key a page.
#[derive(Debug, Default)]
struct GrowingStore {
    /// Keys that were added.
    added: AtomicU64,
    /// Revision as of which they are deleted, 0 if they are not.
    deleted_at: AtomicU64,
}

impl GrowingStore {
    fn revision(&self) -> u64 {
        let deleted_at = self.deleted_at.load(Ordering::Relaxed);
        deleted_at.max(START + self.added.load(Ordering::Relaxed))
    }

    fn item_after(&self, after: Option<&str>) -> Option<Item> {
        let added = self.added.load(Ordering::Relaxed);
        let is_deleted = self.deleted_at.load(Ordering::Relaxed) > 0;
        let last = if is_deleted { START } else { START + added };
        let next = after.map_or(START, |key| key.parse::<u64>().expect("a number") + 1);
        (next <= last).then(|| item(next, Bytes::from(vec![0; VALUE_BYTES])))
    }
}

impl Store for GrowingStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn range(&self, _: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let items: Vec<Item> = self.item_after(after).into_iter().collect();
        let has_more = items.last().is_some_and(|item| self.item_after(Some(&item.key)).is_some());
        Ok(Page { items, has_more, revision: rev(self.revision()) })
    }

    async fn watch(&self, _: &str, after: Revision, wait: Duration) -> Result<Batch, StoreError> {
        let next = self.item_after(Some(&format!("{:09}", after.number)));
        if next.is_none() {
            sleep(wait).await;
        }
        let changes: Vec<Change> = next.into_iter().map(Change::Put).collect();
        let revision = changes.last().map_or(after, Change::revision);
        Ok(Batch { changes, revision })
    }

    async fn grant_lease(&self, _: Duration) -> Result<Lease, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn keep_lease(&self, _: Lease) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn end_lease(&self, _: Lease) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn put_if(
        &self,
        _: &str,
        _: Bytes,
        _: Option<Revision>,
        _: Option<Lease>,
    ) -> Result<Revision, StoreError> {
        Err(StoreError::Refused(503))
    }
}

fn rev(number: u64) -> Revision {
    Revision { era: Era::default(), number }
}

fn item(number: u64, value: Bytes) -> Item {
    let revision = rev(number);
    Item { key: format!("{number:09}"), value, revision, created_revision: revision }
}

fn update(number: u64, value: Bytes) -> Update {
    let changes = vec![Change::Put(item(number, value))];
    let (after, revision) = (rev(number - 1), rev(number));
    Update { topic: Topic::Upstreams, after, revision, grace: Duration::ZERO, changes }
}

fn copy_bytes(replica: &Replica) -> usize {
    replica.mirror().items().map(|item| item.key.len() + item.value.len()).sum()
}

fn follow(replicas: &Arc<Replicas>, store: &Arc<GrowingStore>) {
    let follower =
        Follower::new(store.clone(), replicas.clone(), Topic::Upstreams, "servers/", |_, _| {});
    tokio::spawn(follower.with_max_bytes(MAX_BYTES).run());
}

/// A value that shows, by the references to a counter, how many copies of it are held.
fn counted(counter: &Arc<()>) -> Bytes {
    struct Counted(Vec<u8>, #[allow(dead_code)] Arc<()>);
    impl AsRef<[u8]> for Counted {
        fn as_ref(&self) -> &[u8] {
            &self.0
        }
    }
    Bytes::from_owner(Counted(vec![0; VALUE_BYTES], counter.clone()))
}

/// Guards against keys that come one by one and are not counted, and against a copy that does not
/// follow the service again after the keys are deleted.
#[tokio::test]
async fn bounds_the_keys_that_watches_add() {
    let (store, replicas) = (Arc::new(GrowingStore::default()), Arc::new(Replicas::default()));
    follow(&replicas, &store);
    sleep(SETTLE_TIME).await;
    let replica = replicas.get(Topic::Upstreams);
    let mut max_bytes = 0;
    for number in 1..=KEYS {
        store.added.store(number, Ordering::Relaxed);
        sleep(Duration::from_millis(70)).await;
        max_bytes = max_bytes.max(copy_bytes(replica));
    }
    assert!(max_bytes <= MAX_BYTES, "{max_bytes} bytes, {MAX_BYTES} are allowed");
    assert!(max_bytes > 10 * VALUE_BYTES, "keys within the bound are added: {max_bytes}");
    assert!(copy_bytes(replica) > 10 * VALUE_BYTES, "the older copy stays in force");
    store.deleted_at.store(START + KEYS + 1, Ordering::Relaxed);
    sleep(RETRY_TIME).await;
    assert_eq!(replica.mirror().revision(), rev(START + KEYS + 1));
}

/// Guards against keys from the gate that are not counted.
#[tokio::test]
async fn bounds_the_keys_that_the_gate_sends() {
    let (store, replicas) = (Arc::new(GrowingStore::default()), Arc::new(Replicas::default()));
    let replica = replicas.get(Topic::Upstreams);
    replica.confirm_by_gate(clock::now());
    follow(&replicas, &store);
    sleep(SETTLE_TIME).await;
    let counter = Arc::new(());
    for number in 1..=KEYS {
        replica.push_update(update(START + number, counted(&counter)));
        replica.confirm_by_gate(clock::now());
        sleep(Duration::from_millis(5)).await;
    }
    sleep(SETTLE_TIME).await;
    let bytes = copy_bytes(replica);
    assert!(bytes <= MAX_BYTES, "{bytes} bytes, {MAX_BYTES} are allowed");
    let held = (Arc::strong_count(&counter) - 1) * VALUE_BYTES;
    assert!(held <= 2 * MAX_BYTES, "{held} bytes in the copy and in updates for it");
}

/// Guards against updates that pile up while their reader waits for the service, and against a copy
/// that is taken for complete although updates for it were dropped.
#[tokio::test]
async fn bounds_the_updates_that_wait() {
    let (store, replicas) = (Arc::new(GrowingStore::default()), Arc::new(Replicas::default()));
    let replica = replicas.get(Topic::Upstreams);
    follow(&replicas, &store);
    sleep(SETTLE_TIME).await;
    let counter = Arc::new(());
    for number in 1..=KEYS {
        // All change the same key, so that the copy stays small.
        let change = Item { key: "a".into(), ..item(START + number, counted(&counter)) };
        let update =
            Update { changes: vec![Change::Put(change)], ..update(START + number, Bytes::new()) };
        replica.push_update(update);
    }
    let held = (Arc::strong_count(&counter) - 1) * VALUE_BYTES;
    assert!(held <= MAX_BYTES, "{held} bytes wait, {MAX_BYTES} are allowed");
    store.deleted_at.store(START + KEYS, Ordering::Relaxed);
    let until = clock::now() + CONFIRMED_TIME;
    while clock::now() < until {
        replica.confirm_by_gate(clock::now());
        sleep(SETTLE_TIME).await;
    }
    assert_eq!(replica.mirror().revision(), rev(START + KEYS), "the missing keys were read");
}
