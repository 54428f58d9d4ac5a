//! Sends bookings, completions and status queries to a test fleet and classifies the responses for
//! a history.

use std::net::SocketAddr;

use lacewingspring_core::catalog::digest_hex;
use serde_json::{Value, json};

use super::{
    DESK_TOKEN, Fleet, call,
    history::{CallerOutcome, Runs},
    http::Response,
    operator_credential,
};

/// Returns the credential header of the workspace `desk`.
pub fn desk_credential() -> (&'static str, String) {
    ("authorization", format!("Bearer {DESK_TOKEN}"))
}

/// Returns the header that carries the key of a request.
pub fn key_header(key: &str) -> (&'static str, String) {
    ("idempotency-key", key.to_owned())
}

/// Outcome of a call with the kind of its refusal.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Outcome that the response states.
    pub outcome: CallerOutcome,
    /// Kind of the refusal; empty for an answer or an interrupted exchange.
    pub kind: String,
}

impl Reply {
    fn of(outcome: CallerOutcome) -> Self {
        Self { outcome, kind: String::new() }
    }
}

/// Books a seat and returns the outcome.
pub async fn book(at: SocketAddr, request_key: &str, seat: u64) -> CallerOutcome {
    try_book(at, request_key, seat).await.outcome
}

/// Books a seat and returns the outcome with the kind of a refusal.
pub async fn try_book(at: SocketAddr, request_key: &str, seat: u64) -> Reply {
    let body = json!({ "seat": seat, "client": "north" }).to_string();
    let headers = [desk_credential(), key_header(request_key)];
    match call(at, "POST", "/services/booking/seats", &headers, body).await {
        Ok(response) => parse_reply(response),
        Err(_) => Reply::of(CallerOutcome::Interrupted),
    }
}

/// Requests a completion and returns the outcome, which holds the text of an answer.
pub async fn complete(
    at: SocketAddr,
    service: &str,
    request_key: &str,
    prompt: &str,
    tokens: u32,
) -> CallerOutcome {
    try_complete(at, service, request_key, prompt, tokens).await.outcome
}

/// Requests a completion and returns the outcome with the kind of a refusal.
pub async fn try_complete(
    at: SocketAddr,
    service: &str,
    request_key: &str,
    prompt: &str,
    tokens: u32,
) -> Reply {
    let body = json!({ "model": service, "prompt": prompt, "max_tokens": tokens, "stream": true });
    let headers = [desk_credential(), key_header(request_key)];
    let response = call(at, "POST", "/v1/completions", &headers, body.to_string()).await;
    match response {
        Ok(response) if response.status == 200 && !response.body.contains("event: error") => {
            Reply::of(response.text().map_or(CallerOutcome::Interrupted, CallerOutcome::Answer))
        }
        Ok(response) if response.status == 200 => {
            let data =
                response.body.lines().filter_map(|line| line.strip_prefix("data: ")).next_back();
            let error: Value = serde_json::from_str(data.unwrap_or("null")).unwrap_or_default();
            let kind = error["error"].as_str().unwrap_or_default().to_owned();
            Reply { outcome: CallerOutcome::MayHaveRun, kind }
        }
        Ok(response) => parse_reply(response),
        Err(_) => Reply::of(CallerOutcome::Interrupted),
    }
}

/// Queries the state of a key; `None` if the exchange fails or the response has no state.
pub async fn request_state(at: SocketAddr, request_key: &str) -> Option<String> {
    let path = format!("/v1/requests/{request_key}");
    let response = call(at, "GET", &path, &[desk_credential()], String::new()).await.ok()?;
    Some(response.json()["state"].as_str()?.to_owned())
}

/// Returns the decisions that each instance recorded about a key, for the message of a failed
/// assertion.
pub async fn explain(fleet: &Fleet, request_key: &str) -> String {
    let path = format!("/operator/v1/explain?workspace=desk&key={request_key}");
    let mut report = String::new();
    for instance in &fleet.instances {
        let response =
            call(instance.caller_address, "GET", &path, &[operator_credential()], String::new())
                .await;
        let body = response.map_or_else(|_| "no response".into(), |response| response.body);
        report.push_str(&format!("{}: {body}\n", instance.name));
    }
    report
}

/// Classifies the response to a plain call, or a refusal, by its status and its `run` field.
pub fn parse_reply(response: Response) -> Reply {
    if response.status == 200 {
        return Reply::of(CallerOutcome::Answer(response.body));
    }
    let problem = response.json();
    let kind = problem["kind"].as_str().unwrap_or_default().to_owned();
    let outcome = match problem["run"].as_str() {
        Some("not_run") => CallerOutcome::NotRun,
        _ => CallerOutcome::MayHaveRun,
    };
    Reply { outcome, kind }
}

/// Returns the identifier that the daemon sends to upstreams for a key of the workspace `desk`.
pub fn upstream_id(request_key: &str) -> String {
    digest_hex(format!("desk\0{request_key}").as_bytes())[..32].to_owned()
}

/// Counts the calls of each key at the plain upstreams.
pub async fn plain_runs(fleet: &Fleet) -> Runs {
    let mut runs = Runs::default();
    for upstream in &fleet.plain_upstreams {
        let journal = fleet.journal(*upstream).await;
        for call in journal["calls"].as_array().into_iter().flatten() {
            let key = call["idempotency_key"].as_str().unwrap_or_default();
            *runs.0.entry(key.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Returns the runs in the journals of all engines.
pub async fn engine_runs(fleet: &Fleet) -> Vec<Value> {
    let mut runs = Vec::new();
    for engine in &fleet.engines {
        let journal = fleet.journal(*engine).await;
        runs.extend(journal["requests"].as_array().cloned().unwrap_or_default());
    }
    runs
}
