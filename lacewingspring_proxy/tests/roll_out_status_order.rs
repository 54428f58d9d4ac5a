//! Writes of a status that come between the reads of a holder, or late.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lacewingspring_proxy::{clock, gate::roll_out::DeclaredOrders};
use roll_out_support::{
    Decoder, RECORD, STATUS, SharedStore, order, record, rev, start_keeper, start_keeper_with,
};
use support::{host, open_link};
use tokio::time::sleep;

mod roll_out_support;
mod support;

/// Guards against a status that goes back after another holder has written the final one.
#[tokio::test]
async fn the_status_does_not_go_back() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Shifting""#));
    // The keeper first reads which records there are, by their prefix, then this one.
    store.set_after_read(vec![
        (RECORD, record(r#""Completed""#)),
        (STATUS, Bytes::from("Completed")),
    ]);
    let host = host();
    let (_link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.text(STATUS), "Completed");
}

/// Guards against the status of an order that was replaced, as its write was executed late and the
/// status that was read before is that of the present order.
#[tokio::test]
async fn a_late_status_of_an_order_that_was_replaced_does_not_stay() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgressv2"));
    store.set(RECORD, record(r#""Observing""#));
    let host = host();
    let (_link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper_with(Decoder { names_target: true }, &store, &host);
    sleep(Duration::from_secs(1)).await;
    let order_of = |target, revision| {
        let orders = DeclaredOrders { orders: vec![order(target, revision)], unreadable: vec![] };
        host.set_orders(clock::now(), orders, rev(revision));
    };
    store.delay_next_write(STATUS, Duration::from_millis(1_500));
    order_of("v3", 20);
    sleep(Duration::from_millis(300)).await;
    order_of("v2", 21);
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(store.text(STATUS), "InProgressv2");
}
