//! What a gate publishes to other instances does not wait for the key-value service.

use std::{collections::HashMap, future::pending, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use lacewingspring_core::{
    dispatch::{Limits, Quota, QuotaBounds, SlotRequest, StoredUsage, UpstreamInfo, Work},
    names::{
        DataCentreName, InstanceName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName,
    },
};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        ledger::Ledger,
        message::{FromGate, ToGate},
    },
    members::SharedMembers,
    replica::Replicas,
    store::{Batch, Era, Lease, Page, Revision, Store, StoreError},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::timeout,
};

/// Units of each request; the limit of the window is 100 of them.
const CHARGE: u64 = 100;

/// Time in which a large use of a limit must be published.
const MAX_PUBLICATION_DELAY: Duration = Duration::from_millis(250);

/// Store that is empty and never answers a write.
struct SilentStore;

impl Store for SilentStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, StoreError> {
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

    async fn put(&self, _: &str, _: Bytes, _: Option<Lease>) -> Result<(), StoreError> {
        pending().await
    }
}

fn host() -> Arc<GateHost> {
    let host = GateHost::new(SharedMembers::default(), Arc::new(Replicas::default()), None);
    let quota = Quota { rate: Some(1_000.0), burst: 2_000.0 };
    let quotas = HashMap::from([(WorkspaceName::from("w"), quota)]);
    let window = Duration::from_secs(8);
    host.set_limits(Limits { quotas: QuotaBounds { quotas, window }, ..Limits::default() });
    let upstream = UpstreamInfo {
        name: UpstreamName::from("u"),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
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

/// Returns the units in the next published usage.
async fn next_usage(rx: &mut UnboundedReceiver<FromGate>) -> u64 {
    loop {
        if let FromGate::Usage(usage) = rx.recv().await.expect("the link is open") {
            let units =
                |usage: &StoredUsage| usage.steps.iter().map(|(_, units)| units).sum::<u64>();
            return usage.iter().map(units).sum();
        }
    }
}

#[tokio::test]
async fn publishes_usage_while_the_store_is_silent() {
    let host = host();
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    let hello = ToGate::Hello {
        instance: InstanceName::from("i"),
        usage: Vec::new(),
        usage_age: Duration::from_secs(3_600),
    };
    host.handle(clock::now(), link, hello);
    tokio::spawn(Ledger { store: Arc::new(SilentStore), host: host.clone() }.run());
    for round in 1..=4 {
        for number in 0..5 {
            let number = round * 10 + number;
            let request = request();
            host.handle(clock::now(), link, ToGate::RequestSlot { number, request });
        }
        let published = timeout(MAX_PUBLICATION_DELAY, async {
            while next_usage(&mut rx).await < round * 5 * CHARGE {}
        });
        published.await.unwrap_or_else(|_| panic!("the usage of round {round} was not published"));
    }
}
