//! Replicas of the key-value service's content, kept up to date from the service or from the gate.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_proxy::{
    clock,
    follow::Follower,
    gate::{
        host::GateHost,
        message::{FromGate, ToGate},
    },
    members::SharedMembers,
    mirror::{LEASE_EXPIRY_GRACE, Mirror},
    replica::{ByTopic, MAX_CONFIRMED_AGE, Replicas, Topic, Update},
    store::{Batch, Change, Era, Item, Lease, Page, Revision, Store, StoreError},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{sleep, timeout},
};

/// Time for spawned tasks to process updates.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Store whose watches find no changes; each page of a read holds one key.
#[derive(Debug, Default)]
struct IdleStore {
    watches: AtomicUsize,
    reads: AtomicUsize,
    /// Number of pages after the first.
    more_pages: usize,
    /// Era of the answers.
    era: AtomicU64,
    /// Whether every second read is rejected.
    is_overloaded: bool,
}

impl IdleStore {
    fn revision(&self, number: u64) -> Revision {
        Revision { era: self.era(), number }
    }
}

impl Store for IdleStore {
    fn era(&self) -> Era {
        Era(self.era.load(Ordering::Relaxed))
    }

    async fn range(&self, _: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let read = self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_overloaded && read % 2 == 1 {
            return Err(StoreError::Refused(429));
        }
        let number = after.map_or(0, |after| after.len());
        let key = "a".repeat(number + 1);
        Ok(Page {
            items: vec![item(&key, 5)],
            has_more: number < self.more_pages,
            revision: self.revision(5),
        })
    }

    async fn watch(&self, _: &str, after: Revision, wait: Duration) -> Result<Batch, StoreError> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        sleep(wait).await;
        Ok(Batch { changes: Vec::new(), revision: self.revision(after.number) })
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
        std::future::pending().await
    }
}

fn rev(number: u64) -> Revision {
    Revision { era: Era::default(), number }
}

fn item(key: &str, number: u64) -> Item {
    let value = Bytes::from_static(b"value");
    Item { key: key.into(), value, revision: rev(number), created_revision: rev(number) }
}

fn put(key: &str, revision: u64) -> Change {
    Change::Put(item(key, revision))
}

fn deleted(key: &str, revision: u64) -> Change {
    Change::Deleted { key: key.into(), revision: rev(revision) }
}

fn update(after: u64, changes: Vec<Change>) -> Update {
    let after = rev(after);
    let revision = changes.last().map_or(after, Change::revision);
    Update { topic: Topic::Members, after, revision, grace: Duration::ZERO, changes }
}

fn keys(mirror: &Mirror) -> Vec<String> {
    mirror.items().map(|item| item.key.clone()).collect()
}

#[test]
fn returns_the_changes_after_a_covered_revision() {
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, vec![item("a", 2), item("b", 4)], rev(4));
    let changes = vec![put("c", 5), deleted("a", 7), put("b", 8)];
    mirror.apply(Duration::ZERO, Batch { changes, revision: rev(9) });
    let after = |number| mirror.changes_after(rev(number));
    assert_eq!(after(3), None, "deletions before the copy was read are not known");
    let all = vec![put("c", 5), deleted("a", 7), put("b", 8)];
    assert_eq!(after(4), Some(Batch { changes: all, revision: rev(9) }));
    assert_eq!(after(7), Some(Batch { changes: vec![put("b", 8)], revision: rev(9) }));
    assert_eq!(after(9), Some(Batch { changes: Vec::new(), revision: rev(9) }));
}

/// The gate reports deletions and current keys only. A copy that is ahead must not lose a key that
/// was deleted and written again.
#[test]
fn copies_converge_if_one_follows_the_other() {
    let now = Duration::ZERO;
    let mut first = Mirror::default();
    first.load(now, vec![item("a", 2)], rev(2));
    let mut second = Mirror::default();
    second.load(now, vec![item("a", 2)], rev(2));
    first.apply(now, Batch { changes: vec![put("b", 3), deleted("a", 4)], revision: rev(4) });
    let received = first.changes_after(rev(2)).expect("the revision is covered");
    second.apply(
        now,
        Batch { changes: vec![put("b", 3), deleted("a", 4), put("a", 6)], revision: rev(6) },
    );
    second.apply(now, received);
    assert_eq!(keys(&second), ["a", "b"], "a deletion does not remove a newer key");
    first.apply(now, Batch { changes: vec![put("a", 6)], revision: rev(6) });
    assert_eq!(keys(&first), keys(&second));
}

#[test]
fn returns_no_changes_after_dropped_deletions() {
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, Vec::new(), rev(1));
    let changes = (2..3_000).map(|revision| deleted("a", revision)).collect();
    mirror.apply(Duration::ZERO, Batch { changes, revision: rev(3_000) });
    assert_eq!(mirror.changes_after(rev(1)), None);
    assert_eq!(mirror.changes_after(rev(2_999)).map(|batch| batch.changes.len()), Some(0));
}

/// Follows the members at an idle store; returns the list of keys after each change.
fn follow(replicas: &Arc<Replicas>, store: &Arc<IdleStore>) -> Arc<Mutex<Vec<Vec<String>>>> {
    let seen: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    let sink = seen.clone();
    let on_change = move |_: Duration, mirror: &Mirror| {
        sink.lock().expect("the lock is not poisoned").push(keys(mirror));
    };
    let follow = Follower::new(store.clone(), replicas.clone(), Topic::Members, "", on_change);
    tokio::spawn(follow.run());
    seen
}

#[tokio::test]
async fn a_recent_gate_confirmation_replaces_watching_the_service() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(IdleStore::default());
    let replica = replicas.get(Topic::Members);
    replica.confirm_by_gate(clock::now());
    let seen = follow(&replicas, &store);
    sleep(SETTLE_TIME).await;
    replica.push_update(update(5, vec![put("b", 6)]));
    sleep(SETTLE_TIME).await;
    let seen = seen.lock().expect("the lock is not poisoned").clone();
    assert_eq!(seen, [vec!["a"], vec!["a", "b"]]);
    assert_eq!(store.watches.load(Ordering::Relaxed), 0, "the gate sent all changes");
    sleep(MAX_CONFIRMED_AGE).await;
    assert!(
        store.watches.load(Ordering::Relaxed) > 0,
        "an old confirmation does not replace watching"
    );
}

/// Changes between the revision of the copy and the start of an update would be lost.
#[tokio::test]
async fn reads_all_keys_again_after_a_gap_between_updates() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(IdleStore::default());
    replicas.get(Topic::Members).confirm_by_gate(clock::now());
    follow(&replicas, &store);
    sleep(SETTLE_TIME).await;
    replicas.get(Topic::Members).push_update(update(7, vec![put("b", 8)]));
    sleep(SETTLE_TIME).await;
    assert_eq!(store.reads.load(Ordering::Relaxed), 2);
}

/// Host whose copy of the members was read at revision 5 and confirmed `age` ago.
fn host(age: Duration) -> (Arc<GateHost>, Arc<Replicas>) {
    host_with(age, None)
}

/// As [`host`], on a machine with a bandwidth of `link_bytes_per_s`.
fn host_with(age: Duration, link_bytes_per_s: Option<f64>) -> (Arc<GateHost>, Arc<Replicas>) {
    let replicas = Arc::new(Replicas::default());
    let replica = replicas.get(Topic::Members);
    replica.mirror().load(Duration::ZERO, vec![item("a", 5)], rev(5));
    replica.set_loaded(true);
    replica.confirm(clock::now() - age);
    let host =
        Arc::new(GateHost::new(SharedMembers::default(), replicas.clone(), link_bytes_per_s));
    (host, replicas)
}

fn ping(number: u64, revision: u64) -> ToGate {
    let mut follow = ByTopic::default();
    *follow.get_mut(Topic::Members) = Some(rev(revision));
    ToGate::Ping { number, follow }
}

async fn next(rx: &mut UnboundedReceiver<FromGate>) -> FromGate {
    timeout(Duration::from_secs(5), rx.recv())
        .await
        .expect("a message arrives in time")
        .expect("the link is open")
}

/// A confirmation that overtakes a change would make the instance trust an outdated copy.
#[tokio::test]
async fn a_host_sends_changes_before_it_confirms_its_age() {
    let (host, replicas) = host(Duration::from_secs(9));
    tokio::spawn(host.clone().push_updates());
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    host.handle(clock::now(), link, ping(1, 5));
    let FromGate::Pong { number: 1, ages } = next(&mut rx).await else { panic!("expected a pong") };
    let age = ages.get(Topic::Members).expect("the topic is sent over this link");
    assert!(
        age >= Duration::from_secs(9),
        "a gate that is cut off confirms only the old state: {age:?}"
    );
    assert_eq!(*ages.get(Topic::Declared), None, "the topic is not followed here");
    sleep(SETTLE_TIME).await;

    let batch = Batch { changes: vec![put("b", 7)], revision: rev(7) };
    replicas.get(Topic::Members).mirror().apply(Duration::ZERO, batch);
    replicas.notify_changed();
    let FromGate::Update(received) = next(&mut rx).await else { panic!("expected an update") };
    assert_eq!(
        (received.after, received.revision, &*received.changes),
        (rev(5), rev(7), [put("b", 7)].as_slice())
    );

    // The link's revision does not include the update yet; it is not sent again.
    host.handle(clock::now(), link, ping(2, 5));
    assert!(matches!(next(&mut rx).await, FromGate::Pong { number: 2, .. }));
}

#[tokio::test]
async fn a_host_does_not_confirm_a_topic_with_unknown_deletions() {
    let (host, replicas) = host(Duration::ZERO);
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    host.handle(clock::now(), link, ping(1, 4));
    let FromGate::Pong { ages, .. } = next(&mut rx).await else { panic!("expected a pong") };
    assert_eq!(*ages.get(Topic::Members), None, "deletions before revision 5 are not known");
    assert!(replicas.is_followed());
    host.handle(clock::now(), link, ToGate::Ping { number: 2, follow: ByTopic::default() });
    assert!(!replicas.is_followed());
}

/// When many instances read a large topic at once, the service rejects some calls; starting over
/// each time would never finish.
#[tokio::test]
async fn retries_a_rejected_page_without_reading_others_again() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(IdleStore { more_pages: 4, is_overloaded: true, ..IdleStore::default() });
    replicas.get(Topic::Members).confirm_by_gate(clock::now());
    let seen = follow(&replicas, &store);
    sleep(Duration::from_millis(2_500)).await;
    let seen = seen.lock().expect("the lock is not poisoned").clone();
    assert_eq!(seen.first().map(Vec::len), Some(5), "all five pages are read");
    assert_eq!(store.reads.load(Ordering::Relaxed), 9, "no page is read twice");
}

/// Updates to a large fleet must leave bandwidth for requests; a link that gets no update must not
/// get a confirmation either.
#[tokio::test]
async fn a_host_sends_no_more_updates_than_its_bandwidth_allows() {
    // A quarter of 1,600 bytes/s for half a second is 200 bytes: enough for two updates of two
    // keys.
    let (host, replicas) = host_with(Duration::ZERO, Some(1_600.0));
    let mut links = Vec::new();
    for _ in 0..10 {
        let (tx, mut rx) = unbounded_channel();
        let link = host.connect(tx);
        host.handle(clock::now(), link, ping(1, 5));
        assert!(matches!(next(&mut rx).await, FromGate::Pong { .. }));
        links.push((link, rx));
    }
    let batch = Batch { changes: vec![put("a", 6), put("b", 7)], revision: rev(7) };
    replicas.get(Topic::Members).mirror().apply(Duration::ZERO, batch);
    let (mut received, mut confirmed) = (0, 0);
    for (link, rx) in &mut links {
        host.handle(clock::now(), *link, ping(2, 5));
        if let FromGate::Update(_) = next(rx).await {
            received += 1;
            continue;
        }
        host.handle(clock::now(), *link, ping(3, 5));
        let FromGate::Pong { ages, .. } = next(rx).await else { panic!("expected a pong") };
        confirmed += usize::from(ages.get(Topic::Members).is_some());
    }
    assert_eq!((received, confirmed), (2, 0), "a topic whose update was not sent is not confirmed");
}

#[test]
fn a_host_sends_usage_to_a_few_instances() {
    let (host, _) = host(Duration::ZERO);
    let mut links = Vec::new();
    for _ in 0..30 {
        let (tx, rx) = unbounded_channel();
        host.connect(tx);
        links.push(rx);
    }
    host.publish_usage(clock::now());
    host.publish_usage(clock::now());
    let received = links.iter_mut().map(|rx| rx.try_recv());
    let received = received.filter(|received| matches!(received, Ok(FromGate::Usage(_))));
    assert_eq!(received.count(), 10, "the usage from a few instances is enough for the next gate");
}

/// Revisions go back when the service is restored from a copy.
#[test]
fn a_change_of_a_later_era_replaces_one_with_a_higher_number() {
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, vec![item("a", 90), item("b", 80)], rev(100));
    let later = |number| Revision { era: Era(1), number };
    let restored =
        Item { value: Bytes::from_static(b"older"), revision: later(50), ..item("a", 0) };
    mirror.load(Duration::ZERO, vec![restored], later(60));
    let value = |mirror: &Mirror| {
        let found = mirror.items().find(|item| item.key == "a").map(|item| item.value.clone());
        found.expect("the key exists")
    };
    assert_eq!(value(&mirror), "older");
    assert_eq!(keys(&mirror), ["a", "b"], "what the copy lacks may be written again");
    let written = Item { value: Bytes::from_static(b"again"), revision: later(61), ..item("a", 0) };
    let batch = Batch { changes: vec![Change::Put(written)], revision: later(61) };
    assert!(mirror.apply(Duration::ZERO, batch));
    assert_eq!(value(&mirror), "again");
    assert!(
        !mirror.apply(Duration::ZERO, Batch { changes: vec![put("a", 99)], revision: rev(99) })
    );
    assert_eq!(value(&mirror), "again", "a late change of the era before is not applied");
    assert_eq!(mirror.changes_after(rev(95)), None, "a follower of the era before reads anew");
    mirror.remove_expired(LEASE_EXPIRY_GRACE);
    assert_eq!(keys(&mirror), ["a"], "a key that was not written again is gone");
}

/// A watch that goes on in a later era lacks the changes between.
#[tokio::test]
async fn reads_all_keys_again_after_a_watch_of_a_later_era() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(IdleStore::default());
    replicas.set_followed(true);
    follow(&replicas, &store);
    sleep(SETTLE_TIME).await;
    assert_eq!(store.reads.load(Ordering::Relaxed), 1);
    store.era.store(1, Ordering::Relaxed);
    sleep(Duration::from_millis(800)).await;
    assert_eq!(store.reads.load(Ordering::Relaxed), 2);
    assert_eq!(replicas.get(Topic::Members).revision(), Some(store.revision(5)));
}

/// A long watch confirms the copy only at its end.
#[tokio::test]
async fn confirms_a_copy_on_request_by_a_call_of_its_own() {
    let (store, replicas) = (Arc::new(IdleStore::default()), Arc::new(Replicas::default()));
    let follower =
        Follower::new(store.clone(), replicas.clone(), Topic::Upstreams, "servers/", |_, _| {});
    tokio::spawn(follower.run());
    sleep(SETTLE_TIME).await;
    let replica = replicas.get(Topic::Upstreams);
    let mut confirmations = replica.confirmations();
    let requested_at = clock::now();
    assert!(*confirmations.borrow_and_update() < requested_at);
    replica.request_confirmation();
    sleep(SETTLE_TIME).await;
    assert!(*confirmations.borrow() >= requested_at);
    assert_eq!(store.watches.load(Ordering::Relaxed), 3, "a watch, the confirmation, a watch");
}

#[tokio::test]
async fn confirms_a_copy_that_follows_the_gate_on_request() {
    let (store, replicas) = (Arc::new(IdleStore::default()), Arc::new(Replicas::default()));
    let follower =
        Follower::new(store.clone(), replicas.clone(), Topic::Upstreams, "servers/", |_, _| {});
    let replica = replicas.get(Topic::Upstreams);
    replica.confirm_by_gate(clock::now());
    tokio::spawn(follower.run());
    sleep(SETTLE_TIME).await;
    assert_eq!(store.watches.load(Ordering::Relaxed), 0);
    let requested_at = clock::now();
    replica.request_confirmation();
    sleep(SETTLE_TIME).await;
    assert!(*replica.confirmations().borrow() >= requested_at);
    assert_eq!(store.watches.load(Ordering::Relaxed), 1);
}

/// Guards against changes that are larger than a message may be, which would end the link.
#[tokio::test]
async fn a_host_sends_no_update_that_a_link_does_not_take() {
    let (host, replicas) = host(Duration::ZERO);
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    host.handle(clock::now(), link, ping(1, 5));
    assert!(matches!(next(&mut rx).await, FromGate::Pong { .. }));
    let change = |number: u64| {
        let value = Bytes::from(vec![0; 500_000]);
        Change::Put(Item { value, ..item(&number.to_string(), number) })
    };
    let batch = Batch { changes: (6..12).map(change).collect(), revision: rev(11) };
    replicas.get(Topic::Members).mirror().apply(Duration::ZERO, batch);
    host.handle(clock::now(), link, ping(2, 5));
    let FromGate::Pong { number: 2, ages } = next(&mut rx).await else {
        panic!("an update of 3 MB was sent")
    };
    assert_eq!(*ages.get(Topic::Members), None, "the instance watches the service itself");
    let batch = Batch { changes: vec![put("b", 12)], revision: rev(12) };
    replicas.get(Topic::Members).mirror().apply(Duration::ZERO, batch);
    host.handle(clock::now(), link, ping(3, 11));
    assert!(matches!(next(&mut rx).await, FromGate::Update(_)), "small updates go on");
}
