//! Non-idempotent work runs at most once, and a completion is dispatched once, under failures, as
//! counted at the upstreams.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::support::{
    Fleet, FleetConfig,
    caller::{book, complete, engine_runs, explain, plain_runs, request_state, try_complete},
    history::{CallerOutcome, History},
};

mod support;

async fn assert_no_violations(fleet: &Fleet, history: &History) {
    let violations = history.check(&plain_runs(fleet).await);
    assert_eq!(violations, vec![], "{history:?}");
}

fn is_answer(outcome: &CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::Answer(_))
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_a_booking_once_when_the_reply_to_its_claim_is_lost() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.key_value, json!({ "lose_replies": 1 })).await;
    let mut history = History::default();
    let outcome = book(fleet.instances[0].caller_address, "lost-reply", 1).await;
    assert!(is_answer(&outcome), "{outcome:?}");
    history.add("lost-reply", None, outcome);
    let outcome = book(fleet.instances[1].caller_address, "lost-reply", 1).await;
    history.add("lost-reply", None, outcome);
    assert_no_violations(&fleet, &history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_as_not_run_while_the_key_value_service_is_down() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let at = fleet.instances[0].caller_address;
    fleet.inject_faults(fleet.key_value, json!({ "down": true })).await;
    let mut history = History::default();
    let body = json!({ "seat": 1, "client": "north" }).to_string();
    let headers = [
        support::caller::desk_credential(),
        support::caller::key_header("outage"),
        ("request-timeout-ms", "700".into()),
    ];
    let answer =
        support::call(at, "POST", "/services/booking/seats", &headers, body).await.unwrap();
    assert_eq!((answer.status, answer.json()["kind"].as_str()), (503, Some("store_unavailable")));
    assert!(answer.headers.contains_key("retry-after"));
    history.add("outage", None, CallerOutcome::NotRun);
    for key in ["goes-on", "goes-on-again"] {
        let outcome = complete(at, "lookup", key, "plot seven", 3).await;
        assert!(is_answer(&outcome), "idempotent work is served: {outcome:?}");
    }
    assert_no_violations(&fleet, &history).await;
    fleet.inject_faults(fleet.key_value, json!({ "down": false })).await;
    let outcome = book(at, "after-outage", 2).await;
    assert!(is_answer(&outcome), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_rerun_a_booking_whose_instance_was_killed() {
    let mut fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 3_000 })).await;
    let mut history = History::default();
    let first = tokio::spawn(book(fleet.instances[0].caller_address, "killed", 1));
    sleep(Duration::from_millis(1_500)).await;
    fleet.instances[0].process.kill();
    history.add("killed", None, first.await.unwrap());
    sleep(Duration::from_secs(3)).await;
    let outcome = book(fleet.instances[1].caller_address, "killed", 1).await;
    assert_eq!(outcome, CallerOutcome::MayHaveRun);
    history.add("killed", None, outcome);
    assert_eq!(
        request_state(fleet.instances[1].caller_address, "killed").await.as_deref(),
        Some("may_have_run")
    );
    fleet.restart(0);
    fleet.wait_until_ready(2).await;
    history.add("killed", None, book(fleet.instances[0].caller_address, "killed", 1).await);
    assert_no_violations(&fleet, &history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_when_the_dispatching_instance_is_frozen() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 600 })).await;
    let mut history = History::default();
    let first = tokio::spawn(book(fleet.instances[0].caller_address, "frozen", 1));
    sleep(Duration::from_millis(200)).await;
    fleet.instances[0].process.signal(Signal::STOP);
    sleep(Duration::from_secs(5)).await;
    history.add("frozen", None, book(fleet.instances[1].caller_address, "frozen", 1).await);
    fleet.instances[0].process.signal(Signal::CONT);
    history.add("frozen", None, first.await.unwrap());
    sleep(Duration::from_millis(500)).await;
    let outcome = book(fleet.instances[1].caller_address, "frozen", 1).await;
    assert!(is_answer(&outcome), "the outcome is known after the thaw: {outcome:?}");
    history.add("frozen", None, outcome);
    assert_no_violations(&fleet, &history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn joins_repeats_at_both_instances_while_the_first_runs() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 300 })).await;
    let mut history = History::default();
    let attempts: Vec<_> = (0..8)
        .map(|i| tokio::spawn(book(fleet.instances[i % 2].caller_address, "joined", 1)))
        .collect();
    for attempt in attempts {
        let outcome = attempt.await.unwrap();
        assert!(is_answer(&outcome), "{outcome:?}");
        history.add("joined", None, outcome);
    }
    assert_no_violations(&fleet, &history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_one_of_two_keys_for_the_same_act() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 200 })).await;
    let one = tokio::spawn(book(fleet.instances[0].caller_address, "act-1", 5));
    let two = tokio::spawn(book(fleet.instances[1].caller_address, "act-2", 5));
    let outcomes = [one.await.unwrap(), two.await.unwrap()];
    assert!(outcomes.iter().all(is_answer), "{outcomes:?}");
    assert_eq!(outcomes[0], outcomes[1]);
    let calls: u64 = plain_runs(&fleet).await.0.values().sum();
    assert_eq!(calls, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_may_have_run_when_the_answer_is_cut_truncated_or_mislabelled() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let mut history = History::default();
    for (seat, fault) in ["cut_before_reply", "truncate", "mislabel"].iter().enumerate() {
        fleet.inject_faults(fleet.plain_upstreams[0], json!({ *fault: 1 })).await;
        for instance in &fleet.instances {
            let outcome = book(instance.caller_address, fault, seat as u64).await;
            assert_eq!(outcome, CallerOutcome::MayHaveRun, "{fault}");
            history.add(fault, None, outcome);
        }
    }
    assert_no_violations(&fleet, &history).await;
    assert_eq!(history.may_have_run(), 6);
}

/// Requests that wait at a frozen instance while their repeats run at the other instance are
/// answered after the thaw and are not dispatched again.
#[tokio::test(flavor = "multi_thread")]
async fn dispatches_once_what_waited_at_a_frozen_home() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.instances[0].process.freeze();
    let (frozen, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let send = |at, n| async move {
        try_complete(at, "lookup", &format!("frozen-{n}"), "plot seven of the cadastre", 5).await
    };
    let waiting: Vec<_> = (0..12).map(|n| tokio::spawn(send(frozen, n))).collect();
    // The other instance becomes the home of all keys, so it authorizes the dispatches of the
    // repeats.
    sleep(Duration::from_secs(3)).await;
    let repeats: Vec<_> = (0..12).map(|n| tokio::spawn(send(other, n))).collect();
    for reply in repeats {
        let reply = reply.await.unwrap();
        assert!(is_answer(&reply.outcome), "{reply:?}");
    }
    fleet.instances[0].process.signal(Signal::CONT);
    for (n, reply) in waiting.into_iter().enumerate() {
        let reply = reply.await.unwrap();
        let steps = match &reply.outcome {
            CallerOutcome::Answer(_) => String::new(),
            _ => explain(&fleet, &format!("frozen-{n}")).await,
        };
        assert!(is_answer(&reply.outcome), "frozen-{n}: {reply:?}\n{steps}");
    }
    for run in engine_runs(&fleet).await {
        assert_eq!(run["dispatches"], 1, "{run}");
    }
}
