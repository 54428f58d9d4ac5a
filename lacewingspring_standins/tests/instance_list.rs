//! Tests of the instance list: registration, propagation delay and faults.

mod common;

use std::time::Duration;

use serde_json::json;

use common::start;
use lacewingspring_standins::instance_list::{Settings, serve};

#[tokio::test]
async fn changes_become_visible_after_the_lag() {
    let client = start(|listener| serve(listener, Settings { lag_ms: 300 })).await;
    let meta = json!({ "data_centre": "north" });
    let service =
        json!({ "ID": "a1", "Name": "engine", "Address": "127.0.0.1", "Port": 9, "Meta": meta });
    client.ok("PUT", "/v1/agent/service/register", service).await;
    let path = "/v1/health/service/engine";
    assert_eq!(client.ok("GET", path, json!({})).await, json!([]));
    tokio::time::sleep(Duration::from_millis(350)).await;
    let found = client.ok("GET", path, json!({})).await;
    assert_eq!(found[0]["Node"]["Datacenter"], "north");
    assert_eq!(found[0]["Service"]["ID"], "a1");
    assert_eq!(found[0]["Service"]["Service"], "engine");
    assert_eq!(found[0]["Service"]["Port"], 9);
    assert_eq!(client.ok("GET", "/v1/health/service/other", json!({})).await, json!([]));
    client.ok("PUT", "/v1/agent/service/deregister/a1", json!({})).await;
    assert_eq!(client.ok("GET", path, json!({})).await, found);
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert_eq!(client.ok("GET", path, json!({})).await, json!([]));
    client.ok("PUT", "/faults", json!({ "down": true })).await;
    assert_eq!(client.call("GET", path, json!({})).await.expect("reply received").0, 503);
}
