//! Tests of the weight store: shared bandwidth, refusals, outages and the journal.

mod common;

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use serde_json::{Value, json};

use common::{StandInClient, start};
use lacewingspring_standins::weights::{Settings, serve};

async fn load_size(client: StandInClient) -> usize {
    let reply = client.open("GET", "/weights/m", &[], &Value::Null).await.expect("reply received");
    assert_eq!(reply.status(), 200);
    reply.collect().await.expect("connection stays open").to_bytes().len()
}

#[tokio::test]
#[allow(clippy::disallowed_methods)]
async fn readers_share_bandwidth_and_excess_readers_are_refused() {
    let settings = Settings { bytes: 200_000, bytes_per_second: 1_000_000, readers: 2 };
    let client = start(|listener| serve(listener, settings)).await;
    let started = Instant::now();
    let readers =
        [tokio::spawn(load_size(client.clone())), tokio::spawn(load_size(client.clone()))];
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused =
        client.open("GET", "/weights/m", &[], &Value::Null).await.expect("reply received");
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["retry-after"], "1");
    for reader in readers {
        assert_eq!(reader.await.expect("task completes"), 200_000);
    }
    assert!(started.elapsed() >= Duration::from_millis(400));
    let expected =
        json!({ "started": { "m": 2 }, "finished": { "m": 2 }, "refused": 1, "active": 0 });
    assert_eq!(client.ok("GET", "/journal", json!({})).await, expected);
}

#[tokio::test]
async fn outage_aborts_readers_and_refuses_new_ones() {
    let settings = Settings { bytes: 1_000_000, bytes_per_second: 500_000, readers: 2 };
    let client = start(|listener| serve(listener, settings)).await;
    let reply = client.open("GET", "/weights/m", &[], &Value::Null).await.expect("reply received");
    client.ok("PUT", "/faults", json!({ "down": true })).await;
    assert!(reply.collect().await.is_err());
    let refused =
        client.open("GET", "/weights/m", &[], &Value::Null).await.expect("reply received");
    assert_eq!(refused.status(), 503);
}
