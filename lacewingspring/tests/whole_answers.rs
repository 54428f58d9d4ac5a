//! Each caller receives the complete answer to its own request, and each completion is dispatched
//! once.

use std::{net::SocketAddr, time::Duration};

use lacewingspring_standins::engine::answer;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::support::{
    Fleet, FleetConfig,
    caller::{complete, engine_runs, request_state},
    history::CallerOutcome,
};

mod support;

const PROMPT: &str = "which judgments bind plot seven of the old cadastre";

/// Returns the runs at the engines without those of the readiness check, whose prompt is one token.
async fn runs(fleet: &Fleet) -> Vec<Value> {
    let mut runs = engine_runs(fleet).await;
    runs.retain(|run| run["prompt_tokens"] != 1);
    runs
}

fn complete_answer(tokens: u32) -> CallerOutcome {
    CallerOutcome::Answer(answer(PROMPT, u64::from(tokens)))
}

/// Waits until an engine has generated more than three tokens of a run.
async fn wait_for_tokens(fleet: &Fleet) {
    for _ in 0..200 {
        if runs(fleet).await.iter().any(|run| run["generated"].as_u64() > Some(3)) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("no run generated more than three tokens");
}

async fn request_completion(at: SocketAddr, key: &str, tokens: u32) -> CallerOutcome {
    complete(at, "lookup", key, PROMPT, tokens).await
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_completely_despite_cut_truncated_mislabelled_and_duplicated_streams() {
    let fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let faults = [
        ("cut", json!({ "cut_after_tokens": 5, "cut_streams": 1 })),
        ("truncate", json!({ "truncate": 1 })),
        ("mislabel", json!({ "mislabel": 1 })),
        ("duplicate_events", json!({ "duplicate_events": 1 })),
    ];
    for (name, fault) in faults {
        fleet.inject_faults(fleet.engines[0], fault).await;
        assert_eq!(request_completion(at, name, 20).await, complete_answer(20), "{name}");
    }
    for run in runs(&fleet).await {
        assert_eq!(run["dispatches"], 1, "{run}");
        assert!(run["prefilled_tokens"].as_u64() <= run["prompt_tokens"].as_u64(), "{run}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn joins_a_repeat_at_another_instance() {
    let fleet = Fleet::start(FleetConfig { instances: 3, ..FleetConfig::default() }).await;
    let calls: Vec<_> = (0..6)
        .map(|i| {
            tokio::spawn(request_completion(fleet.instances[i % 3].caller_address, "joined", 40))
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.unwrap(), complete_answer(40));
    }
    let runs = runs(&fleet).await;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!(runs[0]["dispatches"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumes_a_stream_whose_instance_was_killed_without_a_second_prefill() {
    let mut fleet =
        Fleet::start(FleetConfig { instances: 3, engines: 2, ..FleetConfig::default() }).await;
    let first = tokio::spawn(request_completion(fleet.instances[0].caller_address, "killed", 200));
    wait_for_tokens(&fleet).await;
    fleet.instances[0].process.kill();
    assert_eq!(first.await.unwrap(), CallerOutcome::Interrupted);
    assert_eq!(
        request_completion(fleet.instances[1].caller_address, "killed", 200).await,
        complete_answer(200)
    );
    assert_eq!(
        request_completion(fleet.instances[2].caller_address, "killed", 200).await,
        complete_answer(200)
    );
    let runs = runs(&fleet).await;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!(runs[0]["dispatches"], 1);
    assert_eq!(runs[0]["prefilled_tokens"], runs[0]["prompt_tokens"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn follows_a_run_to_its_end_when_its_instance_dies_midway() {
    let mut fleet = Fleet::start(FleetConfig { instances: 3, ..FleetConfig::default() }).await;
    let first = tokio::spawn(request_completion(fleet.instances[0].caller_address, "midway", 200));
    wait_for_tokens(&fleet).await;
    let second = tokio::spawn(request_completion(fleet.instances[1].caller_address, "midway", 200));
    sleep(Duration::from_millis(200)).await;
    fleet.instances[0].process.kill();
    assert_eq!(first.await.unwrap(), CallerOutcome::Interrupted);
    assert_eq!(second.await.unwrap(), complete_answer(200));
    let runs = runs(&fleet).await;
    assert_eq!((runs.len(), &runs[0]["dispatches"]), (1, &json!(1)), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_the_loss_of_its_key_home_and_gate() {
    let mut fleet = Fleet::start(FleetConfig { instances: 3, ..FleetConfig::default() }).await;
    let first = tokio::spawn(request_completion(fleet.instances[0].caller_address, "roles", 300));
    wait_for_tokens(&fleet).await;
    fleet.instances[1].process.kill();
    sleep(Duration::from_millis(1_800)).await;
    // The killed instance may have been the home of the key or held the gate; a repeat still joins
    // the run.
    let again = request_completion(fleet.instances[2].caller_address, "roles", 300).await;
    assert_eq!(again, complete_answer(300));
    assert_eq!(first.await.unwrap(), complete_answer(300));
    let runs = runs(&fleet).await;
    assert_eq!((runs.len(), &runs[0]["dispatches"]), (1, &json!(1)), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn dispatches_once_when_the_runner_is_frozen() {
    let fleet = Fleet::start(FleetConfig { instances: 3, ..FleetConfig::default() }).await;
    let first = tokio::spawn(request_completion(fleet.instances[0].caller_address, "frozen", 150));
    wait_for_tokens(&fleet).await;
    fleet.instances[0].process.signal(Signal::STOP);
    assert_eq!(
        request_completion(fleet.instances[1].caller_address, "frozen", 150).await,
        complete_answer(150)
    );
    fleet.instances[0].process.signal(Signal::CONT);
    assert_eq!(first.await.unwrap(), complete_answer(150));
    let runs = runs(&fleet).await;
    assert_eq!((runs.len(), &runs[0]["dispatches"]), (1, &json!(1)), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_the_state_of_a_completion_at_every_instance() {
    let fleet = Fleet::start(FleetConfig { instances: 3, ..FleetConfig::default() }).await;
    let first = tokio::spawn(request_completion(fleet.instances[0].caller_address, "state", 100));
    wait_for_tokens(&fleet).await;
    for instance in &fleet.instances {
        assert_eq!(
            request_state(instance.caller_address, "state").await.as_deref(),
            Some("in_progress")
        );
    }
    assert_eq!(first.await.unwrap(), complete_answer(100));
    sleep(Duration::from_millis(200)).await;
    for instance in &fleet.instances {
        assert_eq!(request_state(instance.caller_address, "state").await.as_deref(), Some("ran"));
    }
    assert_eq!(
        request_state(fleet.instances[2].caller_address, "never").await.as_deref(),
        Some("not_run")
    );
    assert_eq!(
        request_completion(fleet.instances[0].caller_address, "never", 5).await,
        CallerOutcome::NotRun
    );
}
