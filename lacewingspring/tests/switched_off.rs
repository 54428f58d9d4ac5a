//! Each mechanism is shown to bite: with it, a planted fault does no harm; without it, it is seen.

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

/// Keys of the runs of one instance, enough for the instance to be the home of some.
const KEYS: usize = 12;

async fn fleet(switch_off: &'static [&'static str]) -> Fleet {
    Fleet::start(FleetConfig { switch_off, ..FleetConfig::default() }).await
}

async fn ask(at: SocketAddr, key: &str, tokens: u32) -> CallerOutcome {
    complete(at, "lookup", key, PROMPT, tokens).await
}

/// Most dispatches of one run at the engines, without resumptions.
async fn most_dispatches(fleet: &Fleet) -> u64 {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for run in engine_runs(fleet).await {
        let count = |field: &str| run[field].as_u64().unwrap_or_default();
        let id = run["id"].as_str().unwrap_or_default().to_owned();
        *counts.entry(id).or_default() += count("dispatches") - count("resumptions");
    }
    counts.into_values().max().unwrap_or_default()
}

/// Books one seat at both instances at once and checks the history.
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

async fn ask_both(switch_off: &'static [&'static str]) -> u64 {
    let fleet = fleet(switch_off).await;
    let [one, two] =
        [0, 1].map(|i| tokio::spawn(ask(fleet.instances[i].caller_address, "both", 60)));
    one.await.unwrap();
    two.await.unwrap();
    most_dispatches(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn without_homes_a_completion_is_dispatched_twice() {
    // The claim, which a young fleet makes too, is off so that the home decides alone.
    assert_eq!(ask_both(&["claim"]).await, 1);
    assert_eq!(ask_both(&["claim", "home"]).await, 2);
}

/// Kills an instance that runs many keys, the home of some among them, and repeats them elsewhere.
async fn kill_runner_and_home(switch_off: &'static [&'static str]) -> u64 {
    let mut fleet =
        Fleet::start(FleetConfig { switch_off, slots: 32, ..FleetConfig::default() }).await;
    let keys: Vec<_> = (0..KEYS).map(|n| format!("run-{n}")).collect();
    for key in keys.clone() {
        let at = fleet.instances[0].caller_address;
        tokio::spawn(async move { ask(at, &key, 300).await });
    }
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
    let repeats: Vec<_> =
        keys.into_iter().map(|key| tokio::spawn(async move { ask(at, &key, 300).await })).collect();
    for repeat in repeats {
        repeat.await.unwrap();
    }
    most_dispatches(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn without_backups_the_death_of_runner_and_home_dispatches_twice() {
    // The claim, which an unsettled fleet makes too, is off so that the backup decides alone.
    assert_eq!(kill_runner_and_home(&["claim"]).await, 1);
    assert_eq!(kill_runner_and_home(&["claim", "backup"]).await, 2);
}

async fn mislabelled(switch_off: &'static [&'static str]) -> CallerOutcome {
    let fleet = fleet(switch_off).await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "mislabel": 1 })).await;
    book(fleet.instances[0].caller_address, "mislabelled", 1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_label_check_a_mislabelled_answer_passes() {
    assert_eq!(mislabelled(&[]).await, CallerOutcome::MayHaveRun);
    let told = mislabelled(&["label_check"]).await;
    assert!(matches!(told, CallerOutcome::Answer(_)), "{told:?}");
}

async fn truncated(switch_off: &'static [&'static str]) -> Vec<Violation> {
    let fleet = fleet(switch_off).await;
    fleet.inject_faults(fleet.engines[0], json!({ "truncate": 1 })).await;
    let mut history = History::default();
    let told = ask(fleet.instances[0].caller_address, "truncated", 20).await;
    history.add("truncated", Some(answer(PROMPT, 20)), told);
    let runs = [("truncated".to_owned(), 1)];
    history.check(&support::history::Runs(runs.into()))
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_end_marker_a_truncated_answer_passes() {
    assert_eq!(truncated(&[]).await, vec![]);
    let broken = truncated(&["end_marker"]).await;
    assert_eq!(broken, vec![Violation::WrongAnswer("truncated".into())]);
}

/// Stops the instance that streams a long answer.
async fn stop_while_streaming(switch_off: &'static [&'static str]) -> CallerOutcome {
    let fleet = fleet(switch_off).await;
    let running = tokio::spawn(ask(fleet.instances[0].caller_address, "long", 400));
    sleep(Duration::from_millis(800)).await;
    fleet.instances[0].process.signal(Signal::TERM);
    running.await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn without_draining_a_stop_cuts_a_stream() {
    assert_eq!(stop_while_streaming(&[]).await, CallerOutcome::Answer(answer(PROMPT, 400)));
    assert_eq!(stop_while_streaming(&["drain"]).await, CallerOutcome::Interrupted);
}

/// Returns whether the daemon accepts settings that switch a mechanism off.
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
fn refuses_to_switch_off_outside_of_tests() {
    for mechanism in ["claim", "home", "backup", "drain", "poison_watch"] {
        assert!(accepts(mechanism, "1"), "{mechanism}");
        assert!(!accepts(mechanism, "0"), "{mechanism}");
    }
}
