//! Callers of a test fleet: bookings, completions and key states, told as a history tells them.

use std::net::SocketAddr;

use lacewingspring_core::catalog::digest_hex;
use serde_json::{Value, json};

use super::{
    DESK_TOKEN, Fleet, call,
    history::{CallerOutcome, Runs},
    http::Answer,
    operator_credential,
};

/// Credential header of the workspace `desk`.
pub fn desk_credential() -> (&'static str, String) {
    ("authorization", format!("Bearer {DESK_TOKEN}"))
}

/// Header with the key of a request.
pub fn key_header(key: &str) -> (&'static str, String) {
    ("idempotency-key", key.to_owned())
}

/// What a caller was told, and the kind of the refusal; empty for an answer or a cut.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What the caller was told.
    pub outcome: CallerOutcome,
    /// Kind of the refusal.
    pub kind: String,
}

impl Reply {
    fn of(outcome: CallerOutcome) -> Self {
        Self { outcome, kind: String::new() }
    }
}

/// Books a seat.
pub async fn book(at: SocketAddr, request_key: &str, seat: u64) -> CallerOutcome {
    try_book(at, request_key, seat).await.outcome
}

/// Books a seat and returns the kind of a refusal too.
pub async fn try_book(at: SocketAddr, request_key: &str, seat: u64) -> Reply {
    let body = json!({ "seat": seat, "client": "north" }).to_string();
    let headers = [desk_credential(), key_header(request_key)];
    match call(at, "POST", "/services/booking/seats", &headers, body).await {
        Ok(answer) => parse_reply(answer),
        Err(_) => Reply::of(CallerOutcome::Interrupted),
    }
}

/// Asks for a completion and returns its text.
pub async fn complete(
    at: SocketAddr,
    service: &str,
    request_key: &str,
    prompt: &str,
    tokens: u32,
) -> CallerOutcome {
    try_complete(at, service, request_key, prompt, tokens).await.outcome
}

/// Asks for a completion and returns its text, or the kind of a refusal.
pub async fn try_complete(
    at: SocketAddr,
    service: &str,
    request_key: &str,
    prompt: &str,
    tokens: u32,
) -> Reply {
    let body = json!({ "model": service, "prompt": prompt, "max_tokens": tokens, "stream": true });
    let headers = [desk_credential(), key_header(request_key)];
    let answer = call(at, "POST", "/v1/completions", &headers, body.to_string()).await;
    match answer {
        Ok(answer) if answer.status == 200 && !answer.body.contains("event: error") => {
            Reply::of(answer.text().map_or(CallerOutcome::Interrupted, CallerOutcome::Answer))
        }
        Ok(answer) if answer.status == 200 => {
            let data =
                answer.body.lines().filter_map(|line| line.strip_prefix("data: ")).next_back();
            let error: Value = serde_json::from_str(data.unwrap_or("null")).unwrap_or_default();
            let kind = error["error"].as_str().unwrap_or_default().to_owned();
            Reply { outcome: CallerOutcome::MayHaveRun, kind }
        }
        Ok(answer) => parse_reply(answer),
        Err(_) => Reply::of(CallerOutcome::Interrupted),
    }
}

/// Asks what became of a key.
pub async fn request_state(at: SocketAddr, request_key: &str) -> Option<String> {
    let path = format!("/v1/requests/{request_key}");
    let answer = call(at, "GET", &path, &[desk_credential()], String::new()).await.ok()?;
    Some(answer.json()["state"].as_str()?.to_owned())
}

/// Returns what each instance says that it decided about a key, for the message of a failure.
pub async fn explain(fleet: &Fleet, request_key: &str) -> String {
    let path = format!("/operator/v1/explain?workspace=desk&key={request_key}");
    let mut said = String::new();
    for instance in &fleet.instances {
        let answer =
            call(instance.caller_address, "GET", &path, &[operator_credential()], String::new())
                .await;
        let body = answer.map_or_else(|_| "no answer".into(), |answer| answer.body);
        said.push_str(&format!("{}: {body}\n", instance.name));
    }
    said
}

/// Returns what an answer tells its caller.
pub fn parse_reply(answer: Answer) -> Reply {
    if answer.status == 200 {
        return Reply::of(CallerOutcome::Answer(answer.body));
    }
    let problem = answer.json();
    let kind = problem["kind"].as_str().unwrap_or_default().to_owned();
    let outcome = match problem["run"].as_str() {
        Some("not_run") => CallerOutcome::NotRun,
        _ => CallerOutcome::MayHaveRun,
    };
    Reply { outcome, kind }
}

/// Names a run of the workspace `desk` as the daemon names it at upstreams.
pub fn upstream_id(request_key: &str) -> String {
    digest_hex(format!("desk\0{request_key}").as_bytes())[..32].to_owned()
}

/// Counts the calls of each key at the plain servers.
pub async fn plain_runs(fleet: &Fleet) -> Runs {
    let mut runs = Runs::default();
    for server in &fleet.plain_upstreams {
        let journal = fleet.journal(*server).await;
        for call in journal["calls"].as_array().into_iter().flatten() {
            let key = call["idempotency_key"].as_str().unwrap_or_default();
            *runs.0.entry(key.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Returns the runs that the engines journalled.
pub async fn engine_runs(fleet: &Fleet) -> Vec<Value> {
    let mut runs = Vec::new();
    for engine in &fleet.engines {
        let journal = fleet.journal(*engine).await;
        runs.extend(journal["requests"].as_array().cloned().unwrap_or_default());
    }
    runs
}
