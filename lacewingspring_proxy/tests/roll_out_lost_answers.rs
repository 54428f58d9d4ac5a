//! Writes of the record that are executed and whose answer is lost.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use roll_out_support::{RECORD, STATUS, SharedStore, record, start_keeper};
use serde_json::Value;
use support::{host, open_link};
use tokio::time::sleep;

mod roll_out_support;
mod support;

/// Guards against counts that are added twice: the keeper read its own record and took it for that
/// of another holder, so that reserved requests seemed to be granted and the block was used up.
#[tokio::test]
async fn counts_of_an_own_write_are_not_added_again() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Observing""#));
    let host = host();
    let (_link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    store.unanswered_writes.store(3, Ordering::Relaxed);
    start_keeper(&store, &host);
    let mut reserved = Vec::new();
    for _ in 0..60 {
        sleep(Duration::from_millis(100)).await;
        let record: Value = serde_json::from_str(&store.text(RECORD)).expect("a record");
        reserved.extend(record["counts"]["target_requests"].as_u64());
    }
    reserved.dedup();
    assert_eq!(store.unanswered_writes.load(Ordering::Relaxed), 0);
    let first = reserved.iter().copied().find(|reserved| *reserved > 0).expect("a block");
    // No request was granted, so each block takes the place of the one before.
    assert!(reserved.iter().all(|reserved| *reserved <= first), "{reserved:?}");
}
