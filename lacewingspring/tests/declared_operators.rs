//! The interface for operators: transactions, conflicts, roles, rotation, waiting.

mod declared_common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use declared_common::{Service, delete_tier, policy, tier, within};
use http::Method;
use insta::assert_snapshot;
use lacewingspring::{
    declared::DeclaredStore,
    operators::{FleetView, InstanceState, InstanceView, KnownOperator, OperatorCall, Operators},
};
use lacewingspring_core::{catalog::digest_hex, resources::OperatorRole};
use serde_json::{Value, json};

/// A fleet of this instance and one that applies generation 1.
struct Fleet;

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

impl FleetView for Fleet {
    fn own(&self) -> InstanceView {
        view("own", 0)
    }

    fn others(&self) -> Vec<InstanceView> {
        vec![view("slow", 1)]
    }
}

struct Site {
    operators: Operators<Fleet>,
    declared: Arc<DeclaredStore>,
    service: Service,
}

impl Site {
    async fn start() -> Self {
        let service = Service::start().await;
        let declared = service.store(policy());
        let known = |token: &str, role| KnownOperator {
            name: token.into(),
            credential: digest_hex(token.as_bytes()),
            role,
        };
        let bootstrap = [known("root", OperatorRole::Change), known("guest", OperatorRole::Read)];
        let operators = Operators::new(declared.clone(), Fleet, Arc::new(bootstrap));
        assert!(within(Duration::from_secs(2), || declared.loaded()).await);
        Self { operators, declared, service }
    }

    /// Makes a call and returns status and body in one line.
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
async fn a_transaction_is_shown_committed_and_described() {
    let site = Site::start().await;
    let changes = json!([tier("a", 0)]);
    let dry = site.change("guest", json!({"changes": changes, "dry_run": true})).await;
    assert_snapshot!(dry, @r#"200 {"diff":[{"action":"create","fields":[{"after":30000,"before":null,"path":"spec.max_wait_ms"},{"after":0,"before":null,"path":"spec.rank"}],"resource":"tier/a"}],"generation":1}"#);
    assert_snapshot!(site.get("resources").await, @r#"200 {"generation":0,"resources":[]}"#);
    let done = site.change("root", json!({"changes": changes})).await;
    assert_eq!(done, dry);
    assert_snapshot!(site.get("resources?kind=tier").await, @r#"200 {"generation":1,"resources":[{"kind":"tier","name":"a","spec":{"max_wait_ms":30000,"rank":0}}]}"#);
    assert_snapshot!(site.get("resources?kind=service").await, @r#"200 {"generation":1,"resources":[]}"#);
    let detail: Value = serde_json::from_str(&site.get("resources/tier/a").await[4..]).unwrap();
    assert_snapshot!(detail["status"], @r#"{"conditions":[{"message":"Every instance applies generation 1.","reason":"AppliedEverywhere","status":"true","type":"InForce"}]}"#);
    assert_eq!(detail["events"][0]["message"], "root changed it in generation 1.");
}

#[tokio::test]
async fn failures_are_problem_details() {
    let site = Site::start().await;
    site.change("root", json!({"changes": [tier("a", 0), tier("b", 1)]})).await;
    let old = json!({"changes": [tier("c", 2)], "expect_generation": 0});
    assert_snapshot!(site.change("root", old).await, @r#"409 {"conflict":{"changed":["tier/a","tier/b"],"generation":1},"kind":"change_conflict","retry_after_ms":1000,"run":"not_run","status":409,"title":"Another change came first.","type":"urn:lacewingspring:problem:change-conflict"}"#);
    let all = json!({"changes": [delete_tier("a"), delete_tier("b")]});
    assert_snapshot!(site.change("root", all).await, @r#"422 {"kind":"invalid","run":"not_run","status":422,"title":"The change breaks a constraint.","type":"urn:lacewingspring:problem:invalid","violations":[{"field":"","resource":"transaction","rule":"at least one tier is needed"}]}"#);
    for (call, status) in [
        (site.change("guest", json!({"changes": [tier("c", 2)]})).await, "403"),
        (site.change("wrong", json!({"changes": [tier("c", 2)]})).await, "401"),
        (site.change("root", json!({"changes": [{"drop": 1}]})).await, "400"),
        (site.get("resources/tier/z").await, "404"),
        (site.get("resources?kind=rank").await, "400"),
        (site.get("transactions").await, "405"),
        (site.get("wait").await, "400"),
    ] {
        assert!(call.starts_with(status), "{status}: {call}");
    }
    assert_eq!(site.declared.generation(), 1);
}

#[tokio::test]
async fn credentials_rotate_without_a_restart() {
    let site = Site::start().await;
    let ann = |token: &str, role: &str| {
        let spec = json!({"credentials": [digest_hex(token.as_bytes())], "role": role});
        json!({"changes": [{"put": {"name": "ann", "kind": "operator", "spec": spec}}]})
    };
    site.change("root", json!({"changes": [tier("a", 0)]})).await;
    assert!(site.change("first", ann("first", "change")).await.starts_with("401"));
    assert!(site.change("root", ann("first", "change")).await.starts_with("200"));
    assert!(site.change("first", ann("second", "change")).await.starts_with("200"));
    assert!(site.change("first", ann("first", "change")).await.starts_with("401"));
    assert!(site.change("second", ann("second", "read")).await.starts_with("200"));
    assert!(site.change("second", ann("second", "change")).await.starts_with("403"));
}

#[tokio::test]
async fn waiting_names_the_laggards() {
    let site = Site::start().await;
    site.change("root", json!({"changes": [tier("a", 0)]})).await;
    assert_snapshot!(site.get("wait?generation=1&timeout_ms=100").await, @r#"200 {"generation":1,"in_force":true,"laggards":[]}"#);
    site.change("root", json!({"changes": [tier("b", 1)]})).await;
    assert_snapshot!(site.get("wait?generation=2&timeout_ms=100").await, @r#"200 {"generation":2,"in_force":false,"laggards":[{"generation":1,"instance":"slow"}]}"#);
    assert_snapshot!(site.get("status").await, @r#"200 {"data_centre":"east","generation":2,"instance":"own","instances":[{"address":"127.0.0.1:80","data_centre":"east","generation":2,"heartbeat_age_ms":5,"name":"own","state":"live"},{"address":"127.0.0.1:80","data_centre":"east","generation":1,"heartbeat_age_ms":5,"name":"slow","state":"live"}],"key_value_calls":[],"roles":[]}"#);
}

#[tokio::test]
async fn an_outage_refuses_changes_and_shows_what_is_known() {
    let site = Site::start().await;
    site.change("root", json!({"changes": [tier("a", 0)]})).await;
    site.service.faults(json!({"down": true})).await;
    let refused = site.change("root", json!({"changes": [tier("b", 1)]})).await;
    assert!(refused.starts_with("503") && refused.contains(r#""run":"not_run""#), "{refused}");
    assert!(site.get("resources").await.starts_with("200"));
}
