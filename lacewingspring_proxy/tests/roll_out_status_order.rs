//! Another holder completes a roll-out between the reads of the record and of the status.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use roll_out_support::{RECORD, STATUS, SharedStore, record, start_keeper};
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
