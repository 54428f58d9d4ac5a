//! A small model of upstreams and callers around one gate, in virtual time.

#![allow(dead_code, reason = "each test file uses its own part of the model")]

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Cost, Decision, Gate, GatePolicy, Outcome, PermitRequest, Prefix, Resume, Ticket},
    resources::UpstreamSpec,
};

const TICK_SECONDS: f64 = 0.1;
const EXPORT_SECONDS: f64 = 0.02;

/// A request of a scenario.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: f64,
    pub rank: u8,
    pub workspace: &'static str,
    pub prompt: u32,
    pub output: u32,
    pub max_wait: f64,
    pub parkable: bool,
    pub prefix: Option<Prefix>,
}

impl Job {
    pub fn new(at: f64, rank: u8, workspace: &'static str, prompt: u32, output: u32) -> Self {
        let max_wait = 30.0;
        Self { at, rank, workspace, prompt, output, max_wait, parkable: true, prefix: None }
    }

    pub fn ask(&self) -> PermitRequest {
        PermitRequest {
            max_wait: Duration::from_secs_f64(self.max_wait),
            parkable: self.parkable,
            prefixes: self.prefix.into_iter().collect(),
            ..PermitRequest::new(
                self.rank,
                self.workspace.into(),
                Cost { prompt_tokens: self.prompt, output_tokens: self.output },
            )
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub finished: Option<f64>,
    pub first_token: Option<f64>,
    pub refused: Option<(ErrorKind, Duration)>,
    pub answers: u32,
    pub parks: u32,
    pub tokens: u32,
    pub prefilled: u32,
    pub upstreams: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    FirstToken(usize, u32),
    End(usize, u32),
    Parked(usize, u32),
    Slow(usize, f64),
    Tick,
}

#[derive(Clone, Debug)]
struct RunState {
    upstream: usize,
    epoch: u32,
    first_at: f64,
    per_token: f64,
    tokens: u32,
}

#[derive(Clone, Debug)]
struct Engine {
    spec: UpstreamSpec,
    slow: f64,
    prefill_free_at: f64,
    running: u32,
    kv: u64,
    long_until: f64,
}

/// A gate with the upstreams and callers of a scenario.
pub struct World {
    pub gate: Gate,
    pub now: f64,
    pub jobs: Vec<Job>,
    pub answers: Vec<Answer>,
    pub over_slots: u32,
    pub over_memory: u32,
    pub resumed_refused: u32,
    /// Prefill seconds of other requests that stood before a short request on its upstream.
    pub events_seen: u64,
    engines: Vec<Engine>,
    numbers: HashMap<String, usize>,
    runs: HashMap<usize, RunState>,
    epochs: Vec<u32>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    ends: f64,
}

pub fn spec(name: &str, slots: u32, prefill: f64, decode_ms: f64, kv_tokens: u64) -> UpstreamSpec {
    UpstreamSpec {
        name: name.into(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "south".into(),
        slots,
        prefill_tokens_per_second: prefill,
        decode_ms,
        kv_tokens,
        checks_fencing: false,
        leaving: false,
    }
}

pub fn specs(count: usize, slots: u32) -> Vec<UpstreamSpec> {
    (0..count).map(|i| spec(&format!("up{i:03}"), slots, 20_000.0, 10.0, 200_000)).collect()
}

impl World {
    pub fn new(policy: GatePolicy, specs: Vec<UpstreamSpec>, mut jobs: Vec<Job>) -> Self {
        jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
        let gate = Gate::with_policy(policy, specs.clone());
        let numbers = specs.iter().enumerate().map(|(i, s)| (s.name.to_string(), i)).collect();
        let engines = specs
            .into_iter()
            .map(|spec| Engine {
                spec,
                slow: 1.0,
                prefill_free_at: 0.0,
                running: 0,
                kv: 0,
                long_until: 0.0,
            })
            .collect();
        let last = jobs.last().map_or(0.0, |job| job.at);
        let mut world = Self {
            gate,
            now: 0.0,
            answers: vec![Answer::default(); jobs.len()],
            over_slots: 0,
            over_memory: 0,
            resumed_refused: 0,
            events_seen: 0,
            engines,
            numbers,
            runs: HashMap::new(),
            epochs: vec![0; jobs.len()],
            events: BTreeMap::new(),
            next_event: 0,
            ends: last + 600.0,
            jobs,
        };
        for i in 0..world.jobs.len() {
            world.at(world.jobs[i].at, Event::Arrive(i));
        }
        world.at(TICK_SECONDS, Event::Tick);
        world
    }

    pub fn slow_down(&mut self, at: f64, upstream: usize, factor: f64) {
        self.at(at, Event::Slow(upstream, factor));
    }

    /// Runs until every request has its answer.
    pub fn run(mut self) -> Self {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at as f64 / 1e9;
            self.events_seen += 1;
            let done = self.answers.iter().all(|answer| answer.answers > 0);
            if (done && self.runs.is_empty() && matches!(event, Event::Tick))
                || self.now > self.ends
            {
                break;
            }
            self.step(event);
        }
        self
    }

    fn at(&mut self, at: f64, event: Event) {
        self.events.insert(((at * 1e9) as u64, self.next_event), event);
        self.next_event += 1;
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn step(&mut self, event: Event) {
        let now = self.time();
        let decisions = match event {
            Event::Arrive(i) => self.gate.request_permit(now, Ticket(i as u64), self.jobs[i].ask()),
            Event::FirstToken(i, epoch) if self.is_current(i, epoch) => {
                self.answers[i].first_token.get_or_insert(self.now);
                self.gate.first_token(now, Ticket(i as u64))
            }
            Event::End(i, epoch) if self.is_current(i, epoch) => {
                let Some(run) = self.runs.remove(&i) else { return };
                self.leave(i, run.upstream);
                self.answers[i].tokens += run.tokens;
                self.answers[i].answers += 1;
                self.answers[i].finished = Some(self.now);
                self.gate.ended(now, Ticket(i as u64), Outcome::Finished(run.tokens))
            }
            Event::Parked(i, epoch) if self.is_current(i, epoch) => self.park(i),
            Event::Slow(upstream, factor) => {
                self.engines[upstream].slow = factor;
                Vec::new()
            }
            Event::Tick => {
                self.at(self.now + TICK_SECONDS, Event::Tick);
                self.gate.tick(now)
            }
            _ => Vec::new(),
        };
        for decision in decisions {
            self.apply(decision);
        }
    }

    fn is_current(&self, i: usize, epoch: u32) -> bool {
        self.runs.get(&i).is_some_and(|run| run.epoch == epoch)
    }

    fn park(&mut self, i: usize) -> Vec<Decision> {
        let Some(run) = self.runs.remove(&i) else { return Vec::new() };
        self.leave(i, run.upstream);
        let decoded = ((self.now - run.first_at) / run.per_token).floor().max(0.0) as u32;
        let tokens = decoded.min(run.tokens);
        // A prefill that was cut has no whole KV cache to export.
        let kv_exported = self.now >= run.first_at;
        self.answers[i].tokens += tokens;
        self.answers[i].parks += 1;
        let resume = Resume { kv_exported, generated_tokens: self.answers[i].tokens };
        let ask = PermitRequest { resume: Some(resume), ..self.jobs[i].ask() };
        let ticket = Ticket(i as u64);
        // Entries may tell the parking by itself or with the ask that follows it.
        let mut decisions =
            if i.is_multiple_of(2) { self.gate.parked(self.time(), ticket) } else { Vec::new() };
        decisions.extend(self.gate.request_permit(self.time(), ticket, ask));
        decisions
    }

    fn leave(&mut self, i: usize, upstream: usize) {
        let engine = &mut self.engines[upstream];
        engine.running -= 1;
        engine.kv -= self.jobs[i].ask().kv_tokens().min(engine.spec.kv_tokens);
    }

    fn apply(&mut self, decision: Decision) {
        match decision {
            Decision::Granted(ticket, name) => {
                self.start(ticket.0 as usize, self.numbers[name.as_str()]);
            }
            Decision::Refused(ticket, kind, after) => {
                let answer = &mut self.answers[ticket.0 as usize];
                self.resumed_refused += u32::from(answer.parks > 0);
                answer.answers += 1;
                answer.refused = Some((kind, after));
            }
            Decision::Park(ticket) => {
                let i = ticket.0 as usize;
                if let Some(run) = self.runs.get(&i) {
                    let epoch = run.epoch;
                    self.at(self.now + EXPORT_SECONDS, Event::Parked(i, epoch));
                }
            }
        }
    }

    fn start(&mut self, i: usize, upstream: usize) {
        let job = &self.jobs[i];
        let answer = &mut self.answers[i];
        let resumed = answer.parks > 0;
        let cut = resumed && answer.first_token.is_none();
        let engine = &mut self.engines[upstream];
        let prompt = if resumed && !cut { 0 } else { job.prompt };
        let kv = job.ask().kv_tokens().min(engine.spec.kv_tokens);
        engine.running += 1;
        engine.kv += kv;
        self.over_slots += u32::from(engine.running > engine.spec.slots);
        self.over_memory += u32::from(engine.kv > engine.spec.kv_tokens);
        let prefill = f64::from(prompt) / engine.spec.prefill_tokens_per_second * engine.slow;
        engine.prefill_free_at = engine.prefill_free_at.max(self.now) + prefill;
        let first_at = engine.prefill_free_at + 0.002;
        let fill = f64::from(engine.running) / f64::from(engine.spec.slots);
        let per_token = engine.spec.decode_ms / 1e3 * (1.0 + 0.5 * fill) * engine.slow;
        let tokens = job.output - answer.tokens;
        answer.prefilled += prompt;
        answer.upstreams.push(upstream);
        self.epochs[i] += 1;
        let epoch = self.epochs[i];
        self.runs.insert(i, RunState { upstream, epoch, first_at, per_token, tokens });
        self.at(first_at, Event::FirstToken(i, epoch));
        self.at(first_at + per_token * f64::from(tokens), Event::End(i, epoch));
    }

    /// Seconds from arrival to the last token, of the finished requests that match.
    pub fn seconds<F>(&self, matches: F) -> Vec<f64>
    where
        F: Fn(&Job) -> bool,
    {
        let pairs = self.jobs.iter().zip(&self.answers).filter(|(job, _)| matches(job));
        let times = pairs.filter_map(|(job, answer)| Some(answer.finished? - job.at));
        let mut times: Vec<_> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Seconds from arrival to the first token, of the requests that match.
    pub fn first_token_seconds<F>(&self, matches: F) -> Vec<f64>
    where
        F: Fn(&Job) -> bool,
    {
        let pairs = self.jobs.iter().zip(&self.answers).filter(|(job, _)| matches(job));
        let times = pairs.filter_map(|(job, answer)| Some(answer.first_token? - job.at));
        let mut times: Vec<_> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Requests that match and finished.
    pub fn finished<F>(&self, matches: F) -> usize
    where
        F: Fn(&Job) -> bool,
    {
        self.seconds(matches).len()
    }
}

/// Value below which `part` of the sorted values lie.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part).round() as usize).copied().unwrap_or(0.0)
}

/// Deterministic numbers for scenarios (xorshift64*).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Time to the next event of a Poisson process.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    pub fn below(&mut self, bound: u32) -> u32 {
        (self.unit() * f64::from(bound)) as u32
    }
}

/// Requests of a Poisson process between two times.
pub fn poisson<F>(random: &mut Random, from: f64, to: f64, rate: f64, mut job: F) -> Vec<Job>
where
    F: FnMut(&mut Random, f64) -> Job,
{
    let mut jobs = Vec::new();
    let mut at = from + random.gap(rate);
    while at < to {
        jobs.push(job(random, at));
        at += random.gap(rate);
    }
    jobs
}
