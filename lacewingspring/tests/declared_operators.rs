//! The operator API: transactions, conflicts, roles, credential rotation and waiting for a
//! generation.

mod declared_common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use declared_common::{KeyValueService, delete_tier, policy, tier, wait_until};
use http::Method;
use insta::assert_snapshot;
use lacewingspring::{
    declared::DeclaredStore,
    operators::{FleetView, InstanceState, InstanceView, KnownOperator, OperatorCall, Operators},
};
use lacewingspring_core::{catalog::digest_hex, resources::OperatorRole};
use serde_json::{Value, json};

/// A fleet of this instance and another one that stays at generation 1.
struct FixedFleet;

fn view(name: &str, generation: u64) -> InstanceView {
    InstanceView {
        name: name.into(),
        data_centre: "east".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        state: InstanceState::Live,
        generation: Some(generation),
        heartbeat_age: Some(Duration::from_millis(5)),
    }
}

impl FleetView for FixedFleet {
    fn own(&self) -> InstanceView {
        view("own", 0)
    }

    fn others(&self) -> Vec<InstanceView> {
        vec![view("slow", 1)]
    }
}

struct TestApi {
    operators: Operators<FixedFleet>,
    declared: Arc<DeclaredStore>,
    service: KeyValueService,
}

impl TestApi {
    async fn start() -> Self {
        let service = KeyValueService::start().await;
        let declared = service.store(policy());
        let known = |token: &str, role| KnownOperator {
            name: token.into(),
            credential: digest_hex(token.as_bytes()),
            role,
        };
        let bootstrap = [known("root", OperatorRole::Change), known("guest", OperatorRole::Read)];
        let operators = Operators::new(declared.clone(), FixedFleet, Arc::new(bootstrap));
        assert!(wait_until(Duration::from_secs(2), || declared.loaded()).await);
        Self { operators, declared, service }
    }

    /// Calls the API; returns the status and the body in one line.
    async fn call(&self, method: Method, path: &str, token: &str, body: &Value) -> String {
        let (path, query) = path.split_once('?').map_or((path, None), |(p, q)| (p, Some(q)));
        let body = Bytes::from(body.to_string());
        let call = OperatorCall { method: &method, path, query, token: Some(token), body: &body };
        let reply = self.operators.handle(call).await;
        let body: Value = serde_json::from_slice(&reply.body).unwrap();
        format!("{} {body}", reply.status)
    }

    async fn get(&self, path: &str) -> String {
        self.call(Method::GET, path, "guest", &json!({})).await
    }

    async fn change(&self, token: &str, body: Value) -> String {
        self.call(Method::POST, "transactions", token, &body).await
    }
}

#[tokio::test]
async fn transaction_is_dry_run_committed_and_described() {
    let api = TestApi::start().await;
    let changes = json!([tier("a", 0)]);
    let dry = api.change("guest", json!({"changes": changes, "dry_run": true})).await;
    assert_snapshot!(dry, @r#"200 {"diff":[{"action":"create","fields":[{"after":30000,"before":null,"path":"spec.max_wait_ms"},{"after":0,"before":null,"path":"spec.rank"}],"resource":"tier/a"}],"generation":1}"#);
    assert_snapshot!(api.get("resources").await, @r#"200 {"generation":0,"resources":[]}"#);
    let done = api.change("root", json!({"changes": changes})).await;
    assert_eq!(done, dry);
    assert_snapshot!(api.get("resources?kind=tier").await, @r#"200 {"generation":1,"resources":[{"kind":"tier","name":"a","spec":{"max_wait_ms":30000,"rank":0}}]}"#);
    assert_snapshot!(api.get("resources?kind=service").await, @r#"200 {"generation":1,"resources":[]}"#);
    let detail: Value = serde_json::from_str(&api.get("resources/tier/a").await[4..]).unwrap();
    assert_snapshot!(detail["status"], @r#"{"conditions":[{"message":"Every instance applies generation 1.","reason":"AppliedEverywhere","status":"true","type":"InForce"}]}"#);
    assert_eq!(detail["events"][0]["message"], "root changed it in generation 1.");
}

#[tokio::test]
async fn failures_return_problem_details() {
    let api = TestApi::start().await;
    api.change("root", json!({"changes": [tier("a", 0), tier("b", 1)]})).await;
    let old = json!({"changes": [tier("c", 2)], "expect_generation": 0});
    assert_snapshot!(api.change("root", old).await, @r#"409 {"conflict":{"changed":["tier/a","tier/b"],"generation":1},"kind":"change_conflict","retry_after_ms":1000,"run":"not_run","status":409,"title":"Another change came first.","type":"urn:lacewingspring:problem:change-conflict"}"#);
    let all = json!({"changes": [delete_tier("a"), delete_tier("b")]});
    assert_snapshot!(api.change("root", all).await, @r#"422 {"kind":"invalid","run":"not_run","status":422,"title":"The change breaks a constraint.","type":"urn:lacewingspring:problem:invalid","violations":[{"field":"","resource":"transaction","rule":"at least one tier is needed"}]}"#);
    for (call, status) in [
        (api.change("guest", json!({"changes": [tier("c", 2)]})).await, "403"),
        (api.change("wrong", json!({"changes": [tier("c", 2)]})).await, "401"),
        (api.change("root", json!({"changes": [{"drop": 1}]})).await, "400"),
        (api.get("resources/tier/z").await, "404"),
        (api.get("resources?kind=rank").await, "400"),
        (api.get("transactions").await, "405"),
        (api.get("wait").await, "400"),
    ] {
        assert!(call.starts_with(status), "{status}: {call}");
    }
    assert_eq!(api.declared.generation(), 1);
}

#[tokio::test]
async fn credentials_rotate_without_a_restart() {
    let api = TestApi::start().await;
    let ann = |token: &str, role: &str| {
        let spec = json!({"credentials": [digest_hex(token.as_bytes())], "role": role});
        json!({"changes": [{"put": {"name": "ann", "kind": "operator", "spec": spec}}]})
    };
    api.change("root", json!({"changes": [tier("a", 0)]})).await;
    assert!(api.change("first", ann("first", "change")).await.starts_with("401"));
    assert!(api.change("root", ann("first", "change")).await.starts_with("200"));
    assert!(api.change("first", ann("second", "change")).await.starts_with("200"));
    assert!(api.change("first", ann("first", "change")).await.starts_with("401"));
    assert!(api.change("second", ann("second", "read")).await.starts_with("200"));
    assert!(api.change("second", ann("second", "change")).await.starts_with("403"));
}

#[tokio::test]
async fn wait_lists_the_instances_that_lag() {
    let api = TestApi::start().await;
    api.change("root", json!({"changes": [tier("a", 0)]})).await;
    assert_snapshot!(api.get("wait?generation=1&timeout_ms=100").await, @r#"200 {"generation":1,"in_force":true,"laggards":[]}"#);
    api.change("root", json!({"changes": [tier("b", 1)]})).await;
    assert_snapshot!(api.get("wait?generation=2&timeout_ms=100").await, @r#"200 {"generation":2,"in_force":false,"laggards":[{"generation":1,"instance":"slow"}]}"#);
    assert_snapshot!(api.get("status").await, @r#"200 {"data_centre":"east","generation":2,"instance":"own","instances":[{"address":"127.0.0.1:80","data_centre":"east","generation":2,"heartbeat_age_ms":5,"name":"own","state":"live"},{"address":"127.0.0.1:80","data_centre":"east","generation":1,"heartbeat_age_ms":5,"name":"slow","state":"live"}],"key_value_calls":[],"roles":[]}"#);
}

#[tokio::test]
async fn outage_refuses_changes_but_serves_reads() {
    let api = TestApi::start().await;
    api.change("root", json!({"changes": [tier("a", 0)]})).await;
    api.service.set_faults(json!({"down": true})).await;
    let refused = api.change("root", json!({"changes": [tier("b", 1)]})).await;
    assert!(refused.starts_with("503") && refused.contains(r#""run":"not_run""#), "{refused}");
    assert!(api.get("resources").await.starts_with("200"));
}
