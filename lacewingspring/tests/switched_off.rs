//! Each mechanism of the daemon prevents a failure: an injected fault has no effect while the
//! mechanism is on and causes a violation once the test settings switch it off.

use std::{collections::BTreeMap, net::SocketAddr, process::Command, time::Duration};

use lacewingspring::peers::Authority;
use lacewingspring_standins::engine::answer;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::support::{
    Fleet, FleetConfig,
    caller::{book, complete, engine_runs, plain_runs},
    history::{CallerOutcome, History, Violation},
};

mod support;

const PROMPT: &str = "which judgments bind plot seven of the old cadastre";

/// Number of keys that one instance runs, enough for it to be the home of some of them.
const KEYS: usize = 12;

async fn fleet(switch_off: &'static [&'static str]) -> Fleet {
    Fleet::start(FleetConfig { switch_off, ..FleetConfig::default() }).await
}

async fn request_completion(at: SocketAddr, key: &str, tokens: u32) -> CallerOutcome {
    complete(at, "lookup", key, PROMPT, tokens).await
}

/// Returns the largest number of dispatches of one key at the engines, resumptions not counted.
async fn max_dispatches(fleet: &Fleet) -> u64 {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for run in engine_runs(fleet).await {
        let count = |field: &str| run[field].as_u64().unwrap_or_default();
        let id = run["id"].as_str().unwrap_or_default().to_owned();
        *counts.entry(id).or_default() += count("dispatches") - count("resumptions");
    }
    counts.into_values().max().unwrap_or_default()
}

/// Books one seat at both instances concurrently under one key and returns the violations.
async fn book_at_both(switch_off: &'static [&'static str]) -> Vec<Violation> {
    let fleet = fleet(switch_off).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 500 })).await;
    let [one, two] =
        [0, 1].map(|i| tokio::spawn(book(fleet.instances[i].caller_address, "both", 1)));
    let mut history = History::default();
    history.add("both", None, one.await.unwrap());
    history.add("both", None, two.await.unwrap());
    history.check(&plain_runs(&fleet).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn without_claims_a_booking_runs_twice() {
    assert_eq!(book_at_both(&[]).await, vec![]);
    assert_eq!(book_at_both(&["claim"]).await, vec![Violation::RanTwice("both".into())]);
}

/// Requests one completion at both instances concurrently and returns its number of dispatches.
async fn complete_at_both(switch_off: &'static [&'static str]) -> u64 {
    let fleet = fleet(switch_off).await;
    let [one, two] = [0, 1]
        .map(|i| tokio::spawn(request_completion(fleet.instances[i].caller_address, "both", 60)));
    one.await.unwrap();
    two.await.unwrap();
    max_dispatches(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn without_homes_a_completion_is_dispatched_twice() {
    // A recently started fleet also makes a claim. It is switched off so that only the home
    // prevents the second dispatch.
    assert_eq!(complete_at_both(&["claim"]).await, 1);
    assert_eq!(complete_at_both(&["claim", "home"]).await, 2);
}

/// Kills an instance that runs many keys and is the home of some of them, retries them at the other
/// instance and returns the largest number of dispatches of one key.
async fn kill_runner_and_home(switch_off: &'static [&'static str]) -> u64 {
    let mut fleet =
        Fleet::start(FleetConfig { switch_off, slots: 32, ..FleetConfig::default() }).await;
    let keys: Vec<_> = (0..KEYS).map(|n| format!("run-{n}")).collect();
    for key in keys.clone() {
        let at = fleet.instances[0].caller_address;
        tokio::spawn(async move { request_completion(at, &key, 300).await });
    }
    // Waits until all keys run; the prompt of a readiness check is one token.
    for _ in 0..500 {
        if engine_runs(&fleet).await.iter().filter(|run| run["prompt_tokens"] != 1).count() == KEYS
        {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    fleet.instances[0].process.kill();
    sleep(Duration::from_secs(1)).await;
    let at = fleet.instances[1].caller_address;
    let repeats: Vec<_> = keys
        .into_iter()
        .map(|key| tokio::spawn(async move { request_completion(at, &key, 300).await }))
        .collect();
    for repeat in repeats {
        repeat.await.unwrap();
    }
    max_dispatches(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn without_backups_the_death_of_runner_and_home_dispatches_twice() {
    // A fleet whose view is not settled also makes a claim. It is switched off so that only the
    // backup prevents the second dispatch.
    assert_eq!(kill_runner_and_home(&["claim"]).await, 1);
    assert_eq!(kill_runner_and_home(&["claim", "backup"]).await, 2);
}

/// Books a seat at an upstream whose reply carries the identifier of another request.
async fn book_mislabelled(switch_off: &'static [&'static str]) -> CallerOutcome {
    let fleet = fleet(switch_off).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "mislabel": 1 })).await;
    book(fleet.instances[0].caller_address, "mislabelled", 1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_label_check_a_mislabelled_answer_is_delivered() {
    assert_eq!(book_mislabelled(&[]).await, CallerOutcome::MayHaveRun);
    let outcome = book_mislabelled(&["label_check"]).await;
    assert!(matches!(outcome, CallerOutcome::Answer(_)), "{outcome:?}");
}

/// Requests a completion whose engine truncates its answer once, and returns the violations.
async fn complete_truncated(switch_off: &'static [&'static str]) -> Vec<Violation> {
    let fleet = fleet(switch_off).await;
    fleet.inject_faults(fleet.engines[0], json!({ "truncate": 1 })).await;
    let mut history = History::default();
    let outcome = request_completion(fleet.instances[0].caller_address, "truncated", 20).await;
    history.add("truncated", Some(answer(PROMPT, 20)), outcome);
    let runs = [("truncated".to_owned(), 1)];
    history.check(&support::history::Runs(runs.into()))
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_end_marker_a_truncated_answer_is_delivered() {
    assert_eq!(complete_truncated(&[]).await, vec![]);
    let violations = complete_truncated(&["end_marker"]).await;
    assert_eq!(violations, vec![Violation::WrongAnswer("truncated".into())]);
}

/// Stops the instance while it streams a long answer, and returns the outcome at its caller.
async fn stop_while_streaming(switch_off: &'static [&'static str]) -> CallerOutcome {
    let fleet = fleet(switch_off).await;
    let running = tokio::spawn(request_completion(fleet.instances[0].caller_address, "long", 400));
    sleep(Duration::from_millis(800)).await;
    fleet.instances[0].process.signal(Signal::TERM);
    running.await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn without_draining_a_stop_interrupts_a_stream() {
    assert_eq!(stop_while_streaming(&[]).await, CallerOutcome::Answer(answer(PROMPT, 400)));
    assert_eq!(stop_while_streaming(&["drain"]).await, CallerOutcome::Interrupted);
}

/// Returns whether the daemon accepts settings that switch a mechanism off, with `environment` as
/// the value of `LACEWINGSPRING_TEST`.
fn accepts(mechanism: &str, environment: &str) -> bool {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.json");
    Authority::create().and_then(|authority| authority.write(folder.path())).unwrap();
    let file = |name| folder.path().join(name);
    let address = "127.0.0.1:7000";
    let settings = json!({
        "instance": "a", "data_centre": "b",
        "listen": { "callers": address, "peers": address },
        "key_value": { "endpoints": [address] },
        "instance_list": { "endpoint": address },
        "authority": { "certificate": file("authority.pem"), "key": file("authority.key") },
        "test": { "switch_off": [mechanism] }
    });
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
    command.arg("--settings").arg(&path).arg("--check").env("LACEWINGSPRING_TEST", environment);
    command.output().expect("runs the daemon").status.success()
}

#[test]
fn rejects_switched_off_mechanisms_outside_of_tests() {
    for mechanism in ["claim", "home", "backup", "drain", "poison_watch"] {
        assert!(accepts(mechanism, "1"), "{mechanism}");
        assert!(!accepts(mechanism, "0"), "{mechanism}");
    }
}
