//! Gates whose exchanges take no messages: their permits are given up on both sides.

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

/// Longest wait for a permit, far beyond the time for which a lost run is still counted.
const PATIENCE: Duration = Duration::from_secs(10);

/// Gates of a pool of one upstream with one slot.
struct Host {
    gates: Arc<GateHost>,
    catalog: Arc<Catalog>,
}

impl Host {
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

    /// Asks for a permit over an exchange.
    fn ask(&self, rank: u8, end: Exchange) {
        let gate =
            GateId { pool: PoolName::from("engines"), data_centre: DataCentreName::from("dc") };
        let cost = Cost { prompt_tokens: 10, output_tokens: 10 };
        let ask = PermitRequest::new(rank, WorkspaceName::from("desk"), cost);
        let ask = GatePermitRequest { gate, request: PermitRequest { parkable: true, ..ask } };
        let (gates, catalog) = (self.gates.clone(), self.catalog.clone());
        tokio::spawn(async move { gates.serve_permit(clock::now(), &catalog, ask, end).await });
    }
}

/// Fills what the exchange holds towards its caller.
fn fill(pair: &ExchangePair) {
    while pair.handler.tx.try_send(Message::NoRun).is_ok() {}
}

async fn is_granted(exchange: &mut Exchange) -> bool {
    let message = timeout(PATIENCE, exchange.rx.recv()).await;
    matches!(message, Ok(Some(Message::Granted(_))))
}

/// Returns an exchange of a lower tier that was granted a permit and takes no more messages.
async fn granted_and_full(host: &Host) -> Exchange {
    let mut low = Exchange::pair();
    let full = low.handler.tx.clone();
    host.ask(1, low.handler);
    assert!(is_granted(&mut low.caller).await);
    while full.try_send(Message::NoRun).is_ok() {}
    low.caller
}

/// Reads an exchange to its end; false when it stays open.
async fn ends(exchange: &mut Exchange) -> bool {
    timeout(PATIENCE, async { while exchange.rx.recv().await.is_some() {} }).await.is_ok()
}

#[tokio::test]
async fn a_permit_that_can_not_be_told_frees_its_slot() {
    let host = Host::start();
    let mut stuck = Exchange::pair();
    fill(&stuck);
    host.ask(0, stuck.handler);
    sleep(Duration::from_secs(1)).await;
    let mut next = Exchange::pair();
    host.ask(0, next.handler);
    assert!(is_granted(&mut next.caller).await);
    assert!(ends(&mut stuck.caller).await);
}

#[tokio::test]
async fn an_order_to_park_that_can_not_be_told_ends_the_permit() {
    let host = Host::start();
    let mut low = granted_and_full(&host).await;
    let mut high = Exchange::pair();
    host.ask(0, high.handler);
    assert!(is_granted(&mut high.caller).await);
    assert!(ends(&mut low).await);
}

#[tokio::test]
async fn an_entry_that_reads_the_end_gives_its_permit_up_at_once() {
    let host = Host::start();
    let mut low = granted_and_full(&host).await;
    let mut high = Exchange::pair();
    host.ask(0, high.handler);
    // Nothing is read until the order has met the full exchange.
    sleep(Duration::from_millis(500)).await;
    assert!(ends(&mut low).await);
    low.tx.try_send(Message::Ended(Outcome::Cancelled)).expect("room for the end");
    let granted = timeout(Duration::from_secs(1), is_granted(&mut high.caller)).await;
    assert_eq!(granted, Ok(true));
}
