//! The status of a completed roll-out that an operator deletes.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::UpstreamInfo;
use lacewingspring_proxy::clock;
use roll_out_support::{
    RECORD, STATUS, SharedStore, is_granted, record_with, start_keeper, upstream,
};
use support::{host, open_link};
use tokio::time::sleep;

mod roll_out_support;
mod support;

/// Time in which the status is written: instances report what they run for some seconds.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// Guards against callers being refused as the service is limited to a version that has been
/// replaced since.
#[tokio::test]
async fn a_deleted_status_does_not_limit_the_service_to_the_target() {
    let store = Arc::new(SharedStore::default());
    store.set(RECORD, record_with(r#""Completed""#, r#""left":["v1"],"in_service":["v2"]"#));
    let host = host();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    host.set_upstreams(clock::now(), [UpstreamInfo { slots: 100, ..upstream("v3", 1) }]);
    for number in 0..10 {
        sleep(WRITE_TIME / 10).await;
        assert!(is_granted(&host, link, number, &mut rx), "request {number}");
    }
    assert_eq!(store.text(STATUS), "Completed");
}

/// Guards against requests at a version whose upstreams the platform stops when it reads the
/// status.
#[tokio::test]
async fn the_versions_that_were_left_get_nothing_until_the_status_is_written() {
    let store = Arc::new(SharedStore::default());
    store.set(RECORD, record_with(r#""Completed""#, r#""left":["v1"],"in_service":["v2"]"#));
    let host = host();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    host.set_upstreams(clock::now(), [upstream("v1", 1), upstream("v2", 2)]);
    sleep(Duration::from_secs(1)).await;
    // The target has four slots.
    let granted = (0..6).filter(|number| is_granted(&host, link, *number, &mut rx)).count();
    assert_eq!(granted, 4);
    sleep(WRITE_TIME).await;
    assert_eq!(store.text(STATUS), "Completed");
}
