//! Which version is in service when an order is taken up.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lacewingspring_proxy::{clock, gate::roll_out::DeclaredOrders};
use roll_out_support::{
    RECORD, STATUS, SharedStore, is_granted, order, record, record_with, rev, start_keeper,
    upstream,
};
use serde_json::Value;
use support::{host, open_link};
use tokio::time::sleep;

mod roll_out_support;
mod support;

/// Time in which the keeper takes some steps.
const STEPS_TIME: Duration = Duration::from_secs(1);

fn stage(store: &SharedStore) -> Value {
    let record: Value = serde_json::from_str(&store.text(RECORD)).expect("a record");
    record["stage"].clone()
}

/// Guards against a bad version that gets all requests as the one in service was rolled back once.
#[tokio::test]
async fn a_target_beside_a_version_that_was_rolled_back_is_observed() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("RolledBack"));
    store.set(RECORD, record_with(r#"{"RolledBack":"DeadlinePassed"}"#, r#""in_service":["v1"]"#));
    let host = host();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    // This gate has not seen that `v2` served alone.
    host.set_upstreams(clock::now(), [upstream("v2", 1), upstream("v3", 2)]);
    let orders = DeclaredOrders { orders: vec![order("v3", 9)], unreadable: Vec::new() };
    host.set_orders(clock::now(), orders, rev(10));
    sleep(STEPS_TIME).await;
    assert_eq!(stage(&store), "Observing");
    assert!(is_granted(&host, link, 1, &mut rx), "the version in service serves");
}

/// Guards against an order that is taken up by a process that has not read the entries of
/// upstreams: it knows no version in service.
#[tokio::test]
async fn an_order_is_taken_up_only_after_the_entries_of_upstreams_are_read() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("RolledBack"));
    store.set(RECORD, record(r#"{"RolledBack":"DeadlinePassed"}"#));
    let host = host();
    host.require_entries();
    let (_link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    host.set_upstreams(clock::now(), []);
    start_keeper(&store, &host);
    let orders = DeclaredOrders { orders: vec![order("v3", 9)], unreadable: Vec::new() };
    host.set_orders(clock::now(), orders, rev(10));
    sleep(STEPS_TIME).await;
    assert_eq!(store.text(STATUS), "RolledBack", "{}", store.text(RECORD));
    assert_ne!(stage(&store), "Observing");
    host.set_upstreams(clock::now(), [upstream("v1", 1), upstream("v3", 2)]);
    host.set_entries_read(clock::now());
    sleep(STEPS_TIME).await;
    assert_eq!(stage(&store), "Observing");
}

/// Guards against a service of which all versions were rolled back, as the version in service was
/// ordered and the order deleted.
#[tokio::test]
async fn the_version_in_service_is_used_after_an_order_back_to_it_is_deleted() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Observing""#));
    let host = host();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    host.set_upstreams(clock::now(), [upstream("v1", 1), upstream("v2", 2)]);
    sleep(STEPS_TIME).await;
    let orders = DeclaredOrders { orders: vec![order("v1", 9)], unreadable: Vec::new() };
    host.set_orders(clock::now(), orders, rev(10));
    sleep(STEPS_TIME).await;
    assert_eq!(stage(&store), "Shifting");
    host.set_orders(clock::now(), DeclaredOrders::default(), rev(11));
    sleep(STEPS_TIME).await;
    assert_eq!(store.text(STATUS), "RolledBack");
    assert!(is_granted(&host, link, 1, &mut rx), "the version in service serves");
}
