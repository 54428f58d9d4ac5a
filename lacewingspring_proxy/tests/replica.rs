//! Copies of what the key-value service holds, followed at the service or at the gate.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
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
    mirror::Mirror,
    replica::{ByTopic, FRESH, Replicas, Topic, Update},
    store::{Batch, Change, Item, LeaseId, Page, Store, StoreError},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{sleep, timeout},
};

const SOON: Duration = Duration::from_millis(100);

/// A service whose watches find nothing; it holds one key, or as many pages of one.
#[derive(Debug, Default)]
struct Quiet {
    watches: AtomicUsize,
    reads: AtomicUsize,
    /// Pages beyond the first.
    more_pages: usize,
    /// Whether each second read is turned away.
    is_pressed: bool,
}

impl Store for Quiet {
    async fn range(&self, _: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let read = self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_pressed && read % 2 == 1 {
            return Err(StoreError::Refused(429));
        }
        let number = after.map_or(0, |after| after.len());
        let key = "a".repeat(number + 1);
        Ok(Page { items: vec![item(&key, 5)], has_more: number < self.more_pages, revision: 5 })
    }

    async fn watch(&self, _: &str, after: u64, wait: Duration) -> Result<Batch, StoreError> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        sleep(wait).await;
        Ok(Batch { changes: Vec::new(), revision: after })
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn keep_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn end_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn put(&self, _: &str, _: Bytes, _: Option<LeaseId>) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }
}

fn item(key: &str, revision: u64) -> Item {
    let value = Bytes::from_static(b"value");
    Item { key: key.into(), value, revision, created_revision: revision }
}

fn put(key: &str, revision: u64) -> Change {
    Change::Put(item(key, revision))
}

fn deleted(key: &str, revision: u64) -> Change {
    Change::Deleted { key: key.into(), revision }
}

fn update(from: u64, changes: Vec<Change>) -> Update {
    let revision = changes.last().map_or(from, Change::revision);
    Update { topic: Topic::Members, from, revision, grace: Duration::ZERO, changes }
}

fn keys(mirror: &Mirror) -> Vec<String> {
    mirror.items().map(|item| item.key.clone()).collect()
}

#[test]
fn tells_what_changed_after_a_revision_it_covers() {
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, vec![item("a", 2), item("b", 4)], 4);
    let changes = vec![put("c", 5), deleted("a", 7), put("b", 8)];
    mirror.apply(Duration::ZERO, Batch { changes, revision: 9 });
    let after = |revision| mirror.changes_after(revision);
    assert_eq!(after(3), None, "what was deleted before it was read is not known");
    let all = vec![put("c", 5), deleted("a", 7), put("b", 8)];
    assert_eq!(after(4), Some(Batch { changes: all, revision: 9 }));
    assert_eq!(after(7), Some(Batch { changes: vec![put("b", 8)], revision: 9 }));
    assert_eq!(after(9), Some(Batch { changes: Vec::new(), revision: 9 }));
}

#[test]
fn a_copy_that_follows_another_ends_up_alike() {
    let now = Duration::ZERO;
    let mut first = Mirror::default();
    first.load(now, vec![item("a", 2)], 2);
    let mut second = Mirror::default();
    second.load(now, vec![item("a", 2)], 2);
    first.apply(now, Batch { changes: vec![put("b", 3), deleted("a", 4)], revision: 4 });
    let told = first.changes_after(2).expect("it is covered");
    second.apply(
        now,
        Batch { changes: vec![put("b", 3), deleted("a", 4), put("a", 6)], revision: 6 },
    );
    second.apply(now, told);
    assert_eq!(keys(&second), ["a", "b"], "an old deletion takes nothing that is newer");
    first.apply(now, Batch { changes: vec![put("a", 6)], revision: 6 });
    assert_eq!(keys(&first), keys(&second));
}

#[test]
fn forgets_deletions_beyond_a_bound_and_says_so() {
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, Vec::new(), 1);
    let changes = (2..3_000).map(|revision| deleted("a", revision)).collect();
    mirror.apply(Duration::ZERO, Batch { changes, revision: 3_000 });
    assert_eq!(mirror.changes_after(1), None);
    assert_eq!(mirror.changes_after(2_999).map(|batch| batch.changes.len()), Some(0));
}

/// Follows the members at a quiet service; tells the keys after each change.
fn follow(replicas: &Arc<Replicas>, store: &Arc<Quiet>) -> Arc<Mutex<Vec<Vec<String>>>> {
    let seen: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    let told = seen.clone();
    let on_change = move |_: Duration, mirror: &Mirror| {
        told.lock().expect("no test panics with the lock").push(keys(mirror));
    };
    let follow = Follower::new(store.clone(), replicas.clone(), Topic::Members, "", on_change);
    tokio::spawn(follow.run());
    seen
}

#[tokio::test]
async fn a_fresh_proof_stands_for_watching_the_service() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(Quiet::default());
    let replica = replicas.of(Topic::Members);
    replica.prove(clock::now());
    let seen = follow(&replicas, &store);
    sleep(SOON).await;
    replica.tell(update(5, vec![put("b", 6)]));
    sleep(SOON).await;
    let seen = seen.lock().expect("no test panics with the lock").clone();
    assert_eq!(seen, [vec!["a"], vec!["a", "b"]]);
    assert_eq!(store.watches.load(Ordering::Relaxed), 0, "the gate told all");
    sleep(FRESH).await;
    assert!(store.watches.load(Ordering::Relaxed) > 0, "an old proof stands for nothing");
}

#[tokio::test]
async fn reads_again_what_lies_between_updates() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(Quiet::default());
    replicas.of(Topic::Members).prove(clock::now());
    follow(&replicas, &store);
    sleep(SOON).await;
    replicas.of(Topic::Members).tell(update(7, vec![put("b", 8)]));
    sleep(SOON).await;
    assert_eq!(store.reads.load(Ordering::Relaxed), 2);
}

/// A gate whose copy of the members was read at revision 5, confirmed `age` ago.
fn host(age: Duration) -> (Arc<GateHost>, Arc<Replicas>) {
    host_with(age, None)
}

/// The same on a machine whose link carries so many bytes a second.
fn host_with(age: Duration, link_bytes: Option<f64>) -> (Arc<GateHost>, Arc<Replicas>) {
    let replicas = Arc::new(Replicas::default());
    let replica = replicas.of(Topic::Members);
    replica.mirror().load(Duration::ZERO, vec![item("a", 5)], 5);
    replica.set_loaded(true);
    replica.confirm(clock::now() - age);
    let host = Arc::new(GateHost::new(SharedMembers::default(), replicas.clone(), link_bytes));
    (host, replicas)
}

fn ping(number: u64, at: u64) -> ToGate {
    let mut follow = ByTopic::default();
    *follow.get_mut(Topic::Members) = Some(at);
    ToGate::Ping { number, follow }
}

async fn next(rx: &mut UnboundedReceiver<FromGate>) -> FromGate {
    timeout(Duration::from_secs(5), rx.recv()).await.expect("in time").expect("the link is open")
}

#[tokio::test]
async fn a_gate_tells_changes_before_it_proves_that_all_were_told() {
    let (host, replicas) = host(Duration::from_secs(9));
    tokio::spawn(host.clone().push_updates());
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    host.handle(clock::now(), link, ping(1, 5));
    let FromGate::Pong { number: 1, ages } = next(&mut rx).await else { panic!("no answer") };
    let age = ages.get(Topic::Members).expect("the copy is told");
    assert!(age >= Duration::from_secs(9), "a gate that is cut off can prove nothing new: {age:?}");
    assert_eq!(*ages.get(Topic::Declared), None, "that topic isn't followed here");
    sleep(SOON).await;

    let batch = Batch { changes: vec![put("b", 7)], revision: 7 };
    replicas.of(Topic::Members).mirror().apply(Duration::ZERO, batch);
    replicas.changed();
    let FromGate::Update(told) = next(&mut rx).await else { panic!("no update") };
    assert_eq!((told.from, told.revision, &*told.changes), (5, 7, [put("b", 7)].as_slice()));

    // The link has not taken the update yet; it is not told twice.
    host.handle(clock::now(), link, ping(2, 5));
    assert!(matches!(next(&mut rx).await, FromGate::Pong { number: 2, .. }));
}

#[tokio::test]
async fn a_gate_proves_nothing_to_a_link_that_it_can_not_tell_all() {
    let (host, replicas) = host(Duration::ZERO);
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    host.handle(clock::now(), link, ping(1, 4));
    let FromGate::Pong { ages, .. } = next(&mut rx).await else { panic!("no answer") };
    assert_eq!(*ages.get(Topic::Members), None, "deletions before revision 5 are not known");
    assert!(replicas.is_followed());
    host.handle(clock::now(), link, ToGate::Ping { number: 2, follow: ByTopic::default() });
    assert!(!replicas.is_followed());
}

#[tokio::test]
async fn reads_on_where_a_page_was_turned_away() {
    let replicas = Arc::new(Replicas::default());
    let store = Arc::new(Quiet { more_pages: 4, is_pressed: true, ..Quiet::default() });
    replicas.of(Topic::Members).prove(clock::now());
    let seen = follow(&replicas, &store);
    sleep(Duration::from_millis(2_500)).await;
    let seen = seen.lock().expect("no test panics with the lock").clone();
    assert_eq!(seen.first().map(Vec::len), Some(5), "all five pages");
    assert_eq!(store.reads.load(Ordering::Relaxed), 9, "no page is read twice");
}

#[tokio::test]
async fn a_gate_tells_no_more_than_its_link_carries() {
    // A quarter of 1,600 bytes a second for half a second: 200 bytes, two changes with two keys.
    let (host, replicas) = host_with(Duration::ZERO, Some(1_600.0));
    let mut links = Vec::new();
    for _ in 0..10 {
        let (tx, mut rx) = unbounded_channel();
        let link = host.connect(tx);
        host.handle(clock::now(), link, ping(1, 5));
        assert!(matches!(next(&mut rx).await, FromGate::Pong { .. }));
        links.push((link, rx));
    }
    let batch = Batch { changes: vec![put("a", 6), put("b", 7)], revision: 7 };
    replicas.of(Topic::Members).mirror().apply(Duration::ZERO, batch);
    let (mut told, mut proved) = (0, 0);
    for (link, rx) in &mut links {
        host.handle(clock::now(), *link, ping(2, 5));
        if let FromGate::Update(_) = next(rx).await {
            told += 1;
            continue;
        }
        host.handle(clock::now(), *link, ping(3, 5));
        let FromGate::Pong { ages, .. } = next(rx).await else { panic!("no answer") };
        proved += usize::from(ages.get(Topic::Members).is_some());
    }
    assert_eq!((told, proved), (2, 0), "what is not told is not proved");
}

#[test]
fn a_gate_tells_usage_to_a_few_instances() {
    let (host, _) = host(Duration::ZERO);
    let mut links = Vec::new();
    for _ in 0..30 {
        let (tx, rx) = unbounded_channel();
        host.connect(tx);
        links.push(rx);
    }
    host.tell_usage(clock::now());
    host.tell_usage(clock::now());
    let told = links.iter_mut().map(|rx| rx.try_recv());
    let told = told.filter(|told| matches!(told, Ok(FromGate::Usage(_))));
    assert_eq!(told.count(), 10, "the word of a few is enough for the next gate");
}
