//! Fleet-wide limits of workspaces, as counted at the engines.

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
    BANK_TOKEN, DESK_TOKEN, Fleet, FleetConfig, call, caller::key_header, http::Response,
};

mod support;

/// Most requests of the limited workspace that may run at once.
const CONCURRENCY: u32 = 6;

/// Most requests of the limited workspace that may be accepted, per second.
const RATE: u32 = 20;

/// Prompt of the limited workspace, by which its runs are found in the journals of the engines.
const PROMPT: &str = "plot of the limited workspace";

/// Output tokens of each request of the limited workspace.
const TOKENS: u32 = 12;

/// Number of concurrent callers of the limited workspace at each instance.
const CALLERS_PER_INSTANCE: usize = 8;

/// Time that a caller waits after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time over which a workspace may accumulate unused rate for a burst, in seconds.
const BURST_SECONDS: f64 = 0.25;

/// Start and end of a run, in milliseconds of the clock of the engines.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u64,
    end: u64,
}

fn workspace_with_limits(name: &str, token: &str, limits: Value) -> Value {
    let credentials = [digest_hex(token.as_bytes())];
    json!({ "kind": "workspace", "name": name, "spec": {
        "credentials": credentials, "limits": limits
    }})
}

async fn start(limits: Option<Value>) -> Fleet {
    let config = FleetConfig { instances: 3, engines: 2, slots: 32, ..FleetConfig::default() };
    let fleet = Fleet::start(config).await;
    if let Some(limits) = limits {
        fleet.declare(vec![workspace_with_limits("bank", BANK_TOKEN, limits)]).await;
        // Waits until the instances no longer hold shares of the earlier limits.
        sleep(Duration::from_secs(2)).await;
    }
    fleet
}

fn limits() -> Value {
    json!({ "concurrency": CONCURRENCY, "requests_per_second": RATE })
}

/// Requests a completion: in the lower tier for the limited workspace, else in the upper tier.
async fn request_completion(
    at: SocketAddr,
    token: &str,
    prompt: &str,
    tokens: u32,
) -> Option<Response> {
    let model = if token == BANK_TOKEN { "summary" } else { "lookup" };
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens });
    let headers = [("authorization", format!("Bearer {token}"))];
    call(at, "POST", "/v1/completions", &headers, body.to_string()).await.ok()
}

/// Concurrent callers that send continuously, more than the limits allow.
struct Flood {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<u64>>,
}

impl Flood {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let at = fleet.instances.iter().map(|instance| instance.caller_address);
        let at = at.flat_map(|at| std::iter::repeat_n(at, CALLERS_PER_INSTANCE));
        let tasks = at.map(|at| tokio::spawn(send_until_stopped(at, stop.clone()))).collect();
        Self { stop, tasks }
    }

    /// Stops the callers and returns the number of refusals.
    async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Release);
        let mut refused = 0;
        for task in self.tasks {
            refused += task.await.expect("a caller finishes");
        }
        refused
    }
}

/// Sends requests until stopped, and returns the number of refusals.
async fn send_until_stopped(at: SocketAddr, stop: Arc<AtomicBool>) -> u64 {
    let mut refused = 0;
    while !stop.load(Ordering::Acquire) {
        match request_completion(at, BANK_TOKEN, PROMPT, TOKENS).await {
            Some(answer) if answer.status == 200 => {}
            Some(answer) => {
                assert_eq!(answer.json()["kind"], "limit_reached", "{}", answer.body);
                assert!(answer.headers.contains_key("retry-after-ms"));
                refused += 1;
                sleep(RETRY_DELAY).await;
            }
            None => sleep(RETRY_DELAY).await,
        }
    }
    refused
}

/// Returns the runs of the limited workspace at all engines, by start. The engines share one
/// process and thus one clock.
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

/// Returns the largest number of runs that overlap.
fn max_concurrency(spans: &[Span]) -> usize {
    let at = |time| spans.iter().filter(|span| span.start <= time && time < span.end).count();
    spans.iter().map(|span| at(span.start)).max().unwrap_or_default()
}

/// Returns by how many requests the starts in any period exceed the rate, at most.
fn max_excess_over_rate(spans: &[Span]) -> f64 {
    let mut most = f64::MIN;
    for (i, first) in spans.iter().enumerate() {
        for (n, last) in spans[i..].iter().enumerate() {
            let seconds = (last.start - first.start) as f64 / 1_000.0;
            most = most.max((n + 1) as f64 - seconds * f64::from(RATE));
        }
    }
    most
}

/// Returns the longest time between two consecutive starts.
fn longest_gap(spans: &[Span]) -> Duration {
    let gaps = spans.windows(2).map(|pair| pair[1].start - pair[0].start);
    Duration::from_millis(gaps.max().unwrap_or_default())
}

/// Returns how many requests may be accepted beyond the rate: the accumulated unused rate and one
/// per instance.
fn allowed_burst(fleet: &Fleet) -> f64 {
    f64::from(RATE) * BURST_SECONDS + fleet.instances.len() as f64
}

/// Returns the index of the instance that holds a role.
fn role_holder<R>(fleet: &Fleet, role: &R) -> usize
where
    R: std::hash::Hash,
{
    rendezvous_order(fleet, role)[0]
}

/// Returns the indices of the instances in rendezvous order for a role, its holder first.
fn rendezvous_order<R>(fleet: &Fleet, role: &R) -> Vec<usize>
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
async fn enforces_limits_over_three_instances_without_slowing_other_workspaces() {
    let fleet = start(Some(limits())).await;
    let flood = Flood::start(&fleet);
    let started = clock::now();
    let mut waits = Vec::new();
    while clock::now() - started < Duration::from_secs(5) {
        for instance in &fleet.instances {
            let sent = clock::now();
            let answer = request_completion(instance.caller_address, DESK_TOKEN, "a desk", 1)
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.body);
            waits.push(clock::now() - sent);
        }
    }
    let refused = flood.stop().await;
    let spans = spans(&fleet).await;
    let (at_once, over) = (max_concurrency(&spans), max_excess_over_rate(&spans));
    println!("{} runs, {refused} refused, {at_once} at once, {over:.1} over the rate", spans.len());
    waits.sort_unstable();
    let (median, slowest) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!("other workspace: {} answers, median {median:?}, slowest {slowest:?}", waits.len());
    assert!(at_once <= CONCURRENCY as usize, "{at_once} ran at once");
    assert!(over <= allowed_burst(&fleet), "{over} requests beyond the rate");
    assert!(spans.len() as u32 >= RATE * 2, "{} runs in five seconds", spans.len());
    assert!(refused > 0);
    assert!(median < Duration::from_millis(100), "{median:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_declared_limits_the_same_load_exceeds_them() {
    let fleet = start(None).await;
    let flood = Flood::start(&fleet);
    sleep(Duration::from_secs(3)).await;
    flood.stop().await;
    let spans = spans(&fleet).await;
    let (at_once, over) = (max_concurrency(&spans), max_excess_over_rate(&spans));
    println!("{} runs, {at_once} at once, {over:.1} over the rate", spans.len());
    assert!(at_once > CONCURRENCY as usize, "{at_once} ran at once");
    assert!(over > allowed_burst(&fleet), "{over} requests beyond the rate");
}

#[tokio::test(flavor = "multi_thread")]
async fn enforces_limits_without_a_stall_when_the_home_is_killed() {
    let mut fleet = start(Some(limits())).await;
    let flood = Flood::start(&fleet);
    sleep(Duration::from_secs(3)).await;
    let home = role_holder(&fleet, &WorkspaceName::from("bank"));
    fleet.instances[home].process.kill();
    sleep(Duration::from_secs(8)).await;
    flood.stop().await;
    let spans = spans(&fleet).await;
    let (at_once, over, gap) =
        (max_concurrency(&spans), max_excess_over_rate(&spans), longest_gap(&spans));
    println!(
        "{} runs, {at_once} at once, {over:.1} over the rate, longest gap {gap:?}",
        spans.len()
    );
    assert!(at_once <= CONCURRENCY as usize, "{at_once} ran at once");
    assert!(over <= allowed_burst(&fleet), "{over} requests beyond the rate");
    assert!(gap < Duration::from_secs(2), "{gap:?} without a run");
}

/// Returns a workspace and the index of its home, which does not hold the gate of the engines.
fn workspace_with_home_apart_from_gate(fleet: &Fleet) -> (WorkspaceName, usize) {
    let gate = GateId { pool: "engines".into(), data_centre: "dc0".into() };
    let gate_holder = role_holder(fleet, &gate);
    let names = (0..).map(|i| WorkspaceName::from(format!("apart-{i}")));
    let mut homes = names.map(|name| (role_holder(fleet, &name), name));
    let (home, name) = homes.find(|(home, _)| *home != gate_holder).expect("a name");
    (name, home)
}

#[tokio::test(flavor = "multi_thread")]
async fn admits_requests_without_the_home_while_a_share_is_held() {
    const TOKEN: &str = "apart-token";
    let fleet = start(None).await;
    let (workspace, home) = workspace_with_home_apart_from_gate(&fleet);
    fleet.declare(vec![workspace_with_limits(workspace.as_str(), TOKEN, json!({}))]).await;
    sleep(Duration::from_secs(2)).await;
    let keys = (0..).map(|i| KeyId { workspace: workspace.clone(), key: format!("k{i}").into() });
    // The home of the workspace is neither the home nor the backup of these keys.
    let keys = keys.filter(|id| rendezvous_order(&fleet, id)[2] == home);
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
    println!("slowest answer while the home is frozen: {slowest:?}");
    assert!(slowest < Duration::from_millis(250), "{slowest:?}");
}

async fn send_attempt(at: SocketAddr, request_key: &str, attempt: &str) -> Response {
    let body = json!({ "model": "lookup", "prompt": "again", "max_tokens": 1 }).to_string();
    let bearer = ("authorization", format!("Bearer {BANK_TOKEN}"));
    let headers = [bearer, key_header(request_key), ("retry-attempt", attempt.to_owned())];
    call(at, "POST", "/v1/completions", &headers, body).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_retries_beyond_the_budget() {
    let fleet = start(None).await;
    let at = fleet.instances[0].caller_address;
    let mut waits = Vec::new();
    for i in 0..40 {
        let answer = send_attempt(at, &format!("again-{i}"), "1").await;
        if answer.status != 200 {
            assert_eq!((answer.status, &answer.json()["kind"]), (429, &json!("limit_reached")));
            assert_eq!(answer.json()["run"], "not_run");
            waits.push(answer.json()["retry_after_ms"].as_u64().expect("a time"));
        }
    }
    println!("{} of 40 retries refused, retry after {waits:?} ms", waits.len());
    assert!(waits.len() >= 20, "{} of 40 refused", waits.len());
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 10, "retry times differ: {waits:?}");
    for i in 0..40 {
        let answer = send_attempt(at, &format!("fresh-{i}"), "0").await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(send_attempt(at, "within-the-budget", "1").await.status, 200);
    assert_eq!(send_attempt(at, "malformed", "twice").await.status, 400);
}
