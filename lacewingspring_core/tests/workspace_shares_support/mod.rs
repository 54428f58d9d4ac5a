//! Workspaces that compete for too few slots, played without a network: one sends many times its
//! usual load, one pauses, upstreams break, and refused callers retry.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, End, FleetShare, Limits, Quota, QuotaBounds, Refusal, RetryBound,
        SlotRequest, Ticket, UpstreamInfo, UpstreamLoad, Work,
    },
    names::{UpstreamName, WorkspaceName},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::dispatch_support::{self, ms, ticket};

pub const WORKSPACES: usize = 16;

/// The first workspaces are large: their quota and their usual load are this multiple of the
/// others'.
const LARGE_WORKSPACES: usize = 3;
const LARGE_FACTOR: f64 = 4.0;

/// Quota of a small workspace in tokens a second, far above its usual load.
const SMALL_RATE: f64 = 100_000.0;

const UPSTREAMS: usize = 48;
const SLOTS: u32 = 5;

/// Time of an output token, and of all before the first one.
const TOKEN_MS: u64 = 3;
const FIRST_MS: u64 = 40;

/// Classes in the order of their ranks, with the output tokens of their answers. All answers of a
/// class have the same size: with several sizes a workspace may get less than its share
/// (docs/design/workspace-shares.md, "Limits that remain").
const CLASSES: [(&str, u32); 2] = [("chat", 80), ("batch", 200)];

/// Fraction of the requests that are of the second class.
const BATCH_FRACTION: f64 = 0.3;

/// Usual load of all workspaces, as a fraction of all slots.
const USUAL_LOAD: f64 = 0.75;

/// Interval of the gate's ticks.
const TICK_MS: u64 = 20;

/// Fraction of refused callers that retry at once.
const IMPATIENT_FRACTION: f64 = 0.2;
const IMPATIENT_DELAY_MS: u64 = 20;

/// Times of the play.
pub const FLOOD_MS: std::ops::Range<u64> = 3_000..11_000;
const PAUSE_MS: std::ops::Range<u64> = 1_000..7_000;
const BREAK_MS: std::ops::Range<u64> = 5_000..7_000;
const LAST_ARRIVAL_MS: u64 = 12_000;

/// By this time all callers are answered, so that what is served later counts, too.
const END_MS: u64 = 20_000;

/// Part of the upstreams that break.
const BROKEN_UPSTREAMS: usize = 8;

/// What upstreams report, which turns shares on or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figures {
    Three,
    Four,
}

/// A run of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub seed: u64,
    pub figures: Figures,
    /// Workspaces that send ten times their usual load.
    pub flooders: &'static [usize],
    /// Workspace that sends nothing for a time.
    pub pauses: usize,
    /// The only workspace that sends, if any.
    pub alone: Option<usize>,
    /// Time at which the gate is lost.
    pub gate_lost_ms: Option<u64>,
}

/// What callers got.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Upstream time in milliseconds of complete answers to requests that arrived during the flood,
    /// by workspace.
    pub served_ms: [f64; WORKSPACES],
    /// The same for requests that arrived after the pause.
    pub served_after_pause_ms: [f64; WORKSPACES],
    /// Upstream time of all complete answers.
    pub total_ms: f64,
    /// Refusals with an expected wait while a slot was free. Those without one, as of a request
    /// that expires, are not counted.
    pub refused_beside_free_slots: usize,
    pub requests: usize,
    pub refusals: usize,
}

/// Returns the fraction of the capacity that belongs to a workspace.
pub fn share(workspace: usize) -> f64 {
    weight(workspace) / (0..WORKSPACES).map(weight).sum::<f64>()
}

/// Returns the upstream time of all slots during the flood, with those that broke taken off.
pub fn capacity_ms() -> f64 {
    let slots = |upstreams: usize| upstreams as f64 * f64::from(SLOTS);
    slots(UPSTREAMS) * (FLOOD_MS.end - FLOOD_MS.start) as f64
        - slots(BROKEN_UPSTREAMS) * (BREAK_MS.end - BREAK_MS.start) as f64
}

/// Returns the upstream time of all slots from the end of the pause to that of the flood.
pub fn capacity_after_pause_ms() -> f64 {
    UPSTREAMS as f64 * f64::from(SLOTS) * (FLOOD_MS.end - PAUSE_MS.end) as f64
}

fn weight(workspace: usize) -> f64 {
    if workspace < LARGE_WORKSPACES { LARGE_FACTOR } else { 1.0 }
}

fn service_ms(tokens: u32) -> u64 {
    FIRST_MS + TOKEN_MS * u64::from(tokens)
}

/// Mean upstream time of a request.
fn mean_service_ms() -> f64 {
    let [chat, batch] = CLASSES.map(|(_, tokens)| service_ms(tokens) as f64);
    chat + (batch - chat) * BATCH_FRACTION
}

fn name(workspace: usize) -> WorkspaceName {
    WorkspaceName::from(format!("w{workspace:02}"))
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    workspace: usize,
    /// Index in [`CLASSES`], and rank.
    class: usize,
    arrived_ms: u64,
    attempts: u32,
    sends: u32,
}

#[derive(Debug)]
struct Running {
    upstream: UpstreamName,
    granted_ms: u64,
    ends_ms: u64,
}

struct World {
    play: Play,
    rng: StdRng,
    gate: Dispatcher,
    callers: HashMap<u64, Caller>,
    waiting: BTreeSet<u64>,
    running: BTreeMap<u64, Running>,
    ends: BTreeSet<(u64, u64)>,
    retries: BTreeSet<(u64, u64)>,
    outcome: Outcome,
}

/// Plays the scenario.
pub fn play(play: Play) -> Outcome {
    let mut world = World {
        play,
        rng: StdRng::seed_from_u64(play.seed),
        gate: gate(),
        callers: HashMap::new(),
        waiting: BTreeSet::new(),
        running: BTreeMap::new(),
        ends: BTreeSet::new(),
        retries: BTreeSet::new(),
        outcome: Outcome::default(),
    };
    for now_ms in 0..END_MS {
        world.step(now_ms);
    }
    world.outcome
}

fn upstreams(count: usize) -> Vec<UpstreamInfo> {
    let all = (0..count).map(|number| dispatch_support::upstream(&format!("u{number:03}"), SLOTS));
    all.collect()
}

fn gate() -> Dispatcher {
    let mut gate = dispatch_support::dispatcher(&upstreams(UPSTREAMS));
    let quota = |workspace: usize| Quota {
        rate: Some(SMALL_RATE * weight(workspace)),
        burst: SMALL_RATE * weight(workspace),
    };
    gate.set_limits(Limits {
        quotas: QuotaBounds {
            quotas: (0..WORKSPACES).map(|workspace| (name(workspace), quota(workspace))).collect(),
            window: ms(8_000),
        },
        retries: RetryBound { ratio: 1.0, slack: 1_000.0, window: ms(8_000) },
    });
    gate
}

impl World {
    fn step(&mut self, now_ms: u64) {
        if now_ms == BREAK_MS.start {
            self.break_upstreams(now_ms);
        }
        if now_ms == BREAK_MS.end {
            let decisions = self.gate.set_upstreams(ms(now_ms), upstreams(UPSTREAMS));
            self.apply(now_ms, decisions);
        }
        if self.play.gate_lost_ms == Some(now_ms) {
            self.replace_gate(now_ms);
        }
        self.end_runs(now_ms);
        while let Some((at_ms, number)) = self.retries.pop_first() {
            if at_ms > now_ms {
                self.retries.insert((at_ms, number));
                break;
            }
            self.send(now_ms, number);
        }
        self.arrive(now_ms);
        if now_ms.is_multiple_of(TICK_MS) {
            let decisions = self.gate.tick(ms(now_ms));
            self.apply(now_ms, decisions);
        }
    }

    /// Returns the requests a millisecond of a workspace.
    fn rate(&self, now_ms: u64, workspace: usize) -> f64 {
        let Play { flooders, pauses, alone, .. } = self.play;
        if now_ms >= LAST_ARRIVAL_MS
            || alone.is_some_and(|alone| alone != workspace)
            || (pauses == workspace && PAUSE_MS.contains(&now_ms))
        {
            return 0.0;
        }
        let slots = UPSTREAMS as f64 * f64::from(SLOTS);
        let usual = slots * USUAL_LOAD * share(workspace) / mean_service_ms();
        let is_flood = flooders.contains(&workspace) && FLOOD_MS.contains(&now_ms);
        if is_flood { 10.0 * usual } else { usual }
    }

    fn arrive(&mut self, now_ms: u64) {
        for workspace in 0..WORKSPACES {
            let mut chance = self.rate(now_ms, workspace);
            // Each workspace draws from a source of its own, so that it sends the same alone.
            let seed = self.play.seed * 1_000_000_000 + now_ms * 100 + workspace as u64;
            let mut rng = StdRng::seed_from_u64(seed);
            while rng.random_range(0.0..1.0) < chance {
                chance -= 1.0;
                let caller = Caller {
                    workspace,
                    class: usize::from(rng.random_range(0.0..1.0) < BATCH_FRACTION),
                    arrived_ms: now_ms,
                    attempts: 0,
                    sends: 0,
                };
                let number = self.callers.len() as u64;
                self.callers.insert(number, caller);
                self.outcome.requests += 1;
                self.send(now_ms, number);
            }
        }
    }

    fn request(&self, now_ms: u64, number: u64) -> SlotRequest {
        let caller = self.callers[&number];
        let (class, tokens) = CLASSES[caller.class];
        let waited = ms(now_ms - caller.arrived_ms);
        let mut request = SlotRequest {
            class: Arc::from(class),
            rank: caller.class as u8,
            workspace: Some(name(caller.workspace)),
            work: Work::Generation { prompt_tokens: 200, output_tokens: tokens, parts: Vec::new() },
            target_left: ms(600),
            time_left: ms(8_000),
            first_output_left: ms(4_000),
            charge: u64::from(200 + tokens),
            sends: caller.sends,
            fingerprint: number,
            ..dispatch_support::request(class)
        };
        request.shorten_times(waited);
        request
    }

    fn send(&mut self, now_ms: u64, number: u64) {
        let request = self.request(now_ms, number);
        self.waiting.insert(number);
        let decisions = self.gate.request_slot(ms(now_ms), ticket(number), request);
        self.apply(now_ms, decisions);
    }

    fn end_runs(&mut self, now_ms: u64) {
        while let Some((at_ms, number)) = self.ends.pop_first() {
            if at_ms > now_ms {
                self.ends.insert((at_ms, number));
                return;
            }
            // A request that was sent again ends later.
            let is_over = self.running.get(&number).is_some_and(|run| run.ends_ms == at_ms);
            if !is_over {
                continue;
            }
            let Some(run) = self.running.remove(&number) else { continue };
            let caller = self.callers[&number];
            let took_ms = now_ms - run.granted_ms;
            self.count_served(&caller, took_ms as f64);
            let at_upstream = self.running.values().filter(|other| other.upstream == run.upstream);
            let pace = match self.play.figures {
                Figures::Three => None,
                Figures::Four => Some(1.0),
            };
            let running = at_upstream.count() as u32;
            let load = UpstreamLoad { running, waiting: 0, slots: SLOTS, pace };
            let now = ms(now_ms);
            self.gate.record_load(now, ticket(number), load);
            self.gate.first_output(now, ticket(number), ms(FIRST_MS));
            let end = End::Finished {
                took: ms(took_ms),
                output_tokens: CLASSES[caller.class].1,
                decode: ms(took_ms - FIRST_MS),
                is_framed: true,
            };
            let decisions = self.gate.end(now, ticket(number), end);
            self.apply(now_ms, decisions);
        }
    }

    fn count_served(&mut self, caller: &Caller, took_ms: f64) {
        self.outcome.total_ms += took_ms;
        if FLOOD_MS.contains(&caller.arrived_ms) {
            self.outcome.served_ms[caller.workspace] += took_ms;
        }
        if (PAUSE_MS.end..FLOOD_MS.end).contains(&caller.arrived_ms) {
            self.outcome.served_after_pause_ms[caller.workspace] += took_ms;
        }
    }

    fn break_upstreams(&mut self, now_ms: u64) {
        let left = upstreams(UPSTREAMS - BROKEN_UPSTREAMS);
        let decisions = self.gate.set_upstreams(ms(now_ms), left.clone());
        self.apply(now_ms, decisions);
        let is_left = |run: &Running| left.iter().any(|info| info.name == run.upstream);
        let broken = self.running.iter().filter(|(_, run)| !is_left(run));
        let broken: Vec<u64> = broken.map(|(number, _)| *number).collect();
        for number in broken {
            self.running.remove(&number);
            let decisions = self.gate.end(ms(now_ms), ticket(number), End::Broken);
            self.apply(now_ms, decisions);
            if let Some(caller) = self.callers.get_mut(&number) {
                caller.sends += 1;
            }
            self.send(now_ms, number);
        }
    }

    /// Starts another gate, to which instances report what runs, and send again what waits.
    fn replace_gate(&mut self, now_ms: u64) {
        let mut gate = gate();
        let now = ms(now_ms);
        gate.set_fleet_share(now, FleetShare::WHOLE);
        for (number, run) in &self.running {
            let request = self.request(now_ms, *number);
            gate.adopt(now, ticket(*number), &request, run.upstream.clone());
        }
        self.gate = gate;
        for number in std::mem::take(&mut self.waiting) {
            self.send(now_ms, number);
        }
    }

    fn apply(&mut self, now_ms: u64, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Granted(Ticket { number, .. }, grant) => {
                    self.waiting.remove(&number);
                    let ends_ms = now_ms + service_ms(CLASSES[self.callers[&number].class].1);
                    let upstream = grant.upstream;
                    let run = Running { upstream, granted_ms: now_ms, ends_ms };
                    self.running.insert(number, run);
                    self.ends.insert((ends_ms, number));
                }
                Decision::Refused(Ticket { number, .. }, refusal) => {
                    self.waiting.remove(&number);
                    self.refuse(now_ms, number, &refusal);
                }
            }
        }
    }

    /// Counts a refusal; its caller retries once, mostly when it was told to.
    fn refuse(&mut self, now_ms: u64, number: u64, refusal: &Refusal) {
        self.outcome.refusals += 1;
        let is_broken = BREAK_MS.contains(&now_ms);
        let upstreams = if is_broken { UPSTREAMS - BROKEN_UPSTREAMS } else { UPSTREAMS };
        let has_free_slot = self.running.len() < upstreams * SLOTS as usize;
        let is_for_wait = !refusal.expected_wait.is_zero();
        self.outcome.refused_beside_free_slots += usize::from(is_for_wait && has_free_slot);
        let Some(caller) = self.callers.get_mut(&number) else { return };
        caller.attempts += 1;
        if caller.attempts > 1 {
            return;
        }
        let is_impatient = self.rng.random_range(0.0..1.0) < IMPATIENT_FRACTION;
        let told_ms = refusal.retry_after.as_millis() as u64;
        let delay_ms = if is_impatient { IMPATIENT_DELAY_MS } else { told_ms.max(1) };
        self.retries.insert((now_ms + delay_ms, number));
    }
}
