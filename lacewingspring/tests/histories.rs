//! Randomised histories of concurrent callers against a fleet whose processes fail.
//!
//! The seed determines the requests and the kind and time of each fault; the interleaving depends
//! on the machine. `LACEWINGSPRING_SEEDS=N` runs the seeds 1 to N, for instance overnight:
//! `LACEWINGSPRING_SEEDS=200 cargo test -p lacewingspring --test histories -- --nocapture` prints a
//! line for each seed. `LACEWINGSPRING_SEED=2` runs a single seed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lacewingspring_standins::engine::answer;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::support::{
    Fleet, FleetConfig,
    caller::{Reply, engine_runs, request_state, try_book, try_complete, upstream_id},
    history::{CallerOutcome, Violation},
    timed::{StartedRun, TimedAttempt, TimedHistory, Work},
};

mod support;

/// Seeds that run if neither environment variable selects others.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];

/// Environment variable with the number of seeds to run.
const SEEDS_VARIABLE: &str = "LACEWINGSPRING_SEEDS";

/// Environment variable with a single seed to run.
const SEED_VARIABLE: &str = "LACEWINGSPRING_SEED";

/// Number of instances of the fleet.
const INSTANCES: usize = 4;

/// Number of requests of a history.
const REQUESTS: usize = 60;

/// Length of the phase in which requests and faults start, in milliseconds.
const FAULT_PHASE_MS: u64 = 4_000;

/// Number of faults drawn for a history.
const FAULTS: usize = 8;

/// Time for which an instance is frozen, in milliseconds; longer than every lease.
const FREEZE_MS: u64 = 5_000;

/// Time from the kill of an instance to its restart, in milliseconds.
const RESTART_DELAY_MS: u64 = 1_200;

/// Longest wait for a key to leave the state `in_progress` after all faults are removed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Request identifier of the calls that measure clock offsets.
const CALIBRATION_ID: &str = "calibration";

/// Prompt tokens of a readiness check of the test fleet.
const READY_PROMPT_TOKENS: u64 = 1;

/// A request that a caller may send several times.
#[derive(Clone, Debug)]
struct Request {
    key: String,
    work: Work,
}

/// A fault of the fleet, or the end of one.
#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Resume(usize),
    Fault(SocketAddr, Value),
}

/// An event with its time since the start of the history.
#[derive(Clone, Debug)]
struct TimedEvent {
    time: Duration,
    event: Event,
}

/// A call of a caller to one instance, with its time since the start of the history: the request,
/// or a status query of its key.
#[derive(Clone, Debug)]
enum Step {
    Send { time: Duration, instance: usize },
    Query { time: Duration, instance: usize },
}

fn requests(rng: &mut StdRng) -> Vec<Request> {
    let mut all: Vec<Request> = Vec::new();
    for n in 0..REQUESTS {
        let key = format!("key-{n}");
        let work = match rng.random_range(0..10) {
            0..5 => Work::Booking { seat: n as u64 },
            5 => earlier_booking(&all, rng).unwrap_or(Work::Booking { seat: n as u64 }),
            6..9 => Work::Completion { service: "lookup", tokens: rng.random_range(2..40) },
            _ => Work::Completion { service: "summary", tokens: rng.random_range(50..200) },
        };
        all.push(Request { key, work });
    }
    all
}

/// Returns the booking of a random earlier request, to be sent under another key.
fn earlier_booking(earlier: &[Request], rng: &mut StdRng) -> Option<Work> {
    let booked = earlier.iter().filter(|req| matches!(req.work, Work::Booking { .. }));
    let booked: Vec<_> = booked.collect();
    let chosen = booked.len().checked_sub(1).map(|last| rng.random_range(0..=last));
    chosen.map(|i| booked[i].work.clone())
}

fn steps(rng: &mut StdRng) -> Vec<Step> {
    let mut time = Duration::from_millis(rng.random_range(0..FAULT_PHASE_MS));
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let instance = rng.random_range(0..INSTANCES);
        let step = match rng.random_range(0..10) {
            0 => Step::Query { time, instance },
            _ => Step::Send { time, instance },
        };
        steps.push(step);
        time += Duration::from_millis(rng.random_range(0..1_500));
    }
    steps
}

/// Draws faults, which may coincide and repeat, and the end of those that do not end by themselves.
fn events(rng: &mut StdRng, fleet: &Fleet) -> Vec<TimedEvent> {
    let mut events = Vec::new();
    let mut busy_until_ms = [0; INSTANCES];
    for _ in 0..FAULTS {
        let at_ms = rng.random_range(200..FAULT_PHASE_MS);
        let mut push = |ms: u64, event| {
            events.push(TimedEvent { time: Duration::from_millis(ms), event });
        };
        let instance = rng.random_range(0..INSTANCES);
        let engine = fleet.engines[rng.random_range(0..fleet.engines.len())];
        let plain = fleet.plain_upstreams[rng.random_range(0..fleet.plain_upstreams.len())];
        let count = rng.random_range(1..4);
        let duration_ms = rng.random_range(300..2_000);
        let key_value = fleet.key_value;
        match rng.random_range(0..14) {
            0..3 if busy_until_ms[instance] < at_ms => {
                push(at_ms, Event::Kill(instance));
                push(at_ms + RESTART_DELAY_MS, Event::Start(instance));
                busy_until_ms[instance] = at_ms + RESTART_DELAY_MS + 500;
            }
            3 | 4 if busy_until_ms[instance] < at_ms => {
                push(at_ms, Event::Freeze(instance));
                push(at_ms + FREEZE_MS, Event::Resume(instance));
                busy_until_ms[instance] = u64::MAX;
            }
            5 => {
                push(at_ms, Event::Fault(key_value, json!({ "down": true })));
                push(at_ms + duration_ms, Event::Fault(key_value, json!({ "down": false })));
            }
            6 => {
                push(at_ms, Event::Fault(key_value, json!({ "delay_ms": 700 })));
                push(at_ms + duration_ms, Event::Fault(key_value, json!({ "delay_ms": 2 })));
            }
            // Also replaces a kill or freeze of an instance that is still down or frozen.
            0..8 => push(at_ms, Event::Fault(key_value, json!({ "lose_replies": count }))),
            8 => push(at_ms, Event::Fault(plain, json!({ "cut_before_reply": count }))),
            9 => push(at_ms, Event::Fault(plain, json!({ "truncate": count, "delay_ms": 200 }))),
            10 => push(at_ms, Event::Fault(plain, json!({ "mislabel": count }))),
            11 => {
                let cut = json!({ "cut_after_tokens": 5, "cut_streams": count, "mislabel": 1 });
                push(at_ms, Event::Fault(engine, cut));
            }
            12 => {
                let bad = json!({ "truncate": count, "duplicate_events": count });
                push(at_ms, Event::Fault(engine, bad));
            }
            _ => push(at_ms, Event::Fault(engine, json!({ "crash_now": true, "restart_ms": 500 }))),
        }
    }
    events.sort_by_key(|timed| timed.time);
    events
}

async fn apply_events(fleet: &mut Fleet, events: Vec<TimedEvent>, start: Instant) {
    for TimedEvent { time, event } in events {
        sleep_until(start + time).await;
        match event {
            Event::Kill(i) => fleet.instances[i].process.kill(),
            Event::Start(i) => fleet.restart(i),
            Event::Freeze(i) => fleet.instances[i].process.signal(Signal::STOP),
            Event::Resume(i) => fleet.instances[i].process.signal(Signal::CONT),
            Event::Fault(at, fault) => fleet.inject_faults(at, fault).await,
        }
    }
}

/// Removes all faults of the stand-ins.
async fn clear_faults(fleet: &Fleet) {
    let no_faults = json!({ "down": false, "delay_ms": 2, "lose_replies": 0 });
    fleet.inject_faults(fleet.key_value, no_faults).await;
    for plain in &fleet.plain_upstreams {
        let no_faults =
            json!({ "cut_before_reply": 0, "truncate": 0, "mislabel": 0, "delay_ms": 0 });
        fleet.inject_faults(*plain, no_faults).await;
    }
    for engine in &fleet.engines {
        let no_faults =
            json!({ "cut_streams": 0, "truncate": 0, "duplicate_events": 0, "mislabel": 0 });
        fleet.inject_faults(*engine, no_faults).await;
    }
}

async fn send(at: SocketAddr, req: &Request) -> Reply {
    match &req.work {
        Work::Booking { seat } => try_book(at, &req.key, *seat).await,
        Work::Completion { service, tokens } => {
            try_complete(at, service, &req.key, &prompt(&req.key), *tokens).await
        }
    }
}

fn prompt(key: &str) -> String {
    format!("dossier of {key}")
}

async fn attempt(at: SocketAddr, req: Request, start: Instant) -> TimedAttempt {
    let began = start.elapsed();
    let reply = send(at, &req).await;
    let expected = match req.work {
        Work::Completion { tokens, .. } => Some(answer(&prompt(&req.key), u64::from(tokens))),
        Work::Booking { .. } => None,
    };
    let ended = start.elapsed();
    TimedAttempt { key: req.key, work: req.work, expected, reply, at, began, ended }
}

async fn query(at: SocketAddr, req: Request, start: Instant) -> Option<TimedAttempt> {
    let began = start.elapsed();
    let state = request_state(at, &req.key).await?;
    let outcome = if state == "not_run" { CallerOutcome::NeverRun } else { return None };
    let reply = Reply { outcome, kind: "state".into() };
    let (key, work) = (req.key, req.work);
    Some(TimedAttempt { key, work, expected: None, reply, at, began, ended: start.elapsed() })
}

/// Spawns the calls of one request, each at its time.
fn spawn_caller(
    callers: &mut JoinSet<Option<TimedAttempt>>,
    addresses: &[SocketAddr],
    req: &Request,
    steps: Vec<Step>,
    start: Instant,
) {
    for step in steps {
        let req = req.clone();
        let (Step::Send { time, instance } | Step::Query { time, instance }) = step;
        let address = addresses[instance];
        callers.spawn(async move {
            sleep_until(start + time).await;
            match step {
                Step::Send { .. } => Some(attempt(address, req, start).await),
                Step::Query { .. } => query(address, req, start).await,
            }
        });
    }
}

/// Sends each request once more, then queries the state of its key at every instance until it is
/// final. Returns a violation for each key that stays in progress.
async fn retry_and_settle(
    history: &mut TimedHistory,
    requests: &[Request],
    addresses: &[SocketAddr],
    start: Instant,
) -> Vec<Violation> {
    let mut retries = JoinSet::new();
    for (n, req) in requests.iter().enumerate() {
        retries.spawn(attempt(addresses[n % addresses.len()], req.clone(), start));
    }
    while let Some(attempt) = retries.join_next().await {
        history.0.push(attempt.expect("an attempt finishes"));
    }
    let mut settling = JoinSet::new();
    for req in requests {
        for at in addresses {
            settling.spawn(settle(*at, req.clone(), start));
        }
    }
    let mut stuck = Vec::new();
    while let Some(settled) = settling.join_next().await {
        match settled.expect("a status query finishes") {
            Ok(attempt) => history.0.extend(attempt),
            Err(key) => stuck.push(Violation::StillInProgress(key)),
        }
    }
    stuck
}

/// Queries the state of a key until it is final; returns the key as the error if it stays in
/// progress.
async fn settle(
    at: SocketAddr,
    req: Request,
    start: Instant,
) -> Result<Option<TimedAttempt>, String> {
    let deadline = support::now() + SETTLE_TIMEOUT;
    loop {
        match request_state(at, &req.key).await.as_deref() {
            Some("in_progress") | None => {}
            Some("not_run") => return Ok(query(at, req, start).await),
            Some(_) => return Ok(None),
        }
        if support::now() > deadline {
            return Err(req.key);
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Clocks of the stand-ins minus the clock of the test, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ClockOffsets {
    plain: i64,
    engines: i64,
}

impl ClockOffsets {
    /// Sends a call to one stand-in of each kind and compares its journalled start with the send
    /// time.
    async fn measure(fleet: &Fleet, start: Instant) -> Self {
        let call = json!({ "model": "judge", "prompt": "ready", "max_tokens": 1 }).to_string();
        let plain = clock_offset(
            fleet,
            fleet.plain_upstreams[0],
            ("calls", "request_id"),
            String::new(),
            start,
        );
        let plain = plain.await;
        let engines = clock_offset(fleet, fleet.engines[0], ("requests", "id"), call, start).await;
        Self { plain, engines }
    }
}

/// Returns the clock of a stand-in minus the clock of the test, in milliseconds. `list` and `id`
/// name the list of calls in its journal and the field with their request identifier.
async fn clock_offset(
    fleet: &Fleet,
    at: SocketAddr,
    (list, id): (&str, &str),
    body: String,
    start: Instant,
) -> i64 {
    let headers = [("x-request-id", CALIBRATION_ID.to_owned())];
    let before = start.elapsed();
    let answer = support::call(at, "POST", "/v1/completions", &headers, body).await;
    assert_eq!(answer.expect("a response").status, 200);
    let journal = fleet.journal(at).await;
    let calls = journal[list].as_array().cloned().unwrap_or_default();
    let call = calls.iter().find(|call| call[id] == CALIBRATION_ID).expect("a journalled call");
    call["started_ms"].as_i64().unwrap_or_default() - before.as_millis() as i64
}

async fn started_runs(
    fleet: &Fleet,
    requests: &[Request],
    offsets: ClockOffsets,
) -> Vec<StartedRun> {
    let keys: BTreeMap<String, &Request> =
        requests.iter().map(|req| (upstream_id(&req.key), req)).collect();
    let mut runs = Vec::new();
    for upstream in &fleet.plain_upstreams {
        let journal = fleet.journal(*upstream).await;
        for call in journal["calls"].as_array().into_iter().flatten() {
            let id = call["request_id"].as_str().unwrap_or_default();
            let Some(req) = keys.get(id) else { continue };
            let started_ms = call["started_ms"].as_i64().unwrap_or_default() - offsets.plain;
            runs.push(StartedRun { key: req.key.clone(), work: req.work.clone(), started_ms });
        }
    }
    for run in engine_runs(fleet).await {
        let Some(req) = keys.get(run["id"].as_str().unwrap_or_default()) else {
            assert_eq!(
                run["prompt_tokens"], READY_PROMPT_TOKENS,
                "run of an unknown request: {run}"
            );
            continue;
        };
        let count = |field: &str| run[field].as_u64().unwrap_or_default();
        let started_ms = run["started_ms"].as_i64().unwrap_or_default() - offsets.engines;
        for _ in 0..count("dispatches") - count("resumptions") {
            let (key, work) = (req.key.clone(), req.work.clone());
            runs.push(StartedRun { key, work, started_ms });
        }
    }
    runs
}

/// Runs the history of a seed; returns its violations with a trace and the faults as the error.
async fn run_seed(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let config = FleetConfig {
        instances: INSTANCES,
        data_centres: 2,
        engines: 3,
        plain_upstreams: 2,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config).await;
    let addresses: Vec<_> =
        fleet.instances.iter().map(|instance| instance.caller_address).collect();
    let start = support::now();
    let offsets = ClockOffsets::measure(&fleet, start).await;
    let requests = requests(&mut rng);
    let events = events(&mut rng, &fleet);
    let faults = format!("{events:?}");
    let mut callers = JoinSet::new();
    for req in &requests {
        spawn_caller(&mut callers, &addresses, req, steps(&mut rng), start);
    }
    apply_events(&mut fleet, events, start).await;
    clear_faults(&fleet).await;
    fleet.wait_until_ready(INSTANCES).await;
    let mut history = TimedHistory::default();
    while let Some(attempt) = callers.join_next().await {
        history.0.extend(attempt.expect("a caller finishes"));
    }
    let mut violations = retry_and_settle(&mut history, &requests, &addresses, start).await;
    let runs = started_runs(&fleet, &requests, offsets).await;
    violations.extend(history.check(&runs));
    println!("seed {seed}: {}", history.summary(&runs));
    if violations.is_empty() {
        return Ok(());
    }
    let trace = history.trace(&violations, &runs);
    Err(format!("seed {seed}: {violations:?}\n{trace}faults: {faults}\n"))
}

#[tokio::test(flavor = "multi_thread")]
async fn upholds_the_guarantees_under_random_faults() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seed_range = number(SEEDS_VARIABLE).map(|n| (1..=n).collect());
    let single_seed = number(SEED_VARIABLE).map(|seed| vec![seed]);
    let seeds: Vec<u64> = single_seed.or(seed_range).unwrap_or_else(|| DEFAULT_SEEDS.to_vec());
    let mut failures = Vec::new();
    for seed in seeds {
        failures.extend(run_seed(seed).await.err());
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
