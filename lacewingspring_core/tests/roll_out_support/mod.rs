//! Simulated fleet for the decisions of roll-outs: callers, upstreams of two versions with their
//! slots and times, and a store that grants blocks.

#![allow(dead_code, unused_imports, reason = "each test uses a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use lacewingspring_core::{
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::{
        Block, Bounds, Counts, FleetState, GrantedRequest, Order, OrderId, PartialTimes,
        ResponseTimes, RollOut, Sample, SampleOutcome, Stage,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
pub use scenario::{Fault, Outcome, Scenario};

mod scenario;

pub const BOUNDS: Bounds =
    Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: Duration::from_secs(5) };

/// Interval between two decisions without an event.
const TICK: Duration = Duration::from_millis(100);

/// Time that a write of the record takes.
const WRITE_TIME: Duration = Duration::from_millis(30);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn order(received_at: Duration, deadline: Duration) -> Order {
    Order {
        service: ServiceName::from("chat"),
        target: SoftwareVersion::from("v2"),
        received_at,
        deadline,
        id: OrderId { era: 1, revision: 1 },
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    route: usize,
    is_repeat: bool,
    prompt_tokens: u32,
    output_tokens: u32,
}

#[derive(Clone, Debug)]
struct Running {
    request: Request,
    upstream: usize,
    sent_at: Duration,
    load: f64,
    is_cold: bool,
    outcome: SampleOutcome,
    is_bad: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Crash(usize),
    End(u64),
    BlockWritten { size: u64, sent_at: Duration },
    HandOver,
    Arrival,
    Tick,
}

#[derive(Debug)]
struct Upstream {
    is_target: bool,
    name: UpstreamName,
    running: usize,
    down_until: Duration,
}

/// Runs one roll-out.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_number: u64,
    upstreams: Vec<Upstream>,
    running: BTreeMap<u64, Running>,
    roll_out: RollOut,
    record: Counts,
    earlier_record: Counts,
    next_write: Duration,
    outcome: Outcome,
    target_sends: u64,
}

pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    Simulation::new(scenario.clone(), seed).run()
}

/// Runs a scenario over seeds and returns the portion of outcomes that meet a condition.
pub fn portion<F>(scenario: &Scenario, seeds: u64, condition: F) -> f64
where
    F: Fn(&Outcome) -> bool,
{
    let met = (0..seeds).filter(|seed| condition(&run(scenario, *seed))).count();
    met as f64 / seeds as f64
}

fn upstream(number: usize, is_target: bool) -> Upstream {
    let version = if is_target { "new" } else { "old" };
    let name = UpstreamName::from(format!("{version}-{number}"));
    Upstream { is_target, name, running: 0, down_until: Duration::ZERO }
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let old = (0..scenario.upstreams).map(|number| upstream(number, false));
        let target = (0..scenario.upstreams).map(|number| upstream(number, true));
        let order = order(Duration::ZERO, scenario.deadline);
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            event_number: 0,
            upstreams: old.chain(target).collect(),
            running: BTreeMap::new(),
            roll_out: RollOut::new(order, BOUNDS, Counts::default(), Stage::Observing),
            record: Counts::default(),
            earlier_record: Counts::default(),
            next_write: Duration::ZERO,
            outcome: Outcome {
                stage: Stage::Observing,
                ended_at: Duration::ZERO,
                shifted_at: None,
                requests: 0,
                target_requests: 0,
                target_responses: 0,
                target_bad: 0,
                excess: f64::MIN,
            },
            target_sends: 0,
            scenario,
        };
        simulation.schedule_first();
        simulation
    }

    fn schedule_first(&mut self) {
        self.push(Duration::ZERO, Event::Tick);
        self.push_arrival();
        for at in self.scenario.hand_overs.clone() {
            self.push(at, Event::HandOver);
        }
        for upstream in 0..self.upstreams.len() {
            self.push_crash(upstream);
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((at, self.event_number, event)));
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }

    fn noise(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        (self.scenario.noise * (sum - 6.0)).exp()
    }

    fn push_arrival(&mut self) {
        let mean = Duration::from_secs_f64(1.0 / self.scenario.requests_per_second);
        let at = self.now + self.exponential(mean);
        self.push(at, Event::Arrival);
    }

    fn push_crash(&mut self, upstream: usize) {
        if let Some(interval) = self.scenario.crash_interval {
            let at = self.now + self.exponential(interval);
            self.push(at, Event::Crash(upstream));
        }
    }

    /// Runs until the roll-out ends, or five minutes.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
            self.decide();
            if self.outcome.stage.is_final() || self.now > Duration::from_secs(300) {
                break;
            }
        }
        self.outcome.ended_at = self.now;
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Crash(upstream) => self.crash(upstream),
            Event::End(number) => self.end(number),
            Event::BlockWritten { size, sent_at } => self.block_written(size, sent_at),
            Event::HandOver => self.hand_over(),
            Event::Arrival => {
                let request = self.draw_request();
                self.send(request);
                self.push_arrival();
            }
            Event::Tick => {
                self.write_block();
                self.push(self.now + TICK, Event::Tick);
            }
        }
    }

    fn draw_request(&mut self) -> Request {
        let total: f64 = self.scenario.routes.iter().sum();
        let mut draw = self.rng.random::<f64>() * total;
        let mut route = 0;
        while draw > self.scenario.routes[route] && route + 1 < self.scenario.routes.len() {
            draw -= self.scenario.routes[route];
            route += 1;
        }
        Request {
            route,
            is_repeat: false,
            prompt_tokens: self.rng.random_range(50..3_000),
            output_tokens: self.rng.random_range(10..60),
        }
    }

    fn route_name(route: usize) -> Arc<str> {
        Arc::from(format!("route-{route}"))
    }

    fn send(&mut self, request: Request) {
        let route = Self::route_name(request.route);
        let takes = self.roll_out.takes(self.now, &route);
        let is_shifting = *self.roll_out.stage() == Stage::Shifting;
        let upstream = if takes { self.pick(true) } else { None };
        let upstream = if is_shifting { upstream } else { upstream.or_else(|| self.pick(false)) };
        let Some(upstream) = upstream else { return };
        let is_target = self.upstreams[upstream].is_target;
        let granted = GrantedRequest { is_target, route, is_repeat: request.is_repeat };
        self.roll_out.record_grant(self.now, &granted);
        self.outcome.requests += u64::from(!request.is_repeat);
        self.outcome.target_requests += u64::from(is_target);
        if !is_shifting {
            let allowed = BOUNDS.share * self.outcome.requests as f64 + BOUNDS.tolerance;
            let excess = self.outcome.target_requests as f64 - allowed;
            self.outcome.excess = self.outcome.excess.max(excess);
        }
        self.start(request, upstream);
    }

    /// Picks an upstream: of the target, the first one with a free slot before the shift; else the
    /// one with the fewest requests.
    fn pick(&mut self, is_target: bool) -> Option<usize> {
        let slots = self.scenario.slots;
        let is_concentrated = is_target && *self.roll_out.stage() == Stage::Observing;
        let usable = self.upstreams.iter().enumerate().filter(|(_, upstream)| {
            upstream.is_target == is_target
                && upstream.running < slots
                && self.now >= upstream.down_until
        });
        let picked = usable.min_by_key(|(number, upstream)| {
            (if is_concentrated { 0 } else { upstream.running }, *number)
        });
        picked.map(|(number, _)| number)
    }

    fn start(&mut self, request: Request, number: usize) {
        self.upstreams[number].running += 1;
        let load = self.upstreams[number].running as f64 / self.scenario.slots as f64;
        let is_target = self.upstreams[number].is_target;
        self.target_sends += u64::from(is_target);
        let is_cold = is_target && self.now < self.scenario.cold;
        let pace = self.pace(request, number, load, is_cold);
        let (outcome, took, is_bad) = self.draw_outcome(request, number, load, pace);
        let sent_at = self.now;
        let running =
            Running { request, upstream: number, sent_at, load, is_cold, outcome, is_bad };
        let id = self.event_number + 1;
        self.push(self.now + took, Event::End(id));
        self.running.insert(id, running);
    }

    fn applies(&self, request: Request, number: usize, load: f64) -> bool {
        let fault = self.scenario.fault;
        self.upstreams[number].is_target
            && fault.route.is_none_or(|route| route == request.route)
            && self.target_sends > fault.from
            && load > fault.above_load
    }

    fn pace(&mut self, request: Request, number: usize, load: f64, is_cold: bool) -> f64 {
        let mut pace = 1.0 + 0.7 * load;
        if number < self.scenario.slow_old {
            pace *= 5.0;
        }
        if is_cold {
            pace *= 3.0;
        }
        let fault = self.scenario.fault;
        if self.applies(request, number, load) && self.rng.random::<f64>() < fault.slow {
            pace *= fault.factor;
        }
        pace
    }

    /// Returns how a request ends, after which time, and whether that is the version's fault.
    fn draw_outcome(
        &mut self,
        request: Request,
        number: usize,
        load: f64,
        pace: f64,
    ) -> (SampleOutcome, Duration, bool) {
        let is_target = self.upstreams[number].is_target;
        let cached = if is_target { 0.0 } else { self.scenario.cached_part };
        let prompt_tokens = (f64::from(request.prompt_tokens) * (1.0 - cached)) as u32;
        let is_plain = request.route % 2 == 1;
        let (times, took) = if is_plain {
            let took = ms(150).mul_f64(pace * self.noise());
            (ResponseTimes::Plain { took }, took)
        } else {
            let first = ms(30) + Duration::from_micros(150) * prompt_tokens;
            let first_event = first.mul_f64(pace * self.noise());
            let decode = (ms(12) * request.output_tokens).mul_f64(pace * self.noise());
            let output_tokens = request.output_tokens;
            let times =
                ResponseTimes::Generation { prompt_tokens, first_event, output_tokens, decode };
            (times, first_event + decode)
        };
        let fault = self.scenario.fault;
        let fails_by_fault =
            self.applies(request, number, load) && self.rng.random::<f64>() < fault.failing;
        if fails_by_fault || self.rng.random::<f64>() < self.scenario.base_failing {
            return (SampleOutcome::Failed, ms(20), fails_by_fault);
        }
        if self.scenario.slow_old <= number
            && number < self.scenario.slow_old + self.scenario.failing_old
            && self.rng.random::<f64>() < 0.5
        {
            return (SampleOutcome::Failed, ms(20), false);
        }
        let (from, to) = self.scenario.lost_within;
        let is_lossy = from <= self.now && self.now < to;
        if is_lossy && self.rng.random::<f64>() < self.scenario.lost {
            let waited = Duration::from_secs(4);
            let prompt_tokens = (!is_plain).then_some(prompt_tokens);
            return if self.rng.random() {
                (SampleOutcome::Broken, took, false)
            } else {
                (SampleOutcome::NoOutput { prompt_tokens, waited }, waited, false)
            };
        }
        let is_bad = self.applies(request, number, load) && fault.slow >= 1.0;
        if took >= self.scenario.timeout {
            let waited = self.scenario.timeout;
            let partial = match times {
                ResponseTimes::Plain { .. } => PartialTimes::Plain { waited },
                ResponseTimes::Generation { first_event, .. } if first_event >= waited => {
                    PartialTimes::NoEvent { prompt_tokens, waited }
                }
                ResponseTimes::Generation { first_event, .. } => PartialTimes::Begun {
                    expected_tokens: request.output_tokens,
                    decode: waited - first_event,
                },
            };
            return (SampleOutcome::TimedOut(partial), waited, is_bad);
        }
        (SampleOutcome::Complete(times), took, is_bad)
    }

    fn end(&mut self, id: u64) {
        let Some(running) = self.running.remove(&id) else { return };
        let upstream = &mut self.upstreams[running.upstream];
        upstream.running -= 1;
        let is_target = upstream.is_target;
        let sample = Sample {
            is_target,
            upstream: upstream.name.clone(),
            route: Self::route_name(running.request.route),
            sent_at: running.sent_at,
            outcome: running.outcome,
            load: running.load,
            is_cold: running.is_cold,
        };
        self.outcome.target_responses += u64::from(is_target);
        self.outcome.target_bad += u64::from(running.is_bad);
        self.roll_out.record_sample(self.now, sample);
        let has_failed = !matches!(running.outcome, SampleOutcome::Complete(_));
        if has_failed && !running.request.is_repeat && self.scenario.retries {
            self.send(Request { is_repeat: true, ..running.request });
        }
    }

    fn crash(&mut self, number: usize) {
        let crashed = self.running.iter().filter(|(_, running)| running.upstream == number);
        let ids: Vec<u64> = crashed.map(|(id, _)| *id).collect();
        self.upstreams[number].down_until = self.now + Duration::from_secs(2);
        for id in ids {
            let running = self.running.get_mut(&id).expect("the request runs");
            running.outcome = SampleOutcome::Broken;
            self.end(id);
        }
        self.push_crash(number);
    }

    /// Writes the record, at most once a second.
    fn write_block(&mut self) {
        if self.now < self.next_write {
            return;
        }
        let size = self.roll_out.block_size(self.now);
        if size == 0 {
            return;
        }
        self.next_write = self.now + Duration::from_secs(1);
        self.earlier_record = self.record;
        self.record = self.roll_out.counts_with_block(size);
        self.roll_out.note_written(self.record);
        let written = Event::BlockWritten { size, sent_at: self.now };
        self.push(self.now + WRITE_TIME, written);
    }

    fn block_written(&mut self, size: u64, sent_at: Duration) {
        let expires_at = sent_at + Duration::from_secs(1);
        self.roll_out.open_block(Block { size, expires_at });
    }

    /// Ends the holder of the record; another one continues from it.
    fn hand_over(&mut self) {
        let counts = if self.scenario.lagging { self.earlier_record } else { self.record };
        self.record = counts;
        let order = self.roll_out.order().clone();
        let stage = self.roll_out.stage().clone();
        self.roll_out = RollOut::new(order, BOUNDS, counts, stage);
        self.next_write = self.now + ms(300);
    }

    fn state(&self) -> FleetState {
        let running = |is_target: bool| {
            let upstreams = self.upstreams.iter().filter(|u| u.is_target == is_target);
            upstreams.map(|upstream| upstream.running as u32).sum()
        };
        let usable = |is_target: bool| {
            let upstreams = self.upstreams.iter().filter(|u| u.is_target == is_target);
            let up = upstreams.filter(|upstream| self.now >= upstream.down_until).count();
            (up * self.scenario.slots) as u32
        };
        FleetState {
            old_running: running(false),
            target_running: running(true),
            old_usable_slots: usable(false),
            target_usable_slots: usable(true),
            drain_time: ms(2_000),
            copy_age: ms(100),
        }
    }

    fn decide(&mut self) {
        let state = self.state();
        let stage = self.roll_out.decide(self.now, &state);
        if stage == Stage::Shifting && self.outcome.shifted_at.is_none() {
            self.outcome.shifted_at = Some(self.now);
        }
        self.outcome.stage = stage;
    }
}
