//! Plain service: calls, journal and faults.

mod common;

use std::time::Duration;

use serde_json::json;

use common::start;
use lacewingspring_standins::plain::{Settings, serve};

#[tokio::test]
async fn faults_cut_before_and_after_the_act() {
    let peer = start(|listener| serve(listener, Settings { latency_ms: 5 })).await;
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k1")];
    let reply = peer.open("POST", "/book", &headers, &json!({ "seat": 1 })).await.expect("a reply");
    assert_eq!(reply.headers()["x-request-id"], "r1");
    peer.ok("PUT", "/faults", json!({ "cut_before_act": 1 })).await;
    assert_eq!(peer.call("POST", "/not-acted", json!({})).await, None);
    peer.ok("PUT", "/faults", json!({ "cut_before_reply": 1 })).await;
    assert_eq!(peer.call("POST", "/acted", json!({})).await, None);
    peer.ok("PUT", "/faults", json!({ "truncate": 1 })).await;
    assert_eq!(peer.call("POST", "/truncated", json!({})).await, None);
    let journal = peer.ok("GET", "/journal", json!({})).await;
    let calls = journal["calls"].as_array().expect("calls");
    let paths: Vec<_> = calls.iter().map(|call| call["path"].as_str().expect("a path")).collect();
    assert_eq!(paths, ["/book", "/acted", "/truncated"]);
    assert_eq!(calls[0]["request_id"], "r1");
    assert_eq!(calls[0]["idempotency_key"], "k1");
    assert_eq!(calls[0]["body"], "{\"seat\":1}");
    assert!(calls.iter().all(|call| call["finished_ms"].is_u64()));
}

#[tokio::test]
async fn crash_cuts_and_restarts_with_its_journal() {
    let peer = start(|listener| serve(listener, Settings { latency_ms: 300 })).await;
    let booking = tokio::spawn({
        let peer = peer.clone();
        async move { peer.call("POST", "/book", json!({})).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    peer.ok("PUT", "/faults", json!({ "crash_now": true, "restart_ms": 1000 })).await;
    assert_eq!(booking.await.expect("no panic"), None);
    assert_eq!(peer.call("GET", "/journal", json!({})).await, None);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let journal = peer.ok("GET", "/journal", json!({})).await;
    assert_eq!(journal["calls"].as_array().expect("calls").len(), 1);
    let (status, _) = peer.call("PUT", "/faults", json!({ "unknown": 1 })).await.expect("a reply");
    assert_eq!(status, 400);
}
