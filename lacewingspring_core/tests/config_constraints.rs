//! Violations of the constraints on declared state name the resource, the field and the rule.

use insta::assert_snapshot;
use lacewingspring_core::{
    config::{DeclaredState, Transaction, diff},
    resources::Resource,
};
use serde_json::{Value, json};

fn put(name: &str, kind: &str, spec: Value) -> Value {
    json!({"put": {"name": name, "kind": kind, "spec": spec}})
}

fn delete(name: &str, kind: &str) -> Value {
    json!({"delete": {"name": name, "kind": kind}})
}

fn transaction(changes: Vec<Value>) -> Transaction {
    serde_json::from_value(json!({ "changes": changes })).unwrap()
}

fn upstream(name: &str, address: &str) -> Value {
    json!({"name": name, "address": address, "data_centre": "a"})
}

fn base() -> DeclaredState {
    let digest = "ab".repeat(32);
    let engines = json!({"type": "engine", "upstreams": [upstream("e1", "127.0.0.1:9000")]});
    let changes = vec![
        put("high", "tier", json!({"rank": 0})),
        put("low", "tier", json!({"rank": 1})),
        put("engines", "engine_pool", engines),
        put("plain", "engine_pool", json!({"type": "plain", "upstreams": []})),
        put(
            "tutor",
            "service",
            json!({"protocol": "completions", "pool": "engines",
            "tier": "high", "idempotent": true}),
        ),
        put("school", "workspace", json!({"credentials": [digest]})),
    ];
    DeclaredState::default().apply(&transaction(changes)).unwrap()
}

/// Applies a transaction to the base state and returns its violations, one per line.
fn check(changes: Vec<Value>) -> String {
    let violations = base().apply(&transaction(changes)).err().unwrap_or_default();
    let lines = violations.iter().map(|violation| {
        let resource = violation.resource.as_ref().map_or("-".into(), ToString::to_string);
        format!("{resource} {}: {}", violation.field, violation.rule)
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn targets_of_references_exist() {
    let booking = json!({"protocol": "plain", "pool": "none", "tier": "mid", "idempotent": false});
    assert_snapshot!(check(vec![put("booking", "service", booking)]), @r"
    service/booking tier: tier/mid does not exist
    service/booking pool: engine_pool/none does not exist
    ");
    assert_snapshot!(check(vec![delete("high", "tier"), delete("engines", "engine_pool")]), @r"
    tier/high : service/tutor still refers to it
    engine_pool/engines : service/tutor still refers to it
    ");
}

#[test]
fn at_least_one_tier_remains() {
    let all = ["high", "low"].map(|name| delete(name, "tier"));
    let changes = [&all[..], &[delete("tutor", "service")]].concat();
    assert_snapshot!(check(changes), @"- : at least one tier is needed");
}

#[test]
fn unique_values_are_used_once() {
    let duplicate = json!({"type": "engine", "upstreams": [upstream("e1", "127.0.0.1:9000")]});
    let changes = vec![
        put("mid", "tier", json!({"rank": 1})),
        put("twin", "engine_pool", duplicate),
        put("ann", "operator", json!({"credentials": ["AB".repeat(32)], "role": "read"})),
    ];
    assert_snapshot!(check(changes), @r"
    tier/mid rank: it is used by tier/low too
    operator/ann credentials[0]: it is used by workspace/school too
    engine_pool/twin upstreams[0].name: it is used by engine_pool/engines too
    engine_pool/twin upstreams[0].address: it is used by engine_pool/engines too
    ");
}

#[test]
fn values_have_the_right_form_and_range() {
    let invalid = json!({"name": "e 2", "address": "localhost:1", "data_centre": "", "slots": 0,
        "prefill_tokens_per_second": 0.0, "decode_ms": -1.0, "kv_tokens": 0});
    let school = json!({"credentials": ["+f"], "weight": 0,
        "limits": {"requests_per_second": 0, "concurrency": 1_000_001}});
    let drill = json!({"protocol": "plain", "pool": "engines", "tier": "low", "idempotent": true,
        "act_fields": ["seat"], "expected_tokens": 0});
    let changes = vec![
        put("engines", "engine_pool", json!({"type": "engine", "upstreams": [invalid]})),
        put("school", "workspace", school),
        put("drill", "service", drill),
        put("low", "tier", json!({"rank": 1, "max_wait_ms": 0})),
    ];
    assert_snapshot!(check(changes), @r"
    tier/low max_wait_ms: it must be between 1 and 3600000
    engine_pool/engines upstreams[0].name: a name has 1 to 63 letters, digits, dots, hyphens or underscores
    engine_pool/engines upstreams[0].data_centre: a name has 1 to 63 letters, digits, dots, hyphens or underscores
    engine_pool/engines upstreams[0].address: it must be an address of the form IP:port
    engine_pool/engines upstreams[0].slots: it must be between 1 and 4096
    engine_pool/engines upstreams[0].kv_tokens: it must be between 1 and 4294967296
    engine_pool/engines upstreams[0].prefill_tokens_per_second: it must be a positive number
    engine_pool/engines upstreams[0].decode_ms: it must be a positive number
    service/drill pool: the type of engine_pool/engines does not fit the protocol
    service/drill act_fields: only a non-idempotent service may have these
    service/drill expected_tokens: it must be between 1 and 1000000
    workspace/school credentials[0]: it must be a SHA-256 digest of 64 hexadecimal digits
    workspace/school weight: it must be between 1 and 1000
    workspace/school limits.requests_per_second: it must be between 1 and 1000000
    workspace/school limits.concurrency: it must be between 1 and 1000000
    ");
}

#[test]
fn managed_pools_have_engines_model_and_version() {
    let plain = json!({"type": "plain", "upstreams": [], "managed": true, "at_once": 0});
    assert_snapshot!(check(vec![put("plain", "engine_pool", plain)]), @r"
    engine_pool/plain at_once: it must be between 1 and 1024
    engine_pool/plain managed: only a pool of type engine may be managed
    engine_pool/plain model: a managed pool needs it
    engine_pool/plain version: a managed pool needs it
    ");
}

#[test]
fn transactions_are_well_formed() {
    assert_snapshot!(check(vec![]), @"- changes: a transaction holds at least one change");
    let twice = vec![put("low", "tier", json!({"rank": 3})), delete("low", "tier")];
    assert_snapshot!(check(twice), @"tier/low : a transaction names a resource at most once");
    assert_snapshot!(check(vec![delete("x", "tier")]), @"tier/x : there is no such resource");
    let too_many =
        (0..101).map(|i| put(&format!("t{i}"), "tier", json!({"rank": i + 2}))).collect();
    assert_snapshot!(check(too_many), @"- changes: there may be at most 100 of these");
    let large = json!({"protocol": "plain", "pool": "plain", "tier": "low", "idempotent": false,
        "act_fields": ["x".repeat(256 << 10)]});
    let too_large = (0..5).map(|i| put(&format!("s{i}"), "service", large.clone())).collect();
    assert!(check(too_large).starts_with("- changes: it may be at most 1048576 bytes as JSON"));
    assert_snapshot!(check(vec![put("s", "service", large)]),
        @"service/s : it may be at most 262144 bytes as JSON");
}

#[test]
fn size_of_the_state_is_limited() {
    let fields = ["x".repeat(250 << 10)];
    let spec = json!({"protocol": "plain", "pool": "plain", "tier": "low", "idempotent": false,
        "act_fields": fields});
    let mut declared = base();
    for i in 0..12 {
        let one = transaction(vec![put(&format!("s{i}"), "service", spec.clone())]);
        declared = declared.apply(&one).unwrap();
    }
    let violations = declared.apply(&transaction(vec![put("s12", "service", spec)])).unwrap_err();
    assert_snapshot!(violations[0].rule, @"it may be at most 3145728 bytes as JSON");
}

#[test]
fn diff_lists_changed_fields_with_their_values() {
    let before = base();
    let changes = vec![
        put("low", "tier", json!({"rank": 4})),
        put("high", "tier", json!({"rank": 0})),
        delete("school", "workspace"),
    ];
    let transaction = transaction(changes);
    let after = before.apply(&transaction).unwrap();
    let lines = diff(&before, &after, &transaction).into_iter().map(|resource| {
        let fields = resource.fields.iter();
        let fields =
            fields.map(|field| format!(" {} {}->{}", field.path, field.before, field.after));
        format!("{} {:?}{}", resource.resource, resource.action, fields.collect::<String>())
    });
    let lines = lines.collect::<Vec<_>>().join("\n").replace(&"ab".repeat(32), "<digest>");
    assert_snapshot!(lines, @r#"
    tier/high None
    tier/low Change spec.rank 1->4
    workspace/school Delete spec.credentials[0] "<digest>"->null spec.limits.concurrency 1000->null spec.limits.requests_per_second 1000->null spec.weight 1->null
    "#);
    let id = serde_json::from_value::<Resource>(json!({"name": "low", "kind": "tier",
        "spec": {"rank": 4}}));
    assert_eq!(after.generation_of(&id.unwrap().id()), Some(2));
}
