//! Limits of workspaces over the fleet, counted at the engines.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lacewingspring::{clock, peers::GateId};
use lacewingspring_core::{
    catalog::digest_hex,
    key_index::KeyId,
    names::{InstanceName, WorkspaceName},
    rendezvous,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::sleep};

use crate::support::{
    BANK_TOKEN, DESK_TOKEN, Fleet, FleetConfig, call, caller::key_header, http::Answer,
};

mod support;

/// Requests of the limited workspace that may run at once.
const CONCURRENCY: u32 = 6;

/// Requests of the limited workspace that may be accepted a second.
const RATE: u32 = 20;

/// Prompt of the limited workspace, by which the engines' journals are read.
const PROMPT: &str = "plot of the limited workspace";

/// Tokens of each answer of the limited workspace.
const TOKENS: u32 = 12;

/// Callers of the limited workspace at each instance.
const CALLERS: usize = 8;

/// Pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(20);

/// Part of a second's rate that may be saved up.
const BURST_SECONDS: f64 = 0.25;

/// A run at an engine, in milliseconds of the engine's clock.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u64,
    end: u64,
}

fn limited(name: &str, token: &str, limits: Value) -> Value {
    let credentials = [digest_hex(token.as_bytes())];
    json!({ "kind": "workspace", "name": name, "spec": {
        "credentials": credentials, "limits": limits
    }})
}

async fn start(limits: Option<Value>) -> Fleet {
    let plan = FleetConfig { instances: 3, engines: 2, slots: 32, ..FleetConfig::default() };
    let fleet = Fleet::start(plan).await;
    if let Some(limits) = limits {
        fleet.declare(vec![limited("bank", BANK_TOKEN, limits)]).await;
        // Shares of the earlier limits run out.
        sleep(Duration::from_secs(2)).await;
    }
    fleet
}

fn limits() -> Value {
    json!({ "concurrency": CONCURRENCY, "requests_per_second": RATE })
}

/// Asks for a completion: the limited workspace in the lower tier, the other one in the upper.
async fn ask(at: SocketAddr, token: &str, prompt: &str, tokens: u32) -> Option<Answer> {
    let model = if token == BANK_TOKEN { "summary" } else { "lookup" };
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens });
    let headers = [("authorization", format!("Bearer {token}"))];
    call(at, "POST", "/v1/completions", &headers, body.to_string()).await.ok()
}

/// Callers that send without end, more than is allowed.
struct Flood {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<u64>>,
}

impl Flood {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let at = fleet.instances.iter().map(|instance| instance.caller_address);
        let at = at.flat_map(|at| std::iter::repeat_n(at, CALLERS));
        let tasks = at.map(|at| tokio::spawn(flood(at, stop.clone()))).collect();
        Self { stop, tasks }
    }

    /// Stops the callers and returns the number of refusals.
    async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Release);
        let mut refused = 0;
        for task in self.tasks {
            refused += task.await.expect("a caller");
        }
        refused
    }
}

async fn flood(at: SocketAddr, stop: Arc<AtomicBool>) -> u64 {
    let mut refused = 0;
    while !stop.load(Ordering::Acquire) {
        match ask(at, BANK_TOKEN, PROMPT, TOKENS).await {
            Some(answer) if answer.status == 200 => {}
            Some(answer) => {
                assert_eq!(answer.json()["kind"], "limit_reached", "{}", answer.body);
                assert!(answer.headers.contains_key("retry-after-ms"));
                refused += 1;
                sleep(PAUSE).await;
            }
            None => sleep(PAUSE).await,
        }
    }
    refused
}

/// Returns the runs of the limited workspace at all engines, which share one clock.
async fn spans(fleet: &Fleet) -> Vec<Span> {
    let sha8 = digest_hex(PROMPT.as_bytes())[..8].to_owned();
    let mut spans = Vec::new();
    for engine in &fleet.engines {
        let journal = fleet.journal(*engine).await;
        let runs = journal["requests"].as_array().cloned().unwrap_or_default();
        for run in runs.iter().filter(|run| run["prompt_sha8"] == sha8.as_str()) {
            let start = run["started_ms"].as_u64().expect("a start");
            let end = run["finished_ms"].as_u64().unwrap_or(start);
            spans.push(Span { start, end });
        }
    }
    spans.sort_by_key(|span| span.start);
    spans
}

fn most_at_once(spans: &[Span]) -> usize {
    let at = |time| spans.iter().filter(|span| span.start <= time && time < span.end).count();
    spans.iter().map(|span| at(span.start)).max().unwrap_or_default()
}

/// Returns by how much the most crowded stretch exceeds the rate, in requests.
fn most_over_rate(spans: &[Span]) -> f64 {
    let mut most = f64::MIN;
    for (i, first) in spans.iter().enumerate() {
        for (n, last) in spans[i..].iter().enumerate() {
            let seconds = (last.start - first.start) as f64 / 1_000.0;
            most = most.max((n + 1) as f64 - seconds * f64::from(RATE));
        }
    }
    most
}

fn longest_gap(spans: &[Span]) -> Duration {
    let gaps = spans.windows(2).map(|pair| pair[1].start - pair[0].start);
    Duration::from_millis(gaps.max().unwrap_or_default())
}

/// Requests that may be accepted beyond the rate: what is saved up, and one for each instance.
fn burst(fleet: &Fleet) -> f64 {
    f64::from(RATE) * BURST_SECONDS + fleet.instances.len() as f64
}

fn home<R>(fleet: &Fleet, role: &R) -> usize
where
    R: std::hash::Hash,
{
    holders(fleet, role)[0]
}

/// Returns the instances by their standing for a role, the holder first.
fn holders<R>(fleet: &Fleet, role: &R) -> Vec<usize>
where
    R: std::hash::Hash,
{
    let weight = |index: &usize| {
        let name = InstanceName::from(fleet.instances[*index].name.as_str());
        std::cmp::Reverse(rendezvous::weight(role, &name))
    };
    let mut order: Vec<usize> = (0..fleet.instances.len()).collect();
    order.sort_by_key(weight);
    order
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_over_three_instances_and_leaves_other_workspaces_alone() {
    let fleet = start(Some(limits())).await;
    let flood = Flood::start(&fleet);
    let begun = clock::now();
    let mut waits = Vec::new();
    while clock::now() - begun < Duration::from_secs(5) {
        for instance in &fleet.instances {
            let sent = clock::now();
            let answer =
                ask(instance.caller_address, DESK_TOKEN, "a desk", 1).await.expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.body);
            waits.push(clock::now() - sent);
        }
    }
    let refused = flood.stop().await;
    let spans = spans(&fleet).await;
    let (at_once, over) = (most_at_once(&spans), most_over_rate(&spans));
    println!("{} runs, {refused} refused, {at_once} at once, {over:.1} over", spans.len());
    waits.sort_unstable();
    let (median, slowest) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!("other workspace: {} answers, median {median:?}, slowest {slowest:?}", waits.len());
    assert!(at_once <= CONCURRENCY as usize, "{at_once} ran at once");
    assert!(over <= burst(&fleet), "{over} beyond the rate");
    assert!(spans.len() as u32 >= RATE * 2, "{} runs in five seconds", spans.len());
    assert!(refused > 0);
    assert!(median < Duration::from_millis(100), "{median:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn exceeds_the_same_limits_when_none_are_declared() {
    let fleet = start(None).await;
    let flood = Flood::start(&fleet);
    sleep(Duration::from_secs(3)).await;
    flood.stop().await;
    let spans = spans(&fleet).await;
    let (at_once, over) = (most_at_once(&spans), most_over_rate(&spans));
    println!("{} runs, {at_once} at once, {over:.1} over", spans.len());
    assert!(at_once > CONCURRENCY as usize, "{at_once} ran at once");
    assert!(over > burst(&fleet), "{over} beyond the rate");
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_without_a_stall_when_the_home_is_killed() {
    let mut fleet = start(Some(limits())).await;
    let flood = Flood::start(&fleet);
    sleep(Duration::from_secs(3)).await;
    let home = home(&fleet, &WorkspaceName::from("bank"));
    fleet.instances[home].process.kill();
    sleep(Duration::from_secs(8)).await;
    flood.stop().await;
    let spans = spans(&fleet).await;
    let (at_once, over, gap) = (most_at_once(&spans), most_over_rate(&spans), longest_gap(&spans));
    println!("{} runs, {at_once} at once, {over:.1} over, longest gap {gap:?}", spans.len());
    assert!(at_once <= CONCURRENCY as usize, "{at_once} ran at once");
    assert!(over <= burst(&fleet), "{over} beyond the rate");
    assert!(gap < Duration::from_secs(2), "{gap:?} without a run");
}

/// Name of a workspace whose home holds neither the gate nor the roles of some key.
fn workspace_apart(fleet: &Fleet) -> (WorkspaceName, usize) {
    let gate = GateId { pool: "engines".into(), data_centre: "dc0".into() };
    let gate = home(fleet, &gate);
    let names = (0..).map(|i| WorkspaceName::from(format!("apart-{i}")));
    let mut homes = names.map(|name| (home(fleet, &name), name));
    let (home, name) = homes.find(|(home, _)| *home != gate).expect("a name");
    (name, home)
}

#[tokio::test(flavor = "multi_thread")]
async fn admits_without_asking_the_home_while_a_share_is_held() {
    const TOKEN: &str = "apart-token";
    let fleet = start(None).await;
    let (workspace, home) = workspace_apart(&fleet);
    fleet.declare(vec![limited(workspace.as_str(), TOKEN, json!({}))]).await;
    sleep(Duration::from_secs(2)).await;
    let keys = (0..).map(|i| KeyId { workspace: workspace.clone(), key: format!("k{i}").into() });
    let keys = keys.filter(|id| holders(&fleet, id)[2] == home);
    let entry = (home + 1) % 3;
    fleet.instances[home].process.signal(Signal::STOP);
    let mut slowest = Duration::ZERO;
    for id in keys.take(10) {
        let sent = clock::now();
        let body = json!({ "model": "lookup", "prompt": "apart", "max_tokens": 1 }).to_string();
        let headers = [("authorization", format!("Bearer {TOKEN}")), key_header(id.key.as_str())];
        let at = fleet.instances[entry].caller_address;
        let answer = call(at, "POST", "/v1/completions", &headers, body).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        slowest = slowest.max(clock::now() - sent);
    }
    fleet.instances[home].process.signal(Signal::CONT);
    println!("slowest answer while the home is stopped: {slowest:?}");
    assert!(slowest < Duration::from_millis(250), "{slowest:?}");
}

async fn retry(at: SocketAddr, request_key: &str, attempt: &str) -> Answer {
    let body = json!({ "model": "lookup", "prompt": "again", "max_tokens": 1 }).to_string();
    let bearer = ("authorization", format!("Bearer {BANK_TOKEN}"));
    let headers = [bearer, key_header(request_key), ("retry-attempt", attempt.to_owned())];
    call(at, "POST", "/v1/completions", &headers, body).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_retries_beyond_their_budget() {
    let fleet = start(None).await;
    let at = fleet.instances[0].caller_address;
    let mut waits = Vec::new();
    for i in 0..40 {
        let answer = retry(at, &format!("again-{i}"), "1").await;
        if answer.status != 200 {
            assert_eq!((answer.status, &answer.json()["kind"]), (429, &json!("limit_reached")));
            assert_eq!(answer.json()["run"], "not_run");
            waits.push(answer.json()["retry_after_ms"].as_u64().expect("a time"));
        }
    }
    println!("{} of 40 retries refused, {waits:?}", waits.len());
    assert!(waits.len() >= 20, "{} of 40 refused", waits.len());
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 10, "times to come back differ: {waits:?}");
    for i in 0..40 {
        let answer = retry(at, &format!("fresh-{i}"), "0").await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(retry(at, "within-the-budget", "1").await.status, 200);
    assert_eq!(retry(at, "malformed", "twice").await.status, 400);
}
