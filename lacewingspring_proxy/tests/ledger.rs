//! A gate publishes and stores at once what it hands out of a limit.

use std::{
    collections::HashMap,
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use lacewingspring_core::{
    dispatch::{End, Limits, Quota, QuotaBounds, SlotRequest, StoredUsage, UpstreamInfo, Work},
    names::{
        DataCentreName, InstanceName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName,
    },
};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        ledger::Ledger,
        message::{FromGate, ToGate, Trailing},
    },
    members::{Member, Members, SharedMembers},
    replica::Replicas,
    store::{Batch, Era, Lease, Page, Revision, Store, StoreError},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{sleep, timeout},
};

/// Units of each request; the limit of the window is 100 of them.
const CHARGE: u64 = 100;

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

/// Creates a gate that knows itself only.
fn host() -> Arc<GateHost> {
    host_among(&["i"])
}

/// Creates a gate in a fleet of these instances.
fn host_among(instances: &[&str]) -> Arc<GateHost> {
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    let member = |name: &&str| Member {
        instance: InstanceName::from(*name),
        incarnation: 1,
        data_centre: DataCentreName::from("a"),
        millicores: 500,
        caller_address: address,
        peer_address: address,
        is_leaving: false,
    };
    let members = instances.iter().map(|name| (Revision::default(), member(name)));
    let members = Members::from_iter(members);
    let members: SharedMembers = Arc::new(ArcSwap::from_pointee(members));
    let host = GateHost::new(members, Arc::new(Replicas::default()), None);
    host.on_members_changed(clock::now());
    let quota = Quota { rate: Some(1_000.0), burst: 2_000.0 };
    let quotas = HashMap::from([(WorkspaceName::from("w"), quota)]);
    let window = Duration::from_secs(8);
    host.set_limits(1, Limits { quotas: QuotaBounds { quotas, window }, ..Limits::default() });
    let upstream = UpstreamInfo {
        name: UpstreamName::from("u"),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address,
        data_centre: DataCentreName::from("a"),
        slots: 1_000,
        memory_tokens: 100_000,
        draining: false,
        started_at_ms: 1,
    };
    host.set_upstreams(clock::now(), [upstream]);
    Arc::new(host)
}

fn request() -> SlotRequest {
    SlotRequest {
        service: ServiceName::from("models"),
        class: Arc::from("a"),
        rank: 0,
        data_centre: DataCentreName::from("a"),
        workspace: Some(WorkspaceName::from("w")),
        work: Work::Plain,
        target_left: Duration::from_secs(1),
        time_left: Duration::from_secs(10),
        first_output_left: Duration::from_secs(10),
        charge: CHARGE,
        sends: 0,
        avoid: Vec::new(),
        fingerprint: 1,
        stream: None,
        software: None,
    }
}

/// Returns the message that asks for a slot.
fn slot_request(number: u64) -> ToGate {
    ToGate::RequestSlot { number, request: request(), quota: Trailing(None) }
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

/// Opens a link of the only instance, which was told the usage `usage_age` ago.
fn open_link(
    host: &GateHost,
    usage: Vec<StoredUsage>,
    usage_age: Duration,
) -> (u64, UnboundedReceiver<FromGate>) {
    open_link_of("i", host, usage, usage_age)
}

/// Opens a link of an instance, which was told the usage `usage_age` ago.
fn open_link_of(
    instance: &str,
    host: &GateHost,
    usage: Vec<StoredUsage>,
    usage_age: Duration,
) -> (u64, UnboundedReceiver<FromGate>) {
    let (tx, rx) = unbounded_channel();
    let link = host.connect(tx);
    let hello = ToGate::Hello { instance: InstanceName::from(instance), usage, usage_age };
    host.handle(clock::now(), link, hello);
    (link, rx)
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

/// Returns what became of a slot request.
fn fate(rx: &mut UnboundedReceiver<FromGate>, wanted: u64) -> Option<&'static str> {
    let mut fate = None;
    while let Ok(message) = rx.try_recv() {
        match message {
            FromGate::Granted { number, .. } if number == wanted => fate = Some("granted"),
            FromGate::Refused { number, .. } if number == wanted => fate = Some("refused"),
            _ => {}
        }
    }
    fate
}

/// Number of slot requests that were granted and refused.
#[derive(Debug, Default, PartialEq, Eq)]
struct Decided {
    granted: usize,
    refused: usize,
}

fn decided(rx: &mut UnboundedReceiver<FromGate>) -> Decided {
    let mut decided = Decided::default();
    while let Ok(message) = rx.try_recv() {
        match message {
            FromGate::Granted { .. } => decided.granted += 1,
            FromGate::Refused { .. } => decided.refused += 1,
            _ => {}
        }
    }
    decided
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

/// Requests of the gate's own callers come before the ends of its links.
#[test]
fn a_gate_that_stood_still_decides_nothing_before_it_knows_what_was_handed_out() {
    let host = host();
    let now = clock::now();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let ask = |now, number| {
        host.handle(now, link, slot_request(number));
    };
    for step in 0..40 {
        host.beat(now + Duration::from_millis(step * 50));
    }
    let frozen = now + Duration::from_millis(2_000);
    ask(frozen, 1);
    assert_eq!(fate(&mut rx, 1), Some("granted"));
    let awake = frozen + Duration::from_millis(2_300);
    ask(awake, 2);
    assert_eq!(fate(&mut rx, 2), None, "another gate may have handed out the limit");
    assert!(!host.serves_majority(awake), "it stores nothing over what another gate stored");
    ask(awake, 3);
    host.handle(awake, link, ToGate::End { number: 3, end: End::Cancelled });
    host.disconnect(awake, link);
    let steps = vec![(100, 100 * CHARGE)];
    let usage = vec![StoredUsage { workspace: WorkspaceName::from("w"), steps }];
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    let (instance, usage_age) = (InstanceName::from("i"), Duration::from_millis(50));
    host.handle(awake, link, ToGate::Hello { instance, usage, usage_age });
    host.handle(awake, link, slot_request(4));
    host.beat(awake + Duration::from_millis(50));
    assert_eq!(fate(&mut rx, 4), None);
    host.beat(awake + Duration::from_millis(100));
    assert_eq!(fate(&mut rx, 4), Some("refused"), "the limit is used up");
    assert!(host.serves_majority(awake + Duration::from_millis(100)));
}

#[test]
fn a_gate_that_stood_still_goes_on_with_what_it_knows_if_no_instance_left() {
    let host = host();
    let now = clock::now();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    host.beat(now);
    let awake = now + Duration::from_millis(400);
    host.handle(awake, link, slot_request(1));
    assert_eq!(fate(&mut rx, 1), None);
    host.beat(awake + Duration::from_millis(100));
    assert_eq!(fate(&mut rx, 1), Some("granted"));
}

/// An instance that just started decides for its callers before it is linked to the gate.
#[test]
fn a_gate_that_just_started_refuses_for_no_limit_before_it_may_know_the_usage() {
    let host = host();
    let now = clock::now();
    let later = |ms| now + Duration::from_millis(ms);
    host.beat(now);
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    for number in 0..30 {
        host.handle(later(10), link, slot_request(number));
    }
    assert_eq!(decided(&mut rx), Decided { granted: 20, refused: 0 }, "2,000 units are free");
    host.beat(later(100));
    assert_eq!(decided(&mut rx).refused, 0);
    host.beat(later(310));
    let last = decided(&mut rx);
    assert!(last.refused > 0, "a limit that is used up is kept");
    assert_eq!(last.granted + last.refused, 10);
}

/// After a kill of all others, the instance that lives hands out its part only until they link.
#[test]
fn the_gate_of_a_minority_refuses_for_no_limit_while_others_link() {
    let host = host_among(&["i0", "i1", "i2", "i3", "i4"]);
    let now = clock::now();
    let later = |ms| now + Duration::from_millis(ms);
    let usage = vec![StoredUsage { workspace: WorkspaceName::from("w"), steps: Vec::new() }];
    for ago in (0..=20).rev() {
        host.beat(now - Duration::from_millis(50 * ago));
    }
    let (link, mut rx) = open_link_of("i0", &host, usage.clone(), Duration::ZERO);
    for number in 0..30 {
        host.handle(later(10), link, slot_request(number));
    }
    let before = decided(&mut rx);
    assert!(before.granted < 30 && before.refused == 0, "{before:?}");
    for other in ["i1", "i2", "i3", "i4"] {
        open_link_of(other, &host, usage.clone(), Duration::ZERO);
    }
    host.beat(later(50));
    assert_eq!(decided(&mut rx), Decided { granted: 30 - before.granted, refused: 0 });
}

/// A process with too little processor time stands still for 0.3 s again and again.
#[test]
fn a_gate_that_pauses_again_and_again_still_decides() {
    let host = host();
    let now = clock::now();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    host.beat(now);
    for round in 1..10 {
        let awake = now + Duration::from_millis(300 * round);
        host.beat(awake);
        if round == 1 {
            host.handle(awake, link, slot_request(1));
        }
    }
    assert_eq!(fate(&mut rx, 1), Some("granted"));
}
