//! Tests of the key-value service: transactions, leases, watches and faults.

mod common;

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use common::{StandInClient, next_chunk, start};
use lacewingspring_standins::key_value::{Settings, serve};

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

async fn start_service() -> StandInClient {
    start(|listener| serve(listener, Settings {})).await
}

async fn range(client: &StandInClient, key: &str) -> Value {
    client.ok("POST", "/v3/kv/range", json!({ "key": b64(key) })).await
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
async fn one_of_many_concurrent_creations_succeeds() {
    let client = start_service().await;
    let mut writers = Vec::new();
    for i in 0..50 {
        let client = client.clone();
        writers.push(tokio::spawn(async move {
            let body = create_if_absent("claim", &i.to_string());
            (i, client.ok("POST", "/v3/kv/txn", body).await)
        }));
    }
    let mut winners = Vec::new();
    let mut seen_by_losers = Vec::new();
    for writer in writers {
        let (i, reply) = writer.await.expect("task completes");
        if reply["succeeded"] == json!(true) {
            winners.push(b64(&i.to_string()));
        } else {
            let kv = &reply["responses"][0]["response_range"]["kvs"][0];
            seen_by_losers.push(kv["value"].as_str().expect("value").to_owned());
        }
    }
    assert_eq!(winners.len(), 1);
    assert_eq!(seen_by_losers, vec![winners[0].clone(); 49]);
    let kv = range(&client, "claim").await["kvs"][0].clone();
    assert_eq!(kv["version"], "1");
    assert_eq!(kv["create_revision"], "2");
    assert_eq!(kv["mod_revision"], "2");
    let calls = client.ok("GET", "/calls", json!({})).await;
    assert_eq!(calls, json!({ "reads": 1, "writes": 50, "leases": 0, "watches": 0 }));
}

#[tokio::test]
async fn transactions_compare_revisions_version_and_value() {
    let client = start_service().await;
    let key = b64("k");
    for value in ["a", "b"] {
        client.ok("POST", "/v3/kv/put", json!({ "key": key, "value": b64(value) })).await;
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
        let reply = client.ok("POST", "/v3/kv/txn", json!({ "compare": [compare] })).await;
        assert_eq!(reply["succeeded"] == json!(true), holds, "{compare}");
        assert_eq!(reply["header"]["revision"], "3");
    }
    let absent = json!({ "key": b64("x"), "target": "VALUE", "result": "NOT_EQUAL", "value": "" });
    let reply = client.ok("POST", "/v3/kv/txn", json!({ "compare": [absent] })).await;
    assert_eq!(reply["succeeded"], Value::Null);
}

#[tokio::test]
async fn write_with_lost_reply_takes_effect() {
    let client = start_service().await;
    client.ok("PUT", "/faults", json!({ "lose_replies": 1 })).await;
    let body = create_if_absent("claim", "mine");
    assert_eq!(client.call("POST", "/v3/kv/txn", body.clone()).await, None);
    let again = client.ok("POST", "/v3/kv/txn", body).await;
    assert_eq!(again["succeeded"], Value::Null);
    let kv = &again["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(kv["value"], b64("mine"));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let client = start_service().await;
    let lease = client.ok("POST", "/v3/lease/grant", json!({ "TTL": 1 })).await["ID"].clone();
    for key in ["a", "b"] {
        let put = json!({ "key": b64(key), "value": b64("v"), "lease": lease });
        client.ok("POST", "/v3/kv/put", put).await;
    }
    client.ok("POST", "/v3/kv/put", json!({ "key": b64("b"), "value": b64("free") })).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let renewed = client.ok("POST", "/v3/lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(renewed["result"]["TTL"], "1");
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(range(&client, "a").await["kvs"][0]["lease"], lease);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(range(&client, "a").await["kvs"], Value::Null);
    assert_eq!(range(&client, "b").await["kvs"][0]["value"], b64("free"));
    let renewed_too_late = client.ok("POST", "/v3/lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(renewed_too_late["result"]["TTL"], Value::Null);
    let put = json!({ "key": b64("a"), "lease": lease });
    let (status, _) = client.call("POST", "/v3/kv/put", put).await.expect("reply received");
    assert_eq!(status, 404);
}

#[tokio::test]
async fn watch_streams_past_and_new_changes_until_outage() {
    let client = start_service().await;
    let put = |key: &str, value: &str| json!({ "key": b64(key), "value": b64(value) });
    client.ok("POST", "/v3/kv/put", put("p/a", "1")).await;
    client.ok("POST", "/v3/kv/put", put("q", "outside")).await;
    let create = json!({ "key": b64("p/"), "range_end": b64("p0"), "start_revision": "2" });
    let body = json!({ "create_request": create });
    let mut reply = client.open("POST", "/v3/watch", &[], &body).await.expect("reply received");
    let mut next = async || {
        let chunk = next_chunk(&mut reply).await.expect("line")?;
        let line: Value = serde_json::from_str(&chunk).expect("JSON line");
        Ok::<Value, ()>(line["result"].clone())
    };
    assert_eq!(next().await.expect("connection stays open")["created"], true);
    let past = next().await.expect("connection stays open");
    assert_eq!(past["events"][0]["kv"]["key"], b64("p/a"));
    assert_eq!(past["events"][0]["type"], "PUT");
    assert_eq!(past["events"].as_array().expect("array of events").len(), 1);
    client.ok("PUT", "/faults", json!({ "drop_watch_events": 1 })).await;
    client.ok("POST", "/v3/kv/put", put("p/b", "dropped")).await;
    client.ok("POST", "/v3/kv/deleterange", json!({ "key": b64("p/a") })).await;
    let deleted = next().await.expect("connection stays open");
    assert_eq!(deleted["events"][0]["type"], "DELETE");
    assert_eq!(deleted["events"][0]["kv"]["mod_revision"], "5");
    client.ok("PUT", "/faults", json!({ "down": true })).await;
    assert_eq!(next().await, Err(()));
    let (status, _) = client.call("POST", "/v3/kv/range", json!({})).await.expect("reply received");
    assert_eq!(status, 503);
}

#[tokio::test]
async fn stale_read_is_one_revision_behind() {
    let client = start_service().await;
    client.ok("POST", "/v3/kv/put", json!({ "key": b64("k"), "value": b64("1") })).await;
    client.ok("POST", "/v3/kv/put", json!({ "key": b64("k"), "value": b64("2") })).await;
    client.ok("PUT", "/faults", json!({ "old_reads": 1 })).await;
    let stale = range(&client, "k").await;
    assert_eq!(stale["kvs"][0]["value"], b64("1"));
    assert_eq!(stale["header"]["revision"], "2");
    assert_eq!(range(&client, "k").await["kvs"][0]["value"], b64("2"));
    let large = json!({ "key": b64("k"), "value": b64(&"x".repeat((1 << 20) + 1)) });
    let (status, _) = client.call("POST", "/v3/kv/put", large).await.expect("reply received");
    assert_eq!(status, 400);
}
