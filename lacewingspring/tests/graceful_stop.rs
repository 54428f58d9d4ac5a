//! A planned stop drains the instance: open requests complete, and new ones are refused with the
//! addresses of other instances.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::process::Signal;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::support::{
    Fleet, FleetConfig, call,
    caller::{complete, desk_credential, engine_runs, key_header, try_complete, upstream_id},
    get,
    history::CallerOutcome,
    key_with_holders,
};

mod support;

/// Number of rounds; each instance restarts once a round.
const ROUNDS: usize = 2;

/// Time for which a new home waits for announcements of open runs, with a margin.
const LEARNING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends completions until stopped, in turn to the addresses that the last response listed, and
/// panics if one is interrupted or wrong. Counts the answers in `done`.
async fn run_caller(id: usize, first: SocketAddr, stop: Arc<AtomicBool>, done: Arc<AtomicU64>) {
    let mut addresses = vec![first];
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let at = addresses[n % addresses.len()];
        let prompt = format!("dossier {id} {n}");
        let tokens = 40;
        let request_key = format!("caller-{id}-{n}");
        let reply = try_complete(at, "lookup", &request_key, &prompt, tokens).await;
        match reply.outcome {
            CallerOutcome::Answer(text) => {
                assert_eq!(
                    text,
                    lacewingspring_standins::engine::answer(&prompt, u64::from(tokens))
                );
                done.fetch_add(1, Ordering::Relaxed);
            }
            CallerOutcome::NotRun => {}
            outcome => panic!("{request_key} at {at}: {outcome:?} {}", reply.kind),
        }
        let answer = get(at, "/v1/addresses").await.expect("a listed address accepts connections");
        let listed = answer.json()["addresses"].as_array().cloned().unwrap_or_default();
        let listed = listed.iter().filter(|found| found["weight"] != 0);
        let listed: Vec<_> =
            listed.filter_map(|found| found["address"].as_str()?.parse().ok()).collect();
        assert!(!listed.is_empty());
        addresses = listed;
    }
}

/// Stops and restarts each instance in turn under load: no caller is interrupted or gets a wrong
/// answer, and each daemon exits with success.
#[tokio::test(flavor = "multi_thread")]
async fn cuts_nothing_when_all_instances_are_restarted_in_turn() {
    let config = FleetConfig { instances: 3, engines: 2, ..FleetConfig::default() };
    let mut fleet = Fleet::start(config).await;
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicU64::new(0));
    let first = fleet.instances[0].caller_address;
    let callers: Vec<_> =
        (0..6).map(|id| tokio::spawn(run_caller(id, first, stop.clone(), done.clone()))).collect();
    for _ in 0..ROUNDS {
        for index in 0..fleet.instances.len() {
            sleep(Duration::from_millis(500)).await;
            fleet.instances[index].process.signal(Signal::TERM);
            let process = &mut fleet.instances[index].process;
            let ended = async {
                while process.0.try_wait().expect("waits").is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            timeout(Duration::from_secs(15), ended).await.expect("the instance stops in time");
            assert!(process.0.wait().expect("a status").success());
            fleet.restart(index);
            fleet.wait_until_ready(3).await;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no caller was interrupted");
    }
    assert!(done.load(Ordering::Relaxed) > 50, "{done:?} requests were answered");
}

/// Waits until an instance no longer lists the address of another one.
async fn wait_until_unlisted(at: SocketAddr, other: SocketAddr) {
    let unlisted = async {
        while get(at, "/v1/addresses").await.is_ok_and(|it| it.body.contains(&other.to_string())) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), unlisted).await.expect("the instance is not listed any more");
}

/// The home of a key records the dispatch of a completion, can't have its backup confirm it, and
/// hands the key over as dispatched to an instance that starts. The completion was not sent, so
/// its caller must not be told that the answer is lost.
#[tokio::test(flavor = "multi_thread")]
async fn answers_a_completion_whose_home_moves_before_it_permits_the_dispatch() {
    let config = FleetConfig { instances: 4, use_relays: true, ..FleetConfig::default() };
    let mut fleet = Fleet::start(config).await;
    let partition = fleet.partition.clone().expect("a fleet with relays");
    let (home, backup, runner, next_home) = (0, 1, 2, 3);
    let key = key_with_holders(&fleet, &[next_home, home, backup, runner]);
    fleet.instances[next_home].process.kill();
    for index in [home, backup, runner] {
        let at = fleet.instances[index].caller_address;
        wait_until_unlisted(at, fleet.instances[next_home].caller_address).await;
    }
    // The new home registers no key until it has learned of the open runs.
    sleep(LEARNING_TIMEOUT).await;
    partition.block(&fleet, home, backup);
    let at = fleet.instances[runner].caller_address;
    let completion = tokio::spawn(async move { try_complete(at, "lookup", &key, "plot", 5).await });
    sleep(Duration::from_millis(300)).await;
    fleet.restart(next_home);
    let reply = completion.await.expect("a completion finishes");
    assert!(matches!(reply.outcome, CallerOutcome::Answer(_)), "{reply:?}");
    for run in engine_runs(&fleet).await {
        assert_eq!(run["dispatches"], 1, "{run}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_refuses_new_requests_with_another_address_and_completes_open_ones() {
    let config = FleetConfig { instances: 2, ..FleetConfig::default() };
    let mut fleet = Fleet::start(config).await;
    let at = fleet.instances[0].caller_address;
    let other = fleet.instances[1].caller_address;
    let running = tokio::spawn(complete(at, "summary", "long", "a long dossier", 300));
    sleep(Duration::from_millis(800)).await;
    fleet.instances[0].process.signal(Signal::TERM);
    sleep(Duration::from_millis(300)).await;
    let body = json!({ "model": "lookup", "prompt": "x", "max_tokens": 2 }).to_string();
    let answer =
        call(at, "POST", "/v1/completions", &[desk_credential(), key_header("late")], body)
            .await
            .unwrap();
    assert_eq!((answer.status, answer.json()["kind"].as_str()), (503, Some("leaving")));
    assert_eq!(answer.json()["addresses"], json!([other.to_string()]));
    let listed = get(other, "/v1/addresses").await.unwrap().body;
    assert!(!listed.contains(&at.to_string()), "{listed}");
    let outcome = running.await.unwrap();
    assert!(matches!(outcome, CallerOutcome::Answer(_)), "{outcome:?}");
    let process = &mut fleet.instances[0].process;
    let status = tokio::task::block_in_place(|| process.0.wait()).unwrap();
    assert!(status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn completes_open_requests_before_it_exits_on_sigint() {
    let mut fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let (prompt, tokens) = ("a long dossier", 300);
    let running = tokio::spawn(complete(at, "summary", "long", prompt, tokens));
    let started = async {
        while !engine_runs(&fleet).await.iter().any(|run| run["id"] == upstream_id("long")) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(15), started).await.expect("the request is dispatched");
    fleet.instances[0].process.signal(Signal::INT);
    let expected = lacewingspring_standins::engine::answer(prompt, u64::from(tokens));
    assert_eq!(running.await.unwrap(), CallerOutcome::Answer(expected));
    let process = &mut fleet.instances[0].process;
    let status = tokio::task::block_in_place(|| process.0.wait()).unwrap();
    assert_eq!(status.code(), Some(0));
}
