//! Gates whose exchanges are full: both sides release a permit whose message cannot be delivered.

use std::{sync::Arc, time::Duration};

use lacewingspring::{
    clock,
    gates::GateHost,
    peers::{Exchange, ExchangePair, GateId, GatePermitRequest, Message},
};
use lacewingspring_core::{
    catalog::Catalog,
    gate::{Cost, Outcome, PermitRequest},
    names::{DataCentreName, PoolName, WorkspaceName},
    resources::EnginePoolSpec,
};
use serde_json::json;
use tokio::time::{sleep, timeout};

/// Longest wait for a permit, far longer than the time for which a gate still counts a lost run.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A gate host with one engine pool, which has one upstream with one slot.
struct TestHost {
    gates: Arc<GateHost>,
    catalog: Arc<Catalog>,
}

impl TestHost {
    fn start() -> Self {
        let pool: EnginePoolSpec = serde_json::from_value(json!({
            "type": "engine",
            "upstreams": [
                { "name": "e", "address": "127.0.0.1:9", "data_centre": "dc", "slots": 1 }
            ]
        }))
        .expect("a pool");
        let mut catalog = Catalog::default();
        catalog.pools.insert(PoolName::from("engines"), pool);
        let host = Self { gates: Arc::default(), catalog: Arc::new(catalog) };
        let (gates, catalog) = (host.gates.clone(), host.catalog.clone());
        tokio::spawn(async move {
            loop {
                gates.tick(clock::now(), &catalog);
                sleep(Duration::from_millis(20)).await;
            }
        });
        host
    }

    /// Requests a permit for a tier of the given rank over an exchange; rank 0 is the highest tier.
    fn request_permit(&self, rank: u8, exchange: Exchange) {
        let gate =
            GateId { pool: PoolName::from("engines"), data_centre: DataCentreName::from("dc") };
        let cost = Cost { prompt_tokens: 10, output_tokens: 10 };
        let permit = PermitRequest::new(rank, WorkspaceName::from("desk"), cost);
        let request =
            GatePermitRequest { gate, request: PermitRequest { parkable: true, ..permit } };
        let (gates, catalog) = (self.gates.clone(), self.catalog.clone());
        tokio::spawn(
            async move { gates.serve_permit(clock::now(), &catalog, request, exchange).await },
        );
    }
}

/// Fills the queue of messages from the gate to its caller.
fn fill(pair: &ExchangePair) {
    while pair.handler.tx.try_send(Message::NoRun).is_ok() {}
}

async fn is_granted(exchange: &mut Exchange) -> bool {
    let message = timeout(PERMIT_TIMEOUT, exchange.rx.recv()).await;
    matches!(message, Ok(Some(Message::Granted(_))))
}

/// Returns the caller's side of the exchange of a granted lower-tier permit whose queue of messages
/// to the caller is full.
async fn granted_with_full_queue(host: &TestHost) -> Exchange {
    let mut low = Exchange::pair();
    let full = low.handler.tx.clone();
    host.request_permit(1, low.handler);
    assert!(is_granted(&mut low.caller).await);
    while full.try_send(Message::NoRun).is_ok() {}
    low.caller
}

/// Reads an exchange to its end; returns `false` if it stays open.
async fn reads_to_end(exchange: &mut Exchange) -> bool {
    timeout(PERMIT_TIMEOUT, async { while exchange.rx.recv().await.is_some() {} }).await.is_ok()
}

#[tokio::test]
async fn undeliverable_permit_frees_its_slot() {
    let host = TestHost::start();
    let mut stuck = Exchange::pair();
    fill(&stuck);
    host.request_permit(0, stuck.handler);
    sleep(Duration::from_secs(1)).await;
    let mut next = Exchange::pair();
    host.request_permit(0, next.handler);
    assert!(is_granted(&mut next.caller).await);
    assert!(reads_to_end(&mut stuck.caller).await);
}

#[tokio::test]
async fn undeliverable_park_order_ends_the_permit() {
    let host = TestHost::start();
    let mut low = granted_with_full_queue(&host).await;
    let mut high = Exchange::pair();
    host.request_permit(0, high.handler);
    assert!(is_granted(&mut high.caller).await);
    assert!(reads_to_end(&mut low).await);
}

#[tokio::test]
async fn holder_that_reads_the_end_frees_the_slot_immediately() {
    let host = TestHost::start();
    let mut low = granted_with_full_queue(&host).await;
    let mut high = Exchange::pair();
    host.request_permit(0, high.handler);
    // The holder reads nothing until the gate has failed to deliver the order to park.
    sleep(Duration::from_millis(500)).await;
    assert!(reads_to_end(&mut low).await);
    low.tx.try_send(Message::Ended(Outcome::Cancelled)).expect("the queue to the gate has room");
    let granted = timeout(Duration::from_secs(1), is_granted(&mut high.caller)).await;
    assert_eq!(granted, Ok(true));
}
