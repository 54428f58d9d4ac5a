//! Bad input and disconnected callers: a bad request gets the documented error and reaches no
//! upstream, and a workspace has no access to the keys of another.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::support::{
    BANK_TOKEN, DESK_TOKEN, Fleet, FleetConfig, call,
    caller::{engine_runs, upstream_id},
    http::{Response, open},
    operator_credential,
};

mod support;

fn bearer(token: &str) -> (&'static str, String) {
    ("authorization", format!("Bearer {token}"))
}

fn key(key: &str) -> (&'static str, String) {
    ("idempotency-key", key.to_owned())
}

fn completion(model: &str, prompt: &str, max_tokens: u32) -> String {
    json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true })
        .to_string()
}

/// Formats the status code, the problem kind and the `run` field of a refusal as one line of a
/// snapshot.
fn row(name: &str, answer: &Response) -> String {
    let problem: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    format!("{name}: {} {} run={}\n", answer.status, problem["kind"], problem["run"])
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_bad_input_with_the_documented_errors() {
    let fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let runs = engine_runs(&fleet).await.len();
    let desk = bearer(DESK_TOKEN);
    let completions = "/v1/completions";
    let good = completion("lookup", "plot seven", 2);
    let large = completion("lookup", &"word ".repeat(300_000), 2);
    let seat = json!({ "seat": 1, "client": "north" }).to_string();
    let cases = [
        ("malformed JSON", "POST", completions, vec![desk.clone()], "{\"model\":".to_owned()),
        ("missing field", "POST", completions, vec![desk.clone()], "{}".to_owned()),
        ("oversized body", "POST", completions, vec![desk.clone()], large.clone()),
        ("unknown service", "POST", completions, vec![desk.clone()], completion("no", "x", 1)),
        (
            "plain service as model",
            "POST",
            completions,
            vec![desk.clone()],
            completion("roster", "x", 1),
        ),
        ("no credential", "POST", completions, vec![], good.clone()),
        ("wrong credential", "POST", completions, vec![bearer("wrong")], good.clone()),
        ("empty key", "POST", completions, vec![desk.clone(), key("")], good.clone()),
        ("long key", "POST", completions, vec![desk.clone(), key(&"k".repeat(256))], good.clone()),
        (
            "bad timeout",
            "POST",
            completions,
            vec![desk.clone(), ("request-timeout-ms", "0".into())],
            good,
        ),
        ("missing key", "POST", "/services/booking/seats", vec![desk.clone()], seat.clone()),
        (
            "unknown plain service",
            "POST",
            "/services/no/x",
            vec![desk.clone(), key("a")],
            seat.clone(),
        ),
        (
            "wrong credential of a plain call",
            "POST",
            "/services/booking/seats",
            vec![bearer("wrong"), key("a")],
            seat,
        ),
        ("oversized plain body", "POST", "/services/roster/x", vec![desk.clone()], large.clone()),
        (
            "wrong credential of a key",
            "GET",
            "/v1/requests/a",
            vec![bearer("wrong")],
            String::new(),
        ),
        (
            "malformed JSON of an operator",
            "POST",
            "/operator/v1/transactions",
            vec![operator_credential()],
            "{\"changes\":".to_owned(),
        ),
        ("wrong method", "DELETE", completions, vec![desk.clone()], String::new()),
        ("unknown path", "GET", "/v2/nothing", vec![desk], String::new()),
    ];
    let mut table = String::new();
    for (name, method, path, headers, body) in cases {
        let answer = call(at, method, path, &headers, body).await.expect(name);
        assert_eq!(answer.headers["content-type"], "application/problem+json", "{name}");
        table.push_str(&row(name, &answer));
    }
    insta::assert_snapshot!(table);
    assert_eq!(engine_runs(&fleet).await.len(), runs, "no refused request reaches an engine");
    let journal = fleet.journal(fleet.plain_upstreams[0]).await;
    assert_eq!(journal["calls"].as_array().unwrap().len(), 0, "{journal}");
    let state = call(at, "GET", "/v1/requests/a", &[bearer(BANK_TOKEN)], String::new()).await;
    assert_eq!(state.unwrap().json()["state"], "not_run");
}

/// Returns the body of a valid completion request with additional fields.
fn with_fields(fields: &Value) -> String {
    let mut body = json!({ "model": "lookup", "prompt": "plot seven", "max_tokens": 2 });
    let fields = fields.as_object().expect("an object").clone();
    body.as_object_mut().expect("an object").extend(fields);
    body.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_unsupported_fields_by_name() {
    let fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let refused = [
        json!({ "messages": [{ "role": "user", "content": "plot seven" }] }),
        json!({ "logprobs": 3 }),
        json!({ "suffix": "end" }),
        json!({ "n": 2 }),
        json!({ "best_of": 2 }),
        json!({ "echo": true }),
        json!({ "temperature": 2.5 }),
        json!({ "temperature": "hot" }),
        json!({ "top_p": -0.1 }),
        json!({ "presence_penalty": 3 }),
        json!({ "frequency_penalty": -3 }),
        json!({ "seed": 0.5 }),
        json!({ "stop": ["a", "b", "c", "d", "e"] }),
        json!({ "stop": 7 }),
        json!({ "prompt": ["plot", "seven"] }),
        json!({ "max_tokens": -1 }),
        json!({ "x".repeat(100_000): 1 }),
    ];
    let mut table = String::new();
    for fields in refused {
        let headers = [bearer(DESK_TOKEN)];
        let answer = call(at, "POST", "/v1/completions", &headers, with_fields(&fields)).await;
        let answer = answer.expect("an answer");
        let problem = answer.json();
        let detail = problem["detail"].as_str().expect("a detail");
        let fields = fields.to_string();
        let name = if fields.len() < 100 { fields.as_str() } else { "a long name" };
        let detail = if detail.contains("xxxx") { "(cut)" } else { detail };
        table.push_str(&row(name, &answer));
        table.push_str(&format!("    {detail}\n"));
        assert!(answer.body.len() < 1_000, "{name}");
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_sampling_parameters_to_the_engine() {
    let fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let sampling = json!({
        "temperature": 0.5, "top_p": 0.25, "presence_penalty": -1.0, "frequency_penalty": 1.5,
        "seed": -7, "stop": ["end", "."]
    });
    let neutral = json!({ "n": 1, "best_of": null, "echo": false, "user": { "id": 4 } });
    let send = |request_key: &str, fields: &Value| {
        let headers = [bearer(DESK_TOKEN), key(request_key)];
        let body = with_fields(fields);
        async move { call(at, "POST", "/v1/completions", &headers, body).await.unwrap() }
    };
    assert_eq!(send("sampled", &sampling).await.status, 200);
    assert_eq!(send("neutral", &neutral).await.status, 200);
    let other = send("sampled", &json!({ "temperature": 0.6 })).await;
    assert_eq!(other.json()["kind"], "key_conflict");
    let runs = engine_runs(&fleet).await;
    let of = |key: &str| runs.iter().find(|run| run["id"] == upstream_id(key)).unwrap();
    assert_eq!(of("sampled")["sampling"], sampling);
    assert_eq!(of("neutral")["sampling"], Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn closes_connections_with_oversized_heads_or_slow_requests() {
    let fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let mut large = TcpStream::connect(at).await.unwrap();
    let head =
        format!("GET /v1/addresses HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "a".repeat(40_000));
    let _ = large.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(10), large.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "an oversized head closes the connection");
    assert!(!String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 200"));

    let mut slow = TcpStream::connect(at).await.unwrap();
    slow.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n").await.unwrap();
    let mut buf = [0; 512];
    let read = timeout(Duration::from_secs(15), slow.read(&mut buf)).await;
    assert!(read.is_ok(), "an unfinished head closes the connection");

    let mut slow = TcpStream::connect(at).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    slow.write_all(head.as_bytes()).await.unwrap();
    let read = timeout(Duration::from_secs(15), slow.read(&mut buf)).await;
    let len = read.expect("an unfinished body closes the connection").unwrap();
    let answer = String::from_utf8_lossy(&buf[..len]).into_owned();
    assert!(len == 0 || answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_the_run_of_a_disconnected_caller() {
    let config = FleetConfig { instances: 1, ..FleetConfig::default() };
    let fleet = Fleet::start(config).await;
    let at = fleet.instances[0].caller_address;
    let headers = [bearer(DESK_TOKEN), key("vanished")];
    let body = completion("summary", "a long dossier", 2_000);
    let mut stream = open(at, "POST", "/v1/completions", &headers, body).await.unwrap();
    stream.next().await.unwrap();
    drop(stream);
    let cancelled = async {
        loop {
            let journal = fleet.journal(fleet.engines[0]).await;
            let runs = journal["requests"].as_array().unwrap();
            if runs.iter().any(|run| run["cancelled"] == true) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(10), cancelled).await.expect("the run is cancelled");
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_the_outcome_of_a_booking_whose_caller_disconnected() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 500 })).await;
    let at = fleet.instances[0].caller_address;
    let mut partial = TcpStream::connect(at).await.unwrap();
    let head = "POST /services/booking/seats HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    partial.write_all(head.as_bytes()).await.unwrap();
    drop(partial);
    let seat = json!({ "seat": 5, "client": "north" }).to_string();
    let request = format!(
        "POST /services/booking/seats HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {DESK_TOKEN}\r\n\
         idempotency-key: left\r\ncontent-length: {}\r\n\r\n{seat}",
        seat.len()
    );
    let mut complete = TcpStream::connect(at).await.unwrap();
    complete.write_all(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    drop(complete);
    let headers = [bearer(DESK_TOKEN), key("left")];
    let other = fleet.instances[1].caller_address;
    let repeat = call(other, "POST", "/services/booking/seats", &headers, seat).await.unwrap();
    assert_eq!(repeat.status, 200, "{}", repeat.body);
    let journal = fleet.journal(fleet.plain_upstreams[0]).await;
    assert_eq!(journal["calls"].as_array().unwrap().len(), 1, "{journal}");
}

#[tokio::test(flavor = "multi_thread")]
async fn isolates_the_keys_of_workspaces() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let at = fleet.instances[0].caller_address;
    let seat = json!({ "seat": 1, "client": "north" }).to_string();
    let path = "/services/booking/seats";
    let desk = [bearer(DESK_TOKEN), key("same")];
    let bank = [bearer(BANK_TOKEN), key("same")];
    let first = call(at, "POST", path, &desk, seat.clone()).await.unwrap();
    let other = call(at, "POST", path, &bank, seat.clone()).await.unwrap();
    assert_eq!((first.status, other.status), (200, 200));
    assert_ne!(first.body, other.body);
    let changed = json!({ "seat": 2, "client": "north" }).to_string();
    let conflict = call(at, "POST", path, &desk, changed).await.unwrap();
    assert_eq!(conflict.status, 409, "{}", conflict.body);
    let state = call(at, "GET", "/v1/requests/same", &desk, String::new()).await.unwrap();
    assert_eq!(state.json()["state"], "ran");
    let slash = [bearer(DESK_TOKEN), key("k/1")];
    let seat = json!({ "seat": 3, "client": "north" }).to_string();
    assert_eq!(call(at, "POST", path, &slash, seat).await.unwrap().status, 200);
    let state = call(at, "GET", "/v1/requests/k%2F1", &desk, String::new()).await.unwrap();
    assert_eq!((&state.json()["key"], &state.json()["state"]), (&json!("k/1"), &json!("ran")));
}

#[tokio::test(flavor = "multi_thread")]
async fn returns_the_first_outcome_for_the_same_act_under_another_key() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let seat = json!({ "seat": 9, "client": "south" }).to_string();
    let retyped = json!({ "client": "south", "seat": 9, "note": "again" }).to_string();
    let path = "/services/booking/seats";
    let one = [bearer(DESK_TOKEN), key("typed")];
    let two = [bearer(DESK_TOKEN), key("retyped")];
    let first = call(fleet.instances[0].caller_address, "POST", path, &one, seat).await.unwrap();
    let again = call(fleet.instances[1].caller_address, "POST", path, &two, retyped).await.unwrap();
    assert_eq!((first.status, &first.body), (again.status, &again.body));
    let journal = fleet.journal(fleet.plain_upstreams[0]).await;
    assert_eq!(journal["calls"].as_array().unwrap().len(), 1, "{journal}");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_query_voids_an_unknown_key() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let headers = [bearer(DESK_TOKEN), key("asked-first")];
    let state = call(
        fleet.instances[0].caller_address,
        "GET",
        "/v1/requests/asked-first",
        &headers,
        String::new(),
    );
    assert_eq!(state.await.unwrap().json()["state"], "not_run");
    let seat = json!({ "seat": 3, "client": "east" }).to_string();
    let late =
        call(fleet.instances[1].caller_address, "POST", "/services/booking/seats", &headers, seat);
    let late = late.await.unwrap();
    assert_eq!((late.status, late.json()["kind"].as_str()), (409, Some("voided")));
    let journal = fleet.journal(fleet.plain_upstreams[0]).await;
    assert_eq!(journal["calls"].as_array().unwrap().len(), 0, "{journal}");
}
