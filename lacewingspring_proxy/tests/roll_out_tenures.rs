//! A gate that loses its role before a roll-back is recorded, and gets it again.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_proxy::{clock, gate::roll_out::DeclaredOrders};
use roll_out_support::{RECORD, STATUS, SharedStore, orders, record, rev, start_keeper};
use support::{host, open_link};
use tokio::time::sleep;

mod roll_out_support;
mod support;

/// Guards against a decided roll-back that is forgotten with the role, so that the target is used
/// again.
#[tokio::test]
async fn a_roll_back_is_recorded_in_the_next_tenure() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Shifting""#));
    let host = host();
    let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    sleep(Duration::from_secs(1)).await;
    store.failing_writes.store(u64::MAX, Ordering::Relaxed);
    host.set_orders(clock::now(), DeclaredOrders::default(), rev(9));
    sleep(Duration::from_secs(1)).await;
    host.disconnect(clock::now(), link);
    sleep(Duration::from_secs(1)).await;
    // With the order, nothing but the earlier decision is a reason to roll back.
    host.set_orders(clock::now(), orders(), rev(10));
    store.failing_writes.store(0, Ordering::Relaxed);
    assert_eq!(store.text(STATUS), "InProgress");
    let (_link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    sleep(Duration::from_secs(2)).await;
    assert!(store.text(RECORD).contains("OrderDeleted"), "{}", store.text(RECORD));
    assert_eq!(store.text(STATUS), "RolledBack");
}
