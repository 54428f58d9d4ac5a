//! Tests of the plain service: calls, journal and faults.

mod common;

use std::time::Duration;

use serde_json::json;

use common::start;
use lacewingspring_standins::plain::{Settings, serve};

#[tokio::test]
async fn faults_abort_calls_before_or_after_execution() {
    let client = start(|listener| serve(listener, Settings { latency_ms: 5 })).await;
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k1")];
    let reply = client
        .open("POST", "/book", &headers, &json!({ "seat": 1 }))
        .await
        .expect("reply received");
    assert_eq!(reply.headers()["x-request-id"], "r1");
    client.ok("PUT", "/faults", json!({ "cut_before_act": 1 })).await;
    assert_eq!(client.call("POST", "/not-acted", json!({})).await, None);
    client.ok("PUT", "/faults", json!({ "cut_before_reply": 1 })).await;
    assert_eq!(client.call("POST", "/acted", json!({})).await, None);
    client.ok("PUT", "/faults", json!({ "truncate": 1 })).await;
    assert_eq!(client.call("POST", "/truncated", json!({})).await, None);
    let journal = client.ok("GET", "/journal", json!({})).await;
    let calls = journal["calls"].as_array().expect("array of calls");
    let paths: Vec<_> = calls.iter().map(|call| call["path"].as_str().expect("path")).collect();
    assert_eq!(paths, ["/book", "/acted", "/truncated"]);
    assert_eq!(calls[0]["request_id"], "r1");
    assert_eq!(calls[0]["idempotency_key"], "k1");
    assert_eq!(calls[0]["body"], "{\"seat\":1}");
    assert!(calls.iter().all(|call| call["finished_ms"].is_u64()));
}

#[tokio::test]
async fn crash_aborts_calls_and_keeps_the_journal() {
    let client = start(|listener| serve(listener, Settings { latency_ms: 300 })).await;
    let call = tokio::spawn({
        let client = client.clone();
        async move { client.call("POST", "/book", json!({})).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    client.ok("PUT", "/faults", json!({ "crash_now": true, "restart_ms": 1000 })).await;
    assert_eq!(call.await.expect("task completes"), None);
    assert_eq!(client.call("GET", "/journal", json!({})).await, None);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let journal = client.ok("GET", "/journal", json!({})).await;
    assert_eq!(journal["calls"].as_array().expect("array of calls").len(), 1);
    let (status, _) =
        client.call("PUT", "/faults", json!({ "unknown": 1 })).await.expect("reply received");
    assert_eq!(status, 400);
}
