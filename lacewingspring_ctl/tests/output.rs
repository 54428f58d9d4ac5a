//! Snapshots of the help, of printed tables and of the requests that the commands send.

use insta::assert_snapshot;

use crate::support::{Reply, Responder, run};

mod support;

const RESOURCES: &str = r#"{"generation":7,"resources":[
    {"kind":"tier","name":"counter","spec":{"rank":0}},
    {"kind":"engine_pool","name":"judgments","spec":{"type":"engine","model":"m1","upstreams":[
        {"name":"e1","address":"10.0.0.1:80","data_centre":"cluj"}]}},
    {"kind":"service","name":"lookup","spec":{
        "protocol":"completions","pool":"judgments","tier":"counter","idempotent":true}},
    {"kind":"workspace","name":"chamber","spec":{"credentials":["ab"],"weight":3}}]}"#;

const DIFF: &str = r#"{"generation":8,"diff":[
    {"resource":{"kind":"tier","name":"counter"},"action":"change",
     "fields":[{"path":"rank","before":1,"after":0},{"path":"max_wait_ms","before":null,"after":5}]},
    {"resource":"service/lookup","action":"create","fields":[{"path":"pool","after":"judgments"}]},
    {"resource":"workspace/old","action":"delete","fields":[]}]}"#;

fn request_and_output(args: &[&str], answer: &str) -> String {
    let responder = Responder::start([Reply::json(200, answer)]);
    let run = responder.run(args);
    assert_eq!((run.code, run.stderr.as_str()), (0, ""));
    format!("{}\n{}", responder.request(), run.stdout)
}

#[test]
fn prints_help() {
    assert_snapshot!(run(&["--help"]).stdout);
}

#[test]
fn get_groups_by_kind() {
    assert_snapshot!(request_and_output(&["get"], RESOURCES));
}

#[test]
fn get_json_can_be_applied_again() {
    let json = Responder::start([Reply::json(200, RESOURCES)]).run(&["get", "--output", "json"]);
    let responder = Responder::start([Reply::json(200, DIFF)]);
    let run = responder.run_stdin(&["apply", "-f", "-", "--expect-generation", "7"], &json.stdout);
    assert_eq!(run.code, 0);
    assert_snapshot!(format!("{}\n{}", responder.request(), run.stdout));
}

#[test]
fn describe_shows_why_states_differ() {
    let answer = r#"{"generation":7,
        "resource":{"kind":"tier","name":"counter","spec":{"rank":0}},
        "status":{"conditions":[
            {"type":"Accepted","status":"true","reason":"Valid","message":""},
            {"type":"InForce","status":"false","reason":"Lagging","message":"b2 applies 6"}]},
        "events":[{"at":"2026-12-03T22:00:00Z","reason":"Changed","message":"rank 1 to 0"}]}"#;
    assert_snapshot!(request_and_output(&["describe", "tier", "counter"], answer));
}

#[test]
fn delete_sends_kind_and_name() {
    let answer = r#"{"generation":9,"diff":[{"resource":"workspace/a b","action":"delete"}]}"#;
    assert_snapshot!(request_and_output(&["delete", "workspaces", "a b", "--dry-run"], answer));
}

#[test]
fn status_lists_instances_and_roles() {
    let answer = r#"{"instance":"a1","data_centre":"cluj","generation":7,"instances":[
        {"name":"a1","data_centre":"cluj","address":"10.0.0.1:7400","state":"live","generation":7,
         "heartbeat_age_ms":120},
        {"name":"b2","data_centre":"iasi","address":"10.1.0.1:7400","state":"leaving"}],
        "roles":[{"role":"judgments@cluj","holder":"a1"},{"role":"orders"}],
        "key_value_calls":[{"purpose":"watch","calls":12},{"purpose":"lease","calls":0}]}"#;
    assert_snapshot!(request_and_output(&["status"], answer));
}

#[test]
fn addresses_show_weights() {
    let answer = r#"{"ttl_ms":5000,"addresses":[
        {"address":"10.0.0.1:7400","data_centre":"cluj","weight":3},
        {"address":"10.1.0.1:7400","data_centre":"iasi","weight":0.5}]}"#;
    assert_snapshot!(request_and_output(&["addresses"], answer));
}

#[test]
fn metrics_show_percentiles() {
    let answer = r#"{"instance":"a1","histograms":[{"metric":"first_token","unit":"ms",
        "workspace":"chamber","tier":"counter","count":90,"p50":12,"p90":20.4812,"p99":31,"max":40}]}"#;
    assert_snapshot!(request_and_output(&["metrics"], answer));
}

#[test]
fn explain_lists_decisions() {
    let answer = r#"{"workspace":"chamber","key":"k/1","steps":[
        {"at":1709251199999,"reason":"Waited","message":"no slot in judgments"},
        {"at":1798761600000,"reason":"Dispatched","message":"e1"}]}"#;
    assert_snapshot!(request_and_output(&["explain", "chamber", "k/1"], answer));
}

#[test]
fn request_shows_the_state_of_a_key() {
    assert_snapshot!(request_and_output(&["request", "k/1"], r#"{"key":"k/1","state":"not_run"}"#));
}

#[test]
fn wait_lists_laggards() {
    let answer =
        r#"{"in_force":false,"generation":8,"laggards":[{"instance":"b2","generation":7}]}"#;
    let responder = Responder::start([Reply::json(200, answer)]);
    let run = responder.run(&["wait", "--generation", "8", "--timeout", "5"]);
    assert_eq!(run.code, 1);
    assert_snapshot!(format!("{}\n{}", responder.request(), run.stdout));
}
