//! A gate publishes and stores at once what it hands out of a limit.

use std::{
    collections::HashMap,
    future::pending,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_core::dispatch::StoredUsage;
use lacewingspring_proxy::{
    clock,
    gate::{host::GateHost, ledger::Ledger, message::FromGate},
    record_checks::RETRY_DELAY,
    store::{Batch, Era, Lease, Page, Revision, Store, StoreError},
};
use support::{CHARGE, host, host_among, open_link, open_link_of, slot_request};
use tokio::{
    sync::mpsc::UnboundedReceiver,
    task::JoinHandle,
    time::{sleep, timeout},
};

mod support;

/// Time in which a large use of a limit must be published.
const MAX_PUBLICATION_DELAY: Duration = Duration::from_millis(250);

/// Time in which a large use of a limit must be stored.
const MAX_STORE_DELAY: Duration = Duration::from_millis(350);

/// Keys, or prefixes of keys, of the records that a gate reads.
const RECORDS: [&str; 5] = [
    "lacewingspring/usage",
    "lacewingspring/hand-over",
    "lacewingspring/streams",
    "lacewingspring/recent-streams",
    "lacewingspring/versions/",
];

/// Places in [`RECORDS`].
const USAGE: usize = 0;
const VERSIONS: usize = 4;

/// Store that is empty; it answers no write, or counts those of each key, and counts the reads.
#[derive(Default)]
struct EmptyStore {
    is_silent: bool,
    /// Whether reads are rejected, of all records or of one only.
    rejects: Mutex<Rejects>,
    puts: Mutex<HashMap<String, u64>>,
    reads: Mutex<HashMap<String, u64>>,
}

/// Reads that the store rejects.
#[derive(Clone, Copy, Default, PartialEq)]
enum Rejects {
    #[default]
    Nothing,
    Everything,
    Only(&'static str),
}

impl EmptyStore {
    fn set_rejects(&self, rejects: Rejects) {
        *self.rejects.lock().expect("is not poisoned") = rejects;
    }

    fn all_reads(&self) -> [u64; 5] {
        RECORDS.map(|key| self.reads(key))
    }

    fn puts(&self, key: &str) -> u64 {
        self.puts.lock().expect("is not poisoned").get(key).copied().unwrap_or_default()
    }

    /// Counts a write of a key; returns the number of those so far.
    fn count_put(&self, key: &str) -> u64 {
        let mut puts = self.puts.lock().expect("is not poisoned");
        let count = puts.entry(key.into()).or_default();
        *count += 1;
        *count
    }

    fn reads(&self, key: &str) -> u64 {
        self.reads.lock().expect("is not poisoned").get(key).copied().unwrap_or_default()
    }
}

impl Store for EmptyStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn range(&self, key: &str, _: Option<&str>) -> Result<Page, StoreError> {
        *self.reads.lock().expect("is not poisoned").entry(key.into()).or_default() += 1;
        match *self.rejects.lock().expect("is not poisoned") {
            Rejects::Everything => return Err(StoreError::Refused(503)),
            Rejects::Only(rejected) if rejected == key => return Err(StoreError::Refused(503)),
            _ => {}
        }
        Ok(Page { items: Vec::new(), has_more: false, revision: Revision::default() })
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
        _: Bytes,
        _: Option<Revision>,
        _: Option<Lease>,
    ) -> Result<Revision, StoreError> {
        if self.is_silent {
            pending::<()>().await;
        }
        Ok(Revision { era: Era::default(), number: self.count_put(key) })
    }
}

/// Returns the next published usage.
async fn next_published(rx: &mut UnboundedReceiver<FromGate>) -> Vec<StoredUsage> {
    loop {
        if let FromGate::Usage(usage) = rx.recv().await.expect("the link is open") {
            return usage;
        }
    }
}

fn units(usage: &[StoredUsage]) -> u64 {
    usage.iter().flat_map(|usage| &usage.steps).map(|(_, units)| units).sum()
}

/// Returns the units in the next published usage.
async fn next_usage(rx: &mut UnboundedReceiver<FromGate>) -> u64 {
    units(&next_published(rx).await)
}

/// Starts a gate with one link; returns it with the messages over that link.
fn start(store: &Arc<EmptyStore>) -> (Arc<GateHost>, u64, UnboundedReceiver<FromGate>) {
    let host = host();
    let (link, rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    tokio::spawn(Ledger { store: store.clone(), host: host.clone() }.run());
    (host, link, rx)
}

/// Uses a twentieth of the window's limit.
fn use_limit(host: &GateHost, link: u64, round: u64) {
    for number in 0..5 {
        let number = round * 10 + number;
        host.handle(clock::now(), link, slot_request(number));
    }
}

#[tokio::test]
async fn publishes_usage_while_the_store_is_silent() {
    let store = Arc::new(EmptyStore { is_silent: true, ..EmptyStore::default() });
    let (host, link, mut rx) = start(&store);
    for round in 1..=4 {
        use_limit(&host, link, round);
        let published = timeout(MAX_PUBLICATION_DELAY, async {
            while next_usage(&mut rx).await < round * 5 * CHARGE {}
        });
        published.await.unwrap_or_else(|_| panic!("the usage of round {round} was not published"));
    }
}

#[tokio::test]
async fn stores_a_large_use_of_a_limit_at_once() {
    let store = Arc::new(EmptyStore::default());
    let (host, link, _rx) = start(&store);
    sleep(Duration::from_secs(1)).await;
    for round in 1..=4 {
        let puts = store.puts("lacewingspring/usage");
        use_limit(&host, link, round);
        let stored = timeout(MAX_STORE_DELAY, async {
            while store.puts("lacewingspring/usage") == puts {
                sleep(Duration::from_millis(5)).await;
            }
        });
        stored.await.unwrap_or_else(|_| panic!("the usage of round {round} was not stored"));
    }
}

/// The gate loses its only link just when a publication is due and a write is under way.
#[tokio::test]
async fn publishes_usage_after_it_was_not_the_gate_for_a_moment() {
    let store = Arc::new(EmptyStore { is_silent: true, ..EmptyStore::default() });
    let (host, mut link, mut rx) = start(&store);
    sleep(Duration::from_secs(1)).await;
    for round in 1..=4 {
        use_limit(&host, link, round);
        let mut told = next_published(&mut rx).await;
        while units(&told) < round * 5 * CHARGE {
            told = next_published(&mut rx).await;
        }
        let told_at = clock::now();
        sleep(Duration::from_millis(900)).await;
        host.disconnect(clock::now(), link);
        sleep(Duration::from_millis(250)).await;
        (link, rx) = open_link(&host, told, clock::now() - told_at);
        let published = timeout(Duration::from_secs(3), next_usage(&mut rx));
        assert!(published.await.is_ok(), "nothing was published in round {round}");
    }
}

/// Returns how often an instance of a fleet of three reads each record of streams within a second.
async fn stream_reads(is_linked_to_itself: bool) -> [u64; 2] {
    let store = Arc::new(EmptyStore::default());
    let host = host_among(&["i0", "i1", "i2"]);
    let _link =
        is_linked_to_itself.then(|| open_link_of("i0", &host, Vec::new(), Duration::from_secs(9)));
    tokio::spawn(Ledger { store: store.clone(), host: host.clone() }.run());
    sleep(Duration::from_secs(1)).await;
    ["lacewingspring/streams", "lacewingspring/recent-streams"].map(|key| store.reads(key))
}

/// Guards against calls to the key-value service that grow with the fleet at each restart.
#[tokio::test]
async fn an_instance_that_grants_no_slots_reads_no_streams() {
    assert_eq!(stream_reads(false).await, [0, 0]);
}

/// Guards against streams that can't go on at an instance that reaches no other one.
#[tokio::test]
async fn an_instance_that_grants_slots_alone_reads_the_streams() {
    assert_eq!(stream_reads(true).await, [1, 1]);
}

/// Starts a gate of a fleet of one whose store begins to reject reads when it has started.
async fn start_new_gate(rejects: Rejects) -> (Arc<EmptyStore>, impl Drop) {
    let store = Arc::new(EmptyStore::default());
    let host = host();
    let ledger = tokio::spawn(Ledger { store: store.clone(), host: host.clone() }.run());
    sleep(Duration::from_millis(200)).await;
    store.set_rejects(rejects);
    store.reads.lock().expect("is not poisoned").clear();
    let link = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    (store, Ended { ledger, _link: link })
}

/// Ends a ledger when it is dropped.
struct Ended {
    ledger: JoinHandle<()>,
    _link: (u64, UnboundedReceiver<FromGate>),
}

impl Drop for Ended {
    fn drop(&mut self) {
        self.ledger.abort();
    }
}

/// Guards against reads of several records that each check whether the store is back, and against
/// a gate that uses a record which it has not read since it began.
#[tokio::test]
async fn one_read_checks_for_all_records_while_the_store_rejects_calls() {
    let (store, _gate) = start_new_gate(Rejects::Everything).await;
    let began_at = clock::now();
    sleep(Duration::from_secs(2)).await;
    let reads: u64 = store.all_reads().iter().sum();
    // The first read of each of two records is made at once, side by side.
    let max = (clock::now() - began_at).as_millis() as u64 / RETRY_DELAY.as_millis() as u64 + 2;
    println!("{reads} reads of records, {max} at most");
    assert!((4..=max).contains(&reads), "{reads} reads, {max} at most");

    store.reads.lock().expect("is not poisoned").clear();
    store.set_rejects(Rejects::Nothing);
    sleep(Duration::from_secs(1)).await;
    let reads = store.all_reads();
    assert!(reads.iter().all(|reads| *reads > 0), "records that are not read again: {reads:?}");
    // After a pause of the test process, a gate reads its records once more.
    assert!(reads.iter().all(|reads| *reads <= 2), "reads while the store responds: {reads:?}");
}

/// Guards against a record that is not read because the reads of another one fail.
#[tokio::test]
async fn records_are_read_while_the_store_rejects_the_reads_of_one() {
    // The ledger reads the first four one after another; a task of its own reads the versions.
    for rejected in [USAGE, VERSIONS] {
        let (store, _gate) = start_new_gate(Rejects::Everything).await;
        sleep(Duration::from_millis(500)).await;
        store.set_rejects(Rejects::Only(RECORDS[rejected]));
        let before = store.all_reads();
        sleep(Duration::from_secs(1)).await;
        let after = store.all_reads();
        let expected = if rejected == USAGE { VERSIONS..RECORDS.len() } else { USAGE..VERSIONS };
        for record in expected {
            assert_eq!(after[record], before[record] + 1, "{}", RECORDS[record]);
        }
        assert!(after[rejected] >= before[rejected] + 4, "the rejected read is repeated");
    }
}
