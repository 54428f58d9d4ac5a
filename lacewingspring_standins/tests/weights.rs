//! Weight store: shared rate, refusals and the journal.

mod common;

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use serde_json::{Value, json};

use common::{Peer, start};
use lacewingspring_standins::weights::{Settings, serve};

async fn size(peer: Peer) -> usize {
    let reply = peer.open("GET", "/weights/m", &[], &Value::Null).await.expect("a reply");
    assert_eq!(reply.status(), 200);
    reply.collect().await.expect("uncut").to_bytes().len()
}

#[tokio::test]
#[allow(clippy::disallowed_methods)]
async fn readers_share_the_rate_and_too_many_are_refused() {
    let settings = Settings { bytes: 200_000, bytes_per_second: 1_000_000, readers: 2 };
    let peer = start(|listener| serve(listener, settings)).await;
    let began = Instant::now();
    let readers = [tokio::spawn(size(peer.clone())), tokio::spawn(size(peer.clone()))];
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused = peer.open("GET", "/weights/m", &[], &Value::Null).await.expect("a reply");
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["retry-after"], "1");
    for reader in readers {
        assert_eq!(reader.await.expect("no panic"), 200_000);
    }
    assert!(began.elapsed() >= Duration::from_millis(400));
    let expected =
        json!({ "started": { "m": 2 }, "finished": { "m": 2 }, "refused": 1, "active": 0 });
    assert_eq!(peer.ok("GET", "/journal", json!({})).await, expected);
}

#[tokio::test]
async fn down_cuts_readers_and_refuses_new_ones() {
    let settings = Settings { bytes: 1_000_000, bytes_per_second: 500_000, readers: 2 };
    let peer = start(|listener| serve(listener, settings)).await;
    let reply = peer.open("GET", "/weights/m", &[], &Value::Null).await.expect("a reply");
    peer.ok("PUT", "/faults", json!({ "down": true })).await;
    assert!(reply.collect().await.is_err());
    let refused = peer.open("GET", "/weights/m", &[], &Value::Null).await.expect("a reply");
    assert_eq!(refused.status(), 503);
}
