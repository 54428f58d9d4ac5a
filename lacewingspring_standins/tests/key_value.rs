//! Key-value service: transactions, leases, watches and faults.

mod common;

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use common::{Peer, next_piece, start};
use lacewingspring_standins::key_value::{Settings, serve};

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

async fn service() -> Peer {
    start(|listener| serve(listener, Settings {})).await
}

async fn range(peer: &Peer, key: &str) -> Value {
    peer.ok("POST", "/v3/kv/range", json!({ "key": b64(key) })).await
}

fn create_if_absent(key: &str, value: &str) -> Value {
    let key = b64(key);
    let compare =
        json!({ "key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0" });
    json!({
        "compare": [compare],
        "success": [{ "request_put": { "key": key, "value": b64(value) } }],
        "failure": [{ "request_range": { "key": key } }],
    })
}

#[tokio::test]
async fn create_if_absent_wins_once() {
    let peer = service().await;
    let mut tries = Vec::new();
    for i in 0..50 {
        let peer = peer.clone();
        tries.push(tokio::spawn(async move {
            let body = create_if_absent("claim", &i.to_string());
            (i, peer.ok("POST", "/v3/kv/txn", body).await)
        }));
    }
    let mut winners = Vec::new();
    let mut seen_by_losers = Vec::new();
    for one in tries {
        let (i, reply) = one.await.expect("no panic");
        if reply["succeeded"] == json!(true) {
            winners.push(b64(&i.to_string()));
        } else {
            let kv = &reply["responses"][0]["response_range"]["kvs"][0];
            seen_by_losers.push(kv["value"].as_str().expect("a value").to_owned());
        }
    }
    assert_eq!(winners.len(), 1);
    assert_eq!(seen_by_losers, vec![winners[0].clone(); 49]);
    let kv = range(&peer, "claim").await["kvs"][0].clone();
    assert_eq!(kv["version"], "1");
    assert_eq!(kv["create_revision"], "2");
    assert_eq!(kv["mod_revision"], "2");
    let calls = peer.ok("GET", "/calls", json!({})).await;
    assert_eq!(calls, json!({ "reads": 1, "writes": 50, "leases": 0, "watches": 0 }));
}

#[tokio::test]
async fn comparisons_of_revision_version_and_value() {
    let peer = service().await;
    let key = b64("k");
    for value in ["a", "b"] {
        peer.ok("POST", "/v3/kv/put", json!({ "key": key, "value": b64(value) })).await;
    }
    let compares = [
        (json!({ "target": "MOD", "result": "EQUAL", "mod_revision": 3 }), true),
        (json!({ "target": "MOD", "result": "LESS", "mod_revision": "3" }), false),
        (json!({ "target": "CREATE", "result": "EQUAL", "create_revision": "2" }), true),
        (json!({ "target": "VERSION", "result": "GREATER", "version": "1" }), true),
        (json!({ "target": "VERSION", "result": "GREATER", "version": "2" }), false),
        (json!({ "target": "VALUE", "result": "EQUAL", "value": b64("b") }), true),
        (json!({ "target": "VALUE", "result": "NOT_EQUAL", "value": b64("b") }), false),
    ];
    for (mut compare, holds) in compares {
        compare["key"] = json!(key);
        let reply = peer.ok("POST", "/v3/kv/txn", json!({ "compare": [compare] })).await;
        assert_eq!(reply["succeeded"] == json!(true), holds, "{compare}");
        assert_eq!(reply["header"]["revision"], "3");
    }
    let absent = json!({ "key": b64("x"), "target": "VALUE", "result": "NOT_EQUAL", "value": "" });
    let reply = peer.ok("POST", "/v3/kv/txn", json!({ "compare": [absent] })).await;
    assert_eq!(reply["succeeded"], Value::Null);
}

#[tokio::test]
async fn lost_reply_takes_effect() {
    let peer = service().await;
    peer.ok("PUT", "/faults", json!({ "lose_replies": 1 })).await;
    let body = create_if_absent("claim", "mine");
    assert_eq!(peer.call("POST", "/v3/kv/txn", body.clone()).await, None);
    let again = peer.ok("POST", "/v3/kv/txn", body).await;
    assert_eq!(again["succeeded"], Value::Null);
    let kv = &again["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(kv["value"], b64("mine"));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let peer = service().await;
    let lease = peer.ok("POST", "/v3/lease/grant", json!({ "TTL": 1 })).await["ID"].clone();
    for key in ["a", "b"] {
        let put = json!({ "key": b64(key), "value": b64("v"), "lease": lease });
        peer.ok("POST", "/v3/kv/put", put).await;
    }
    peer.ok("POST", "/v3/kv/put", json!({ "key": b64("b"), "value": b64("free") })).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let kept = peer.ok("POST", "/v3/lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(kept["result"]["TTL"], "1");
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(range(&peer, "a").await["kvs"][0]["lease"], lease);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(range(&peer, "a").await["kvs"], Value::Null);
    assert_eq!(range(&peer, "b").await["kvs"][0]["value"], b64("free"));
    let gone = peer.ok("POST", "/v3/lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(gone["result"]["TTL"], Value::Null);
    let put = json!({ "key": b64("a"), "lease": lease });
    let (status, _) = peer.call("POST", "/v3/kv/put", put).await.expect("a reply");
    assert_eq!(status, 404);
}

#[tokio::test]
async fn watch_tells_past_and_coming_changes_until_down() {
    let peer = service().await;
    let put = |key: &str, value: &str| json!({ "key": b64(key), "value": b64(value) });
    peer.ok("POST", "/v3/kv/put", put("p/a", "1")).await;
    peer.ok("POST", "/v3/kv/put", put("q", "outside")).await;
    let create = json!({ "key": b64("p/"), "range_end": b64("p0"), "start_revision": "2" });
    let body = json!({ "create_request": create });
    let mut reply = peer.open("POST", "/v3/watch", &[], &body).await.expect("a reply");
    let mut next = async || {
        let piece = next_piece(&mut reply).await.expect("a line")?;
        let line: Value = serde_json::from_str(&piece).expect("a JSON line");
        Ok::<Value, ()>(line["result"].clone())
    };
    assert_eq!(next().await.expect("uncut")["created"], true);
    let past = next().await.expect("uncut");
    assert_eq!(past["events"][0]["kv"]["key"], b64("p/a"));
    assert_eq!(past["events"][0]["type"], "PUT");
    assert_eq!(past["events"].as_array().expect("events").len(), 1);
    peer.ok("PUT", "/faults", json!({ "drop_watch_events": 1 })).await;
    peer.ok("POST", "/v3/kv/put", put("p/b", "dropped")).await;
    peer.ok("POST", "/v3/kv/deleterange", json!({ "key": b64("p/a") })).await;
    let deleted = next().await.expect("uncut");
    assert_eq!(deleted["events"][0]["type"], "DELETE");
    assert_eq!(deleted["events"][0]["kv"]["mod_revision"], "5");
    peer.ok("PUT", "/faults", json!({ "down": true })).await;
    assert_eq!(next().await, Err(()));
    let (status, _) = peer.call("POST", "/v3/kv/range", json!({})).await.expect("a reply");
    assert_eq!(status, 503);
}

#[tokio::test]
async fn old_read_is_one_revision_behind() {
    let peer = service().await;
    peer.ok("POST", "/v3/kv/put", json!({ "key": b64("k"), "value": b64("1") })).await;
    peer.ok("POST", "/v3/kv/put", json!({ "key": b64("k"), "value": b64("2") })).await;
    peer.ok("PUT", "/faults", json!({ "old_reads": 1 })).await;
    let old = range(&peer, "k").await;
    assert_eq!(old["kvs"][0]["value"], b64("1"));
    assert_eq!(old["header"]["revision"], "2");
    assert_eq!(range(&peer, "k").await["kvs"][0]["value"], b64("2"));
    let large = json!({ "key": b64("k"), "value": b64(&"x".repeat((1 << 20) + 1)) });
    let (status, _) = peer.call("POST", "/v3/kv/put", large).await.expect("a reply");
    assert_eq!(status, 400);
}
