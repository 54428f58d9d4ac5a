//! Records of a gate in the key-value service of which some writes are executed late.

use std::{
    collections::{BTreeMap, VecDeque},
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_core::{
    dispatch::{BlockedRequest, HandOver, UpstreamInfo},
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::{
    clock,
    gate::{host::GateHost, ledger::Ledger, message::ToGate},
    store::{Batch, Era, Item, Lease, Page, Revision, Store, StoreError},
};
use serde_json::Value;
use support::{host, open_link};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

mod support;

const HAND_OVER: &str = "lacewingspring/hand-over";

const VERSION: &str = "lacewingspring/versions/models/v1";

/// Time by which a late write is executed: the next one, half a second later, has been by then.
const LATE: Duration = Duration::from_millis(1_500);

/// Time for which a caller waits for an answer, with a margin.
const UNANSWERED: Duration = Duration::from_millis(800);

#[derive(Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// How late the next writes of a key are executed; none of them is answered.
    late: BTreeMap<&'static str, VecDeque<Duration>>,
    calls: usize,
}

impl Content {
    fn write(
        &mut self,
        key: &str,
        value: Bytes,
        expected: Option<Revision>,
    ) -> Result<Revision, StoreError> {
        let present = self.items.get(key);
        if present.map(|item| item.revision) != expected {
            return Err(StoreError::Conflict(present.cloned()));
        }
        self.revision += 1;
        let revision = rev(self.revision);
        let created_revision = present.map_or(revision, |item| item.created_revision);
        let item = Item { key: key.to_owned(), value, revision, created_revision };
        self.items.insert(key.to_owned(), item);
        Ok(revision)
    }
}

/// Store some of whose writes are late.
#[derive(Clone, Debug, Default)]
struct LateStore(Arc<Mutex<Content>>);

impl LateStore {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.lock().expect("no test panics holding it")
    }

    fn value(&self, key: &str) -> Value {
        let content = self.content();
        let value =
            content.items.get(key).and_then(|item| serde_json::from_slice(&item.value).ok());
        value.unwrap_or_default()
    }

    fn delay_next_write(&self, key: &'static str, delay: Duration) {
        self.content().late.entry(key).or_default().push_back(delay);
    }

    fn writes_anew(&self, key: &str, value: &str) {
        let mut content = self.content();
        let expected = content.items.get(key).map(|item| item.revision);
        let value = Bytes::copy_from_slice(value.as_bytes());
        content.write(key, value, expected).expect("the revision is the present one");
    }
}

impl Store for LateStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn range(&self, prefix: &str, _: Option<&str>) -> Result<Page, StoreError> {
        let content = self.content();
        let items = content.items.values().filter(|item| item.key.starts_with(prefix));
        let items = items.cloned().collect();
        Ok(Page { items, has_more: false, revision: rev(content.revision) })
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Batch, StoreError> {
        pending().await
    }

    async fn grant_lease(&self, _: Duration) -> Result<Lease, StoreError> {
        pending().await
    }

    async fn keep_lease(&self, _: Lease) -> Result<(), StoreError> {
        pending().await
    }

    async fn end_lease(&self, _: Lease) -> Result<(), StoreError> {
        pending().await
    }

    async fn put_if(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Revision>,
        _: Option<Lease>,
    ) -> Result<Revision, StoreError> {
        self.content().calls += 1;
        let delay = self.content().late.get_mut(key).and_then(VecDeque::pop_front);
        if let Some(delay) = delay {
            let (store, key) = (self.clone(), key.to_owned());
            tokio::spawn(async move {
                sleep(delay).await;
                // The condition may not hold any more.
                let _ = store.content().write(&key, value, expected);
            });
            return pending().await;
        }
        self.content().write(key, value, expected)
    }
}

fn rev(number: u64) -> Revision {
    Revision { era: Era::default(), number }
}

fn start(store: &LateStore, host: &Arc<GateHost>) -> JoinHandle<()> {
    tokio::spawn(Ledger { store: Arc::new(store.clone()), host: host.clone() }.run())
}

/// Tells the gate that requests with these digests crash upstreams.
fn block(host: &GateHost, link: u64, fingerprints: &[u64]) {
    let blocked = fingerprints.iter();
    let blocked =
        blocked.map(|fingerprint| BlockedRequest { fingerprint: *fingerprint, left_ms: 600_000 });
    let hand_over = HandOver { blocked_requests: blocked.collect(), ..HandOver::default() };
    let hand_over = Arc::new(hand_over);
    host.handle(clock::now(), link, ToGate::HandOver { hand_over, age: Duration::ZERO });
}

fn blocked_requests(store: &LateStore) -> usize {
    store.value(HAND_OVER)["blocked_requests"].as_array().map_or(0, Vec::len)
}

async fn wait_until<F>(condition: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let holds = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let in_time = timeout(Duration::from_secs(8), holds).await;
    assert!(in_time.is_ok(), "timed out waiting for {condition}");
}

/// Guards against a successor that lets requests through which crash upstreams, as the record of
/// an earlier moment was written late.
#[tokio::test]
async fn a_late_write_does_not_replace_a_later_hand_over() {
    let (store, host) = (LateStore::default(), host());
    let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let ledger = start(&store, &host);
    store.delay_next_write(HAND_OVER, LATE);
    block(&host, link, &[1]);
    wait_until("the late write", || store.content().late[HAND_OVER].is_empty()).await;
    block(&host, link, &[1, 2]);
    sleep(UNANSWERED).await;
    wait_until("the later write", || blocked_requests(&store) == 2).await;
    sleep(LATE).await;
    assert_eq!(blocked_requests(&store), 2, "{:?}", store.value(HAND_OVER));
    ledger.abort();
}

/// Guards against a hand-over that is never stored, as another gate has stored one meanwhile.
#[tokio::test]
async fn a_hand_over_is_stored_although_another_gate_has_stored_one() {
    let (store, host) = (LateStore::default(), host());
    let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let ledger = start(&store, &host);
    block(&host, link, &[1]);
    wait_until("the hand-over", || blocked_requests(&store) == 1).await;
    store.writes_anew(HAND_OVER, "{}");
    block(&host, link, &[1, 2]);
    wait_until("the later write", || blocked_requests(&store) == 2).await;
    ledger.abort();
}

/// Guards against calls of a new gate that are rejected because it does not know the revisions of
/// the records that it has just read.
#[tokio::test]
async fn a_new_gate_replaces_a_record_with_one_call() {
    let (store, host) = (LateStore::default(), host());
    store.writes_anew(HAND_OVER, "{}");
    let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let ledger = start(&store, &host);
    wait_until("the version", || !store.value(VERSION).is_null()).await;
    let calls = store.content().calls;
    block(&host, link, &[1]);
    wait_until("the hand-over", || blocked_requests(&store) == 1).await;
    assert_eq!(store.content().calls, calls + 1);
    ledger.abort();
}

fn upstream() -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from("u"),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: 1_000,
        memory_tokens: 100_000,
        draining: false,
        started_at_ms: 1,
    }
}

/// Guards against a successor that does not know at which version streams began, as the record that
/// the version has left was written after it came back.
#[tokio::test]
async fn a_late_write_does_not_remove_a_version_that_came_back() {
    let (store, host) = (LateStore::default(), host());
    let _link = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let ledger = start(&store, &host);
    let has_left = || store.value(VERSION)["has_left"].as_bool();
    wait_until("the version to be recorded", || has_left() == Some(false)).await;
    store.delay_next_write(VERSION, LATE);
    let long_ago = clock::now() - Duration::from_secs(7_200);
    host.set_upstreams(long_ago, []);
    wait_until("the late write", || store.content().late[VERSION].is_empty()).await;
    let revision = store.content().revision;
    host.set_upstreams(clock::now(), [upstream()]);
    sleep(UNANSWERED).await;
    wait_until("the next write", || store.content().revision > revision).await;
    sleep(LATE).await;
    assert_eq!(has_left(), Some(false), "the version serves");
    ledger.abort();
}
