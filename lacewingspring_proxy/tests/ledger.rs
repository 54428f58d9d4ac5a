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
    store::{Batch, Era, Lease, Page, Revision, Store, StoreError},
};
use support::{CHARGE, host, host_among, open_link, open_link_of, slot_request};
use tokio::{
    sync::mpsc::UnboundedReceiver,
    time::{sleep, timeout},
};

mod support;

/// Time in which a large use of a limit must be published.
const MAX_PUBLICATION_DELAY: Duration = Duration::from_millis(250);

/// Time in which a large use of a limit must be stored.
const MAX_STORE_DELAY: Duration = Duration::from_millis(350);

/// Store that is empty; it answers no write, or counts those of each key, and counts the reads.
#[derive(Default)]
struct EmptyStore {
    is_silent: bool,
    puts: Mutex<HashMap<String, u64>>,
    reads: Mutex<HashMap<String, u64>>,
}

impl EmptyStore {
    fn puts(&self, key: &str) -> u64 {
        self.puts.lock().expect("is not poisoned").get(key).copied().unwrap_or_default()
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

    async fn put(&self, key: &str, _: Bytes, _: Option<Lease>) -> Result<(), StoreError> {
        if self.is_silent {
            pending::<()>().await;
        }
        *self.puts.lock().expect("is not poisoned").entry(key.into()).or_default() += 1;
        Ok(())
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
