//! A higher tier is never shed while a lower one runs or waits, whatever happens to a gate.

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

/// Requests of the lower tier, more than the engine has slots.
const SUMMARIES: usize = 8;

/// Output tokens of a request of the lower tier.
const SUMMARY_TOKENS: u32 = 150;

/// Bursts of the upper tier.
const BURSTS: usize = 8;

/// Requests of one burst.
const BURST: usize = 6;

/// Output tokens of a request of the upper tier.
const LOOKUP_TOKENS: u32 = 5;

/// Time between two bursts.
const BURST_INTERVAL: Duration = Duration::from_millis(400);

/// What happens between two bursts to an instance that no caller asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    Kill(usize),
    Freeze(usize),
}

/// What a request asked for and what came of it.
#[derive(Debug)]
struct Outcome {
    key: String,
    tokens: u32,
    reply: Reply,
    began: Instant,
    ended: Instant,
}

fn prompt(key: &str) -> String {
    format!("{key} {}", "of the old cadastre ".repeat(20))
}

fn ask(asking: &mut JoinSet<Outcome>, fleet: &Fleet, n: usize, service: &'static str) {
    let at = fleet.instances[n % 2].caller_address;
    let key = format!("{service}-{n}");
    let tokens = if service == "lookup" { LOOKUP_TOKENS } else { SUMMARY_TOKENS };
    asking.spawn(async move {
        let began = support::now();
        let reply = try_complete(at, service, &key, &prompt(&key), tokens).await;
        Outcome { key, tokens, reply, began, ended: support::now() }
    });
}

/// Checks that each answer is whole, that a refused request never ran, and that no lookup was
/// refused while a summary ran or waited.
async fn check_answers(fleet: &Fleet, mut asking: JoinSet<Outcome>) {
    let mut outcomes = Vec::new();
    while let Some(outcome) = asking.join_next().await {
        outcomes.push(outcome.expect("an attempt"));
    }
    let (refused, answered): (Vec<_>, Vec<_>) =
        outcomes.iter().partition(|outcome| outcome.reply.outcome == CallerOutcome::NotRun);
    for Outcome { key, tokens, reply, .. } in &answered {
        let expected = CallerOutcome::Answer(answer(&prompt(key), u64::from(*tokens)));
        assert_eq!(reply.outcome, expected, "{key} {}", reply.kind);
    }
    let runs = engine_runs(fleet).await;
    let ran = |key: &str| runs.iter().any(|run| run["id"] == upstream_id(key));
    let lies: Vec<_> = refused.iter().filter(|refused| ran(&refused.key)).collect();
    assert!(lies.is_empty(), "refused as not run, and run: {lies:?}");
    let summaries = outcomes.iter().filter(|outcome| outcome.key.starts_with("summary"));
    let summaries: Vec<_> = summaries.collect();
    let shed = refused.iter().filter(|refused| refused.key.starts_with("lookup"));
    let shed: Vec<_> = shed.filter(|lookup| open_at(&summaries, lookup.ended) > 0).collect();
    assert!(shed.is_empty(), "lookups shed while summaries ran or waited: {shed:?}");
    let lookups = refused.iter().filter(|refused| refused.key.starts_with("lookup")).count();
    println!("{} requests, {} refused, {lookups} of them lookups", outcomes.len(), refused.len());
}

/// Number of requests that waited or ran at a time.
fn open_at(outcomes: &[&Outcome], at: Instant) -> usize {
    outcomes.iter().filter(|outcome| outcome.began < at && outcome.ended > at).count()
}

/// Returns how many runs were parked, having checked that none was dispatched or prefilled twice.
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

/// Fills the engine with lower work, sends bursts of upper work, and disturbs an instance.
async fn press(disturbance: Disturbance) -> usize {
    let plan = FleetConfig { instances: 4, slots: SLOTS, ..FleetConfig::default() };
    let mut fleet = Fleet::start(plan).await;
    let mut asking = JoinSet::new();
    for n in 0..SUMMARIES {
        ask(&mut asking, &fleet, n, "summary");
    }
    sleep(Duration::from_millis(500)).await;
    for burst in 0..BURSTS {
        for n in 0..BURST {
            ask(&mut asking, &fleet, burst * BURST + n, "lookup");
        }
        if burst == 1 {
            disturb(&mut fleet, disturbance);
        }
        sleep(BURST_INTERVAL).await;
    }
    if let Disturbance::Freeze(i) = disturbance {
        fleet.instances[i].process.signal(Signal::CONT);
    }
    check_answers(&fleet, asking).await;
    check_journal(&fleet).await
}

fn disturb(fleet: &mut Fleet, disturbance: Disturbance) {
    match disturbance {
        Disturbance::None => {}
        Disturbance::Kill(i) => fleet.instances[i].process.kill(),
        Disturbance::Freeze(i) => fleet.instances[i].process.signal(Signal::STOP),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_and_brings_parked_summaries_back() {
    let parked = press(Disturbance::None).await;
    assert!(parked > 0, "the pressure parks lower work");
}

// No caller asks instances 2 and 3; either may hold the gate, so each is disturbed once.

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_2_dies() {
    press(Disturbance::Kill(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_3_dies() {
    press(Disturbance::Kill(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_2_is_frozen() {
    press(Disturbance::Freeze(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_each_lookup_while_instance_3_is_frozen() {
    press(Disturbance::Freeze(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_at_once_with_when_to_come_back() {
    let fleet = Fleet::start(FleetConfig { slots: 1, ..FleetConfig::default() }).await;
    let mut asking = JoinSet::new();
    for n in 0..12 {
        let at = fleet.instances[n % 2].caller_address;
        let body = json!({ "model": "lookup", "prompt": "plot seven", "max_tokens": 100 });
        let headers = [
            desk_credential(),
            key_header(&format!("short-{n}")),
            ("request-timeout-ms", "300".into()),
        ];
        asking.spawn(async move {
            let start = support::now();
            let answer = call(at, "POST", "/v1/completions", &headers, body.to_string()).await;
            (answer.expect("an answer"), start.elapsed())
        });
    }
    let mut refused = 0;
    while let Some(ended) = asking.join_next().await {
        let (answer, took) = ended.expect("an attempt");
        if answer.status == 200 {
            continue;
        }
        refused += 1;
        assert_eq!(answer.json()["run"], "not_run", "{}", answer.body);
        assert!(answer.headers.contains_key("retry-after"), "{}", answer.body);
        // The limit of the caller is 300 ms; the rest is for a busy machine.
        assert!(took < Duration::from_secs(5), "refused after {took:?}");
    }
    assert!(refused > 0);
}
