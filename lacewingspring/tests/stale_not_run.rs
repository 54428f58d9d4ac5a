//! A retry of a request that ran is never refused as "not run", whatever prevents its answer.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::support::{
    Fleet, FleetConfig,
    caller::{
        Reply, desk_credential, engine_runs, key_header, plain_runs, request_state, try_book,
        try_complete,
    },
    history::{CallerOutcome, History},
};

mod support;

/// Time after a membership change until the instances treat their views as settled.
const VIEW_SETTLE_TIME: Duration = Duration::from_secs(6);

async fn assert_no_violations(
    fleet: &Fleet,
    request_key: &str,
    first: CallerOutcome,
    repeat: Reply,
) {
    let mut history = History::default();
    history.add(request_key, None, first);
    history.add(request_key, None, repeat.outcome.clone());
    assert_eq!(history.check(&plain_runs(fleet).await), vec![], "{repeat:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_in_a_key_value_outage_is_not_refused_as_not_run() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let first = try_book(fleet.instances[0].caller_address, "repeat", 1).await.outcome;
    assert!(matches!(first, CallerOutcome::Answer(_)), "{first:?}");
    fleet.inject_faults(fleet.key_value, json!({ "down": true })).await;
    let body = json!({ "seat": 1, "client": "north" }).to_string();
    let headers = [desk_credential(), key_header("repeat"), ("request-timeout-ms", "700".into())];
    let at = fleet.instances[1].caller_address;
    let answer = support::call(at, "POST", "/services/booking/seats", &headers, body).await;
    assert_no_violations(&fleet, "repeat", first, support::caller::parse_reply(answer.unwrap()))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_at_a_leaving_instance_is_not_refused_as_not_run() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let first = try_book(fleet.instances[0].caller_address, "repeat", 1).await.outcome;
    assert!(matches!(first, CallerOutcome::Answer(_)), "{first:?}");
    fleet.instances[1].process.signal(Signal::TERM);
    sleep(Duration::from_millis(300)).await;
    let repeat = try_book(fleet.instances[1].caller_address, "repeat", 1).await;
    assert_no_violations(&fleet, "repeat", first, repeat).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn void_survives_two_moves_of_its_key_home() {
    let mut fleet = Fleet::start(FleetConfig::default()).await;
    let keys: Vec<String> = (0..12).map(|n| format!("void-{n}")).collect();
    fleet.instances[0].process.kill();
    sleep(Duration::from_secs(3)).await;
    for key in &keys {
        let state = request_state(fleet.instances[1].caller_address, key).await;
        assert_eq!(state.as_deref(), Some("not_run"), "{key}");
    }
    // Instance 0 becomes the home of half of the keys once it is back, of all keys while instance 1
    // restarts, and of half of them once instance 1 is back.
    for restarted in [0, 1] {
        fleet.restart(restarted);
        fleet.wait_until_ready(2).await;
        sleep(VIEW_SETTLE_TIME).await;
    }
    for (n, key) in keys.iter().enumerate() {
        let at = fleet.instances[n % 2].caller_address;
        let reply = try_complete(at, "lookup", key, "plot seven of the cadastre", 5).await;
        assert_eq!(
            (reply.outcome, reply.kind.as_str()),
            (CallerOutcome::NotRun, "voided"),
            "{key}"
        );
    }
    let runs = engine_runs(&fleet).await;
    // The prompt of a readiness check is one token.
    let by_caller = |run: &&serde_json::Value| run["prompt_tokens"] != 1;
    assert_eq!(runs.iter().filter(by_caller).count(), 0, "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_after_a_status_query_of_a_claimed_key_is_not_refused_as_not_run() {
    let mut fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 3_000 })).await;
    let keys: Vec<String> = (0..6).map(|n| format!("claimed-{n}")).collect();
    let (first, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let mut attempts = Vec::new();
    for (seat, key) in keys.iter().cloned().enumerate() {
        attempts
            .push(tokio::spawn(async move { try_book(first, &key, seat as u64).await.outcome }));
    }
    sleep(Duration::from_millis(1_500)).await;
    fleet.instances[0].process.kill();
    sleep(Duration::from_secs(3)).await;
    for (seat, (key, attempt)) in keys.iter().zip(attempts).enumerate() {
        assert_eq!(request_state(other, key).await.as_deref(), Some("may_have_run"), "{key}");
        let repeat = try_book(other, key, seat as u64).await;
        assert_no_violations(&fleet, key, attempt.await.unwrap(), repeat).await;
    }
}
