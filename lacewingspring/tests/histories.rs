//! Randomised histories of concurrent callers against real processes that fail.
//!
//! The seed decides what callers do and which faults come when; the machine decides how they
//! interleave. A night run takes `LACEWINGSPRING_SEEDS=N` and prints each seed:
//! `LACEWINGSPRING_SEEDS=200 cargo test -p lacewingspring --test histories -- --nocapture`.
//! `LACEWINGSPRING_SEED=2` runs one seed alone.

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

/// Seeds that run in each check of a change.
const SEEDS: [u64; 2] = [1, 2];

/// Seeds of a night run.
const SEEDS_VARIABLE: &str = "LACEWINGSPRING_SEEDS";

/// One seed to run alone.
const SEED_VARIABLE: &str = "LACEWINGSPRING_SEED";

/// Instances of the fleet.
const INSTANCES: usize = 4;

/// Requests of one history.
const REQUESTS: usize = 60;

/// Time in which requests and faults come, in milliseconds.
const PHASE_MS: u64 = 4_000;

/// Faults of one history.
const FAULTS: usize = 8;

/// Time for which an instance is frozen, longer than every lease, in milliseconds.
const FREEZE_MS: u64 = 5_000;

/// Time after which a killed instance is started again, in milliseconds.
const RESTART_MS: u64 = 1_200;

/// Longest wait for a key to leave the state `in_progress` once all is healed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Identifier of the calls that compare clocks.
const CALIBRATION: &str = "calibration";

/// Prompt tokens of the fleet's own readiness check.
const READY_PROMPT_TOKENS: u64 = 1;

/// One request that a caller may send several times.
#[derive(Clone, Debug)]
struct Request {
    key: String,
    work: Work,
}

/// What happens to the fleet at one time.
#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    Fault(SocketAddr, Value),
}

/// An event with its time since the start.
#[derive(Clone, Debug)]
struct Timed {
    at: Duration,
    event: Event,
}

/// One step of a caller.
#[derive(Clone, Debug)]
enum Step {
    Send { at: Duration, instance: usize },
    Query { at: Duration, instance: usize },
}

fn requests(rng: &mut StdRng) -> Vec<Request> {
    let mut all: Vec<Request> = Vec::new();
    for n in 0..REQUESTS {
        let key = format!("key-{n}");
        let work = match rng.random_range(0..10) {
            0..5 => Work::Booking { seat: n as u64 },
            5 => retyped(&all, rng).unwrap_or(Work::Booking { seat: n as u64 }),
            6..9 => Work::Completion { service: "lookup", tokens: rng.random_range(2..40) },
            _ => Work::Completion { service: "summary", tokens: rng.random_range(50..200) },
        };
        all.push(Request { key, work });
    }
    all
}

/// An earlier booking that is sent anew under another key.
fn retyped(earlier: &[Request], rng: &mut StdRng) -> Option<Work> {
    let booked = earlier.iter().filter(|req| matches!(req.work, Work::Booking { .. }));
    let booked: Vec<_> = booked.collect();
    let chosen = booked.len().checked_sub(1).map(|last| rng.random_range(0..=last));
    chosen.map(|i| booked[i].work.clone())
}

fn steps(rng: &mut StdRng) -> Vec<Step> {
    let mut at = Duration::from_millis(rng.random_range(0..PHASE_MS));
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let instance = rng.random_range(0..INSTANCES);
        let step = match rng.random_range(0..10) {
            0 => Step::Query { at, instance },
            _ => Step::Send { at, instance },
        };
        steps.push(step);
        at += Duration::from_millis(rng.random_range(0..1_500));
    }
    steps
}

/// Chooses faults that come together and twice; each is healed later.
fn events(rng: &mut StdRng, fleet: &Fleet) -> Vec<Timed> {
    let mut events = Vec::new();
    let mut busy_until = [0; INSTANCES];
    for _ in 0..FAULTS {
        let at = rng.random_range(200..PHASE_MS);
        let mut push = |ms: u64, event| {
            events.push(Timed { at: Duration::from_millis(ms), event });
        };
        let instance = rng.random_range(0..INSTANCES);
        let engine = fleet.engines[rng.random_range(0..fleet.engines.len())];
        let plain = fleet.plain_upstreams[rng.random_range(0..fleet.plain_upstreams.len())];
        let count = rng.random_range(1..4);
        let for_ms = rng.random_range(300..2_000);
        let key_value = fleet.key_value;
        match rng.random_range(0..14) {
            0..3 if busy_until[instance] < at => {
                push(at, Event::Kill(instance));
                push(at + RESTART_MS, Event::Start(instance));
                busy_until[instance] = at + RESTART_MS + 500;
            }
            3 | 4 if busy_until[instance] < at => {
                push(at, Event::Freeze(instance));
                push(at + FREEZE_MS, Event::Thaw(instance));
                busy_until[instance] = u64::MAX;
            }
            5 => {
                push(at, Event::Fault(key_value, json!({ "down": true })));
                push(at + for_ms, Event::Fault(key_value, json!({ "down": false })));
            }
            6 => {
                push(at, Event::Fault(key_value, json!({ "delay_ms": 700 })));
                push(at + for_ms, Event::Fault(key_value, json!({ "delay_ms": 2 })));
            }
            0..8 => push(at, Event::Fault(key_value, json!({ "lose_replies": count }))),
            8 => push(at, Event::Fault(plain, json!({ "cut_before_reply": count }))),
            9 => push(at, Event::Fault(plain, json!({ "truncate": count, "delay_ms": 200 }))),
            10 => push(at, Event::Fault(plain, json!({ "mislabel": count }))),
            11 => {
                let cut = json!({ "cut_after_tokens": 5, "cut_streams": count, "mislabel": 1 });
                push(at, Event::Fault(engine, cut));
            }
            12 => {
                let bad = json!({ "truncate": count, "duplicate_events": count });
                push(at, Event::Fault(engine, bad));
            }
            _ => push(at, Event::Fault(engine, json!({ "crash_now": true, "restart_ms": 500 }))),
        }
    }
    events.sort_by_key(|timed| timed.at);
    events
}

async fn play(fleet: &mut Fleet, events: Vec<Timed>, start: Instant) {
    for Timed { at, event } in events {
        sleep_until(start + at).await;
        match event {
            Event::Kill(i) => fleet.instances[i].process.kill(),
            Event::Start(i) => fleet.restart(i),
            Event::Freeze(i) => fleet.instances[i].process.signal(Signal::STOP),
            Event::Thaw(i) => fleet.instances[i].process.signal(Signal::CONT),
            Event::Fault(at, fault) => fleet.inject_faults(at, fault).await,
        }
    }
}

async fn heal(fleet: &Fleet) {
    let sound = json!({ "down": false, "delay_ms": 2, "lose_replies": 0 });
    fleet.inject_faults(fleet.key_value, sound).await;
    for plain in &fleet.plain_upstreams {
        let sound = json!({ "cut_before_reply": 0, "truncate": 0, "mislabel": 0, "delay_ms": 0 });
        fleet.inject_faults(*plain, sound).await;
    }
    for engine in &fleet.engines {
        let sound =
            json!({ "cut_streams": 0, "truncate": 0, "duplicate_events": 0, "mislabel": 0 });
        fleet.inject_faults(*engine, sound).await;
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

/// Sends the steps of one request, each at its time.
fn spawn_caller(
    callers: &mut JoinSet<Option<TimedAttempt>>,
    addresses: &[SocketAddr],
    req: &Request,
    steps: Vec<Step>,
    start: Instant,
) {
    for step in steps {
        let req = req.clone();
        let (Step::Send { at, instance } | Step::Query { at, instance }) = step;
        let address = addresses[instance];
        callers.spawn(async move {
            sleep_until(start + at).await;
            match step {
                Step::Send { .. } => Some(attempt(address, req, start).await),
                Step::Query { .. } => query(address, req, start).await,
            }
        });
    }
}

/// Asks each key once more, then its state at every instance until none is in progress.
async fn ask_once_more(
    history: &mut TimedHistory,
    requests: &[Request],
    addresses: &[SocketAddr],
    start: Instant,
) -> Vec<Violation> {
    let mut again = JoinSet::new();
    for (n, req) in requests.iter().enumerate() {
        again.spawn(attempt(addresses[n % addresses.len()], req.clone(), start));
    }
    while let Some(attempt) = again.join_next().await {
        history.0.push(attempt.expect("an attempt"));
    }
    let mut settling = JoinSet::new();
    for req in requests {
        for at in addresses {
            settling.spawn(settle(*at, req.clone(), start));
        }
    }
    let mut stuck = Vec::new();
    while let Some(settled) = settling.join_next().await {
        match settled.expect("a query") {
            Ok(attempt) => history.0.extend(attempt),
            Err(key) => stuck.push(Violation::StillInProgress(key)),
        }
    }
    stuck
}

/// Queries a state until it is final; fails with the key when it stays in progress.
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

/// Clocks of the stand-ins less ours, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Offsets {
    plain: i64,
    engines: i64,
}

impl Offsets {
    /// Makes a call at each kind of stand-in whose time both sides know.
    async fn measure(fleet: &Fleet, start: Instant) -> Self {
        let call = json!({ "model": "judge", "prompt": "ready", "max_tokens": 1 }).to_string();
        let plain =
            offset(fleet, fleet.plain_upstreams[0], ("calls", "request_id"), String::new(), start);
        let plain = plain.await;
        let engines = offset(fleet, fleet.engines[0], ("requests", "id"), call, start).await;
        Self { plain, engines }
    }
}

/// Clock of a stand-in less ours; the journal lists calls by the name of their identifier.
async fn offset(
    fleet: &Fleet,
    at: SocketAddr,
    (list, id): (&str, &str),
    body: String,
    start: Instant,
) -> i64 {
    let headers = [("x-request-id", CALIBRATION.to_owned())];
    let before = start.elapsed();
    let answer = support::call(at, "POST", "/v1/completions", &headers, body).await;
    assert_eq!(answer.expect("a call").status, 200);
    let journal = fleet.journal(at).await;
    let calls = journal[list].as_array().cloned().unwrap_or_default();
    let call = calls.iter().find(|call| call[id] == CALIBRATION).expect("a journalled call");
    call["started_ms"].as_i64().unwrap_or_default() - before.as_millis() as i64
}

async fn started_runs(fleet: &Fleet, requests: &[Request], offsets: Offsets) -> Vec<StartedRun> {
    let keys: BTreeMap<String, &Request> =
        requests.iter().map(|req| (upstream_id(&req.key), req)).collect();
    let mut runs = Vec::new();
    for server in &fleet.plain_upstreams {
        let journal = fleet.journal(*server).await;
        for call in journal["calls"].as_array().into_iter().flatten() {
            let id = call["request_id"].as_str().unwrap_or_default();
            let Some(req) = keys.get(id) else { continue };
            let started_ms = call["started_ms"].as_i64().unwrap_or_default() - offsets.plain;
            runs.push(StartedRun { key: req.key.clone(), work: req.work.clone(), started_ms });
        }
    }
    for run in engine_runs(fleet).await {
        let Some(req) = keys.get(run["id"].as_str().unwrap_or_default()) else {
            assert_eq!(run["prompt_tokens"], READY_PROMPT_TOKENS, "an unknown run {run}");
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

/// Plays one history; fails with what was broken and how it came.
async fn run_seed(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = FleetConfig {
        instances: INSTANCES,
        data_centres: 2,
        engines: 3,
        plain_upstreams: 2,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(plan).await;
    let addresses: Vec<_> =
        fleet.instances.iter().map(|instance| instance.caller_address).collect();
    let start = support::now();
    let offsets = Offsets::measure(&fleet, start).await;
    let requests = requests(&mut rng);
    let events = events(&mut rng, &fleet);
    let faults = format!("{events:?}");
    let mut callers = JoinSet::new();
    for req in &requests {
        spawn_caller(&mut callers, &addresses, req, steps(&mut rng), start);
    }
    play(&mut fleet, events, start).await;
    heal(&fleet).await;
    fleet.wait_until_ready(INSTANCES).await;
    let mut history = TimedHistory::default();
    while let Some(attempt) = callers.join_next().await {
        history.0.extend(attempt.expect("a caller"));
    }
    let mut broken = ask_once_more(&mut history, &requests, &addresses, start).await;
    let runs = started_runs(&fleet, &requests, offsets).await;
    broken.extend(history.check(&runs));
    println!("seed {seed}: {}", history.summary(&runs));
    if broken.is_empty() {
        return Ok(());
    }
    let trace = history.trace(&broken, &runs);
    Err(format!("seed {seed}: {broken:?}\n{trace}faults: {faults}\n"))
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_the_promises_under_random_faults() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let night = number(SEEDS_VARIABLE).map(|n| (1..=n).collect());
    let one = number(SEED_VARIABLE).map(|seed| vec![seed]);
    let seeds: Vec<u64> = one.or(night).unwrap_or_else(|| SEEDS.to_vec());
    let mut failures = Vec::new();
    for seed in seeds {
        failures.extend(run_seed(seed).await.err());
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
