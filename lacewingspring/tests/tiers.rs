//! No request of the upper tier is refused while one of the lower tier runs or waits, also when the
//! instance that holds the gate is killed or frozen.

use std::{collections::BTreeMap, time::Duration};

use lacewingspring_standins::engine::answer;
use rustix::process::Signal;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::support::{
    Fleet, FleetConfig, call,
    caller::{Reply, desk_credential, engine_runs, key_header, try_complete, upstream_id},
    history::CallerOutcome,
};

mod support;

/// Slots of the only engine.
const SLOTS: u32 = 4;

/// Number of lower-tier requests, more than the engine has slots.
const SUMMARIES: usize = 8;

/// Output tokens of a lower-tier request.
const SUMMARY_TOKENS: u32 = 150;

/// Number of bursts of upper-tier requests.
const BURSTS: usize = 8;

/// Number of requests in a burst.
const BURST_SIZE: usize = 6;

/// Output tokens of an upper-tier request.
const LOOKUP_TOKENS: u32 = 5;

/// Time between two bursts.
const BURST_INTERVAL: Duration = Duration::from_millis(400);

/// Fault that the test injects into an instance to which no caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InstanceFault {
    None,
    Kill(usize),
    Freeze(usize),
}

/// A finished attempt with its reply and times.
#[derive(Debug)]
struct Attempt {
    key: String,
    tokens: u32,
    reply: Reply,
    began: Instant,
    ended: Instant,
}

fn prompt(key: &str) -> String {
    format!("{key} {}", "of the old cadastre ".repeat(20))
}

fn send(attempts: &mut JoinSet<Attempt>, fleet: &Fleet, n: usize, service: &'static str) {
    let at = fleet.instances[n % 2].caller_address;
    let key = format!("{service}-{n}");
    let tokens = if service == "lookup" { LOOKUP_TOKENS } else { SUMMARY_TOKENS };
    attempts.spawn(async move {
        let began = support::now();
        let reply = try_complete(at, service, &key, &prompt(&key), tokens).await;
        Attempt { key, tokens, reply, began, ended: support::now() }
    });
}

/// Checks that each answer is complete, that no refused request ran, and that no lookup was refused
/// while a summary ran or waited.
async fn check_attempts(fleet: &Fleet, mut attempts: JoinSet<Attempt>) {
    let mut finished = Vec::new();
    while let Some(attempt) = attempts.join_next().await {
        finished.push(attempt.expect("an attempt"));
    }
    let (refused, answered): (Vec<_>, Vec<_>) =
        finished.iter().partition(|attempt| attempt.reply.outcome == CallerOutcome::NotRun);
    for Attempt { key, tokens, reply, .. } in &answered {
        let expected = CallerOutcome::Answer(answer(&prompt(key), u64::from(*tokens)));
        assert_eq!(reply.outcome, expected, "{key} {}", reply.kind);
    }
    let runs = engine_runs(fleet).await;
    let ran = |key: &str| runs.iter().any(|run| run["id"] == upstream_id(key));
    let false_refusals: Vec<_> = refused.iter().filter(|refused| ran(&refused.key)).collect();
    assert!(false_refusals.is_empty(), "refused as not run, but ran: {false_refusals:?}");
    let summaries = finished.iter().filter(|attempt| attempt.key.starts_with("summary"));
    let summaries: Vec<_> = summaries.collect();
    let shed = refused.iter().filter(|refused| refused.key.starts_with("lookup"));
    let shed: Vec<_> = shed.filter(|lookup| open_at(&summaries, lookup.ended) > 0).collect();
    assert!(shed.is_empty(), "lookups refused while summaries ran or waited: {shed:?}");
    let lookups = refused.iter().filter(|refused| refused.key.starts_with("lookup")).count();
    println!("{} requests, {} refused, {lookups} of them lookups", finished.len(), refused.len());
}

/// Counts the requests that waited or ran at a given time.
fn open_at(finished: &[&Attempt], at: Instant) -> usize {
    finished.iter().filter(|attempt| attempt.began < at && attempt.ended > at).count()
}

/// Checks that no run was dispatched or prefilled twice, and returns how many runs were parked:
/// interrupted for the upper tier and resumed later.
async fn check_journal(fleet: &Fleet) -> usize {
    let mut parked = 0;
    let mut dispatches: BTreeMap<String, u64> = BTreeMap::new();
    for run in engine_runs(fleet).await {
        let count = |field: &str| run[field].as_u64().unwrap_or_default();
        let id = run["id"].as_str().unwrap_or_default().to_owned();
        *dispatches.entry(id).or_default() += count("dispatches") - count("resumptions");
        parked += usize::from(count("resumptions") > 0);
        assert!(count("prefilled_tokens") <= count("prompt_tokens"), "prefilled again: {run}");
    }
    assert!(dispatches.values().all(|count| *count == 1), "{dispatches:?}");
    parked
}

/// Fills the engine with lower-tier requests, sends bursts of upper-tier requests, and applies the
/// fault after the second burst. Returns how many runs were parked.
async fn run_bursts(fault: InstanceFault) -> usize {
    let config = FleetConfig { instances: 4, slots: SLOTS, ..FleetConfig::default() };
    let mut fleet = Fleet::start(config).await;
    let mut attempts = JoinSet::new();
    for n in 0..SUMMARIES {
        send(&mut attempts, &fleet, n, "summary");
    }
    sleep(Duration::from_millis(500)).await;
    for burst in 0..BURSTS {
        for n in 0..BURST_SIZE {
            send(&mut attempts, &fleet, burst * BURST_SIZE + n, "lookup");
        }
        if burst == 1 {
            apply_fault(&mut fleet, fault);
        }
        sleep(BURST_INTERVAL).await;
    }
    if let InstanceFault::Freeze(i) = fault {
        fleet.instances[i].process.signal(Signal::CONT);
    }
    check_attempts(&fleet, attempts).await;
    check_journal(&fleet).await
}

fn apply_fault(fleet: &mut Fleet, fault: InstanceFault) {
    match fault {
        InstanceFault::None => {}
        InstanceFault::Kill(i) => fleet.instances[i].process.kill(),
        InstanceFault::Freeze(i) => fleet.instances[i].process.signal(Signal::STOP),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_and_resumes_parked_summaries() {
    let parked = run_bursts(InstanceFault::None).await;
    assert!(parked > 0, "the bursts park lower-tier runs");
}

// No caller sends to instances 2 and 3. Either may hold the gate, so the tests fault each of them.

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_2_is_killed() {
    run_bursts(InstanceFault::Kill(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_3_is_killed() {
    run_bursts(InstanceFault::Kill(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_2_is_frozen() {
    run_bursts(InstanceFault::Freeze(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_3_is_frozen() {
    run_bursts(InstanceFault::Freeze(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_promptly_with_a_retry_after_header() {
    let fleet = Fleet::start(FleetConfig { slots: 1, ..FleetConfig::default() }).await;
    let mut attempts = JoinSet::new();
    for n in 0..12 {
        let at = fleet.instances[n % 2].caller_address;
        let body = json!({ "model": "lookup", "prompt": "plot seven", "max_tokens": 100 });
        let headers = [
            desk_credential(),
            key_header(&format!("short-{n}")),
            ("request-timeout-ms", "300".into()),
        ];
        attempts.spawn(async move {
            let start = support::now();
            let answer = call(at, "POST", "/v1/completions", &headers, body.to_string()).await;
            (answer.expect("an answer"), start.elapsed())
        });
    }
    let mut refused = 0;
    while let Some(ended) = attempts.join_next().await {
        let (answer, took) = ended.expect("an attempt");
        if answer.status == 200 {
            continue;
        }
        refused += 1;
        assert_eq!(answer.json()["run"], "not_run", "{}", answer.body);
        assert!(answer.headers.contains_key("retry-after"), "{}", answer.body);
        // The timeout of the caller is 300 ms; the bound is higher to allow for a busy machine.
        assert!(took < Duration::from_secs(5), "refused after {took:?}");
    }
    assert!(refused > 0);
}
