//! Non-idempotent work runs at most once, counted at the upstream, under failure.

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

async fn checked(fleet: &Fleet, history: &History) {
    let broken = history.check(&plain_runs(fleet).await);
    assert_eq!(broken, vec![], "{history:?}");
}

fn answered(told: &CallerOutcome) -> bool {
    matches!(told, CallerOutcome::Answer(_))
}

#[tokio::test(flavor = "multi_thread")]
async fn settles_a_claim_whose_reply_was_lost() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.key_value, json!({ "lose_replies": 1 })).await;
    let mut history = History::default();
    let told = book(fleet.instances[0].caller_address, "lost-reply", 1).await;
    assert!(answered(&told), "{told:?}");
    history.add("lost-reply", None, told);
    let told = book(fleet.instances[1].caller_address, "lost-reply", 1).await;
    history.add("lost-reply", None, told);
    checked(&fleet, &history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_truthfully_while_the_key_value_service_is_down() {
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
        let told = complete(at, "lookup", key, "plot seven", 3).await;
        assert!(answered(&told), "idempotent work goes on: {told:?}");
    }
    checked(&fleet, &history).await;
    fleet.inject_faults(fleet.key_value, json!({ "down": false })).await;
    let told = book(at, "after-outage", 2).await;
    assert!(answered(&told), "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn never_runs_again_what_a_killed_instance_may_have_run() {
    let mut fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 3_000 })).await;
    let mut history = History::default();
    let first = tokio::spawn(book(fleet.instances[0].caller_address, "killed", 1));
    sleep(Duration::from_millis(1_500)).await;
    fleet.instances[0].process.kill();
    history.add("killed", None, first.await.unwrap());
    sleep(Duration::from_secs(3)).await;
    let told = book(fleet.instances[1].caller_address, "killed", 1).await;
    assert_eq!(told, CallerOutcome::MayHaveRun);
    history.add("killed", None, told);
    assert_eq!(
        request_state(fleet.instances[1].caller_address, "killed").await.as_deref(),
        Some("may_have_run")
    );
    fleet.restart(0);
    fleet.wait_until_ready(2).await;
    history.add("killed", None, book(fleet.instances[0].caller_address, "killed", 1).await);
    checked(&fleet, &history).await;
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
    let told = book(fleet.instances[1].caller_address, "frozen", 1).await;
    assert!(answered(&told), "the outcome is known in the end: {told:?}");
    history.add("frozen", None, told);
    checked(&fleet, &history).await;
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
        let told = attempt.await.unwrap();
        assert!(answered(&told), "{told:?}");
        history.add("joined", None, told);
    }
    checked(&fleet, &history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_one_of_two_keys_for_the_same_act() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 200 })).await;
    let one = tokio::spawn(book(fleet.instances[0].caller_address, "act-1", 5));
    let two = tokio::spawn(book(fleet.instances[1].caller_address, "act-2", 5));
    let told = [one.await.unwrap(), two.await.unwrap()];
    assert!(told.iter().all(answered), "{told:?}");
    assert_eq!(told[0], told[1]);
    let calls: u64 = plain_runs(&fleet).await.0.values().sum();
    assert_eq!(calls, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn says_may_have_run_when_the_answer_is_cut_truncated_or_mislabelled() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let mut history = History::default();
    for (seat, fault) in ["cut_before_reply", "truncate", "mislabel"].iter().enumerate() {
        fleet.inject_faults(fleet.plain_upstreams[0], json!({ *fault: 1 })).await;
        for instance in &fleet.instances {
            let told = book(instance.caller_address, fault, seat as u64).await;
            assert_eq!(told, CallerOutcome::MayHaveRun, "{fault}");
            history.add(fault, None, told);
        }
    }
    checked(&fleet, &history).await;
    assert_eq!(history.may_have_run(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn dispatches_once_what_waited_at_a_frozen_home() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.instances[0].process.signal(Signal::STOP);
    let (frozen, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let ask = |at, n| async move {
        try_complete(at, "lookup", &format!("frozen-{n}"), "plot seven of the cadastre", 5).await
    };
    let waiting: Vec<_> = (0..12).map(|n| tokio::spawn(ask(frozen, n))).collect();
    // The other instance becomes the home of all keys and runs them.
    sleep(Duration::from_secs(3)).await;
    let ran: Vec<_> = (0..12).map(|n| tokio::spawn(ask(other, n))).collect();
    for reply in ran {
        let reply = reply.await.unwrap();
        assert!(answered(&reply.outcome), "{reply:?}");
    }
    fleet.instances[0].process.signal(Signal::CONT);
    for (n, reply) in waiting.into_iter().enumerate() {
        let reply = reply.await.unwrap();
        let steps = match &reply.outcome {
            CallerOutcome::Answer(_) => String::new(),
            _ => explain(&fleet, &format!("frozen-{n}")).await,
        };
        assert!(answered(&reply.outcome), "frozen-{n}: {reply:?}\n{steps}");
    }
    for run in engine_runs(&fleet).await {
        assert_eq!(run["dispatches"], 1, "{run}");
    }
}
