//! Simulation of upstreams and callers around one gate in virtual time, counted in seconds.

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

/// Seconds between two ticks of the gate.
const TICK_SECONDS: f64 = 0.1;
/// Seconds from an order to park until the run has left its upstream.
const EXPORT_SECONDS: f64 = 0.02;

/// A request of a scenario.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: f64,
    pub rank: u8,
    pub workspace: &'static str,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Number of output tokens.
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

    pub fn request(&self) -> PermitRequest {
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

/// Result of a job.
#[derive(Clone, Debug, Default)]
pub struct JobResult {
    pub finished: Option<f64>,
    pub first_token: Option<f64>,
    pub refused: Option<(ErrorKind, Duration)>,
    pub replies: u32,
    pub parks: u32,
    /// Number of output tokens over all runs.
    pub tokens: u32,
    /// Number of prompt tokens prefilled over all runs.
    pub prefilled: u32,
    /// Index of the upstream of each run.
    pub upstreams: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    FirstToken(usize, u32),
    End(usize, u32),
    Parked(usize, u32),
    SetSlowdown(usize, f64),
    Tick,
}

#[derive(Clone, Debug)]
struct RunState {
    upstream: usize,
    /// Number of the run among those of its job; events of earlier runs are ignored.
    epoch: u32,
    first_token_at: f64,
    seconds_per_token: f64,
    tokens: u32,
}

#[derive(Clone, Debug)]
struct Engine {
    spec: UpstreamSpec,
    slowdown: f64,
    prefill_free_at: f64,
    running: u32,
    kv_tokens: u64,
    long_until: f64,
}

/// A gate with the simulated upstreams and callers of a scenario.
pub struct Simulation {
    pub gate: Gate,
    pub now: f64,
    pub jobs: Vec<Job>,
    pub results: Vec<JobResult>,
    pub slot_overruns: u32,
    pub memory_overruns: u32,
    pub refused_after_park: u32,
    /// Number of events handled so far.
    pub processed_events: u64,
    engines: Vec<Engine>,
    /// Indices of the engines by upstream name.
    engine_indices: HashMap<String, usize>,
    runs: HashMap<usize, RunState>,
    epochs: Vec<u32>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    /// Time at which the simulation stops even if requests are open.
    ends_at: f64,
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

impl Simulation {
    pub fn new(policy: GatePolicy, specs: Vec<UpstreamSpec>, mut jobs: Vec<Job>) -> Self {
        jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
        let gate = Gate::with_policy(policy, specs.clone());
        let engine_indices =
            specs.iter().enumerate().map(|(i, s)| (s.name.to_string(), i)).collect();
        let engines = specs
            .into_iter()
            .map(|spec| Engine {
                spec,
                slowdown: 1.0,
                prefill_free_at: 0.0,
                running: 0,
                kv_tokens: 0,
                long_until: 0.0,
            })
            .collect();
        let last = jobs.last().map_or(0.0, |job| job.at);
        let mut simulation = Self {
            gate,
            now: 0.0,
            results: vec![JobResult::default(); jobs.len()],
            slot_overruns: 0,
            memory_overruns: 0,
            refused_after_park: 0,
            processed_events: 0,
            engines,
            engine_indices,
            runs: HashMap::new(),
            epochs: vec![0; jobs.len()],
            events: BTreeMap::new(),
            next_event: 0,
            ends_at: last + 600.0,
            jobs,
        };
        for i in 0..simulation.jobs.len() {
            simulation.schedule(simulation.jobs[i].at, Event::Arrive(i));
        }
        simulation.schedule(TICK_SECONDS, Event::Tick);
        simulation
    }

    pub fn set_slowdown(&mut self, at: f64, upstream: usize, factor: f64) {
        self.schedule(at, Event::SetSlowdown(upstream, factor));
    }

    /// Runs until every request has a reply or the time limit passes.
    pub fn run(mut self) -> Self {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at as f64 / 1e9;
            self.processed_events += 1;
            let done = self.results.iter().all(|result| result.replies > 0);
            if (done && self.runs.is_empty() && matches!(event, Event::Tick))
                || self.now > self.ends_at
            {
                break;
            }
            self.handle(event);
        }
        self
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.events.insert(((at * 1e9) as u64, self.next_event), event);
        self.next_event += 1;
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        let decisions = match event {
            Event::Arrive(i) => {
                self.gate.request_permit(now, Ticket(i as u64), self.jobs[i].request())
            }
            Event::FirstToken(i, epoch) if self.is_current(i, epoch) => {
                self.results[i].first_token.get_or_insert(self.now);
                self.gate.first_token(now, Ticket(i as u64))
            }
            Event::End(i, epoch) if self.is_current(i, epoch) => {
                let Some(run) = self.runs.remove(&i) else { return };
                self.release(i, run.upstream);
                self.results[i].tokens += run.tokens;
                self.results[i].replies += 1;
                self.results[i].finished = Some(self.now);
                self.gate.ended(now, Ticket(i as u64), Outcome::Finished(run.tokens))
            }
            Event::Parked(i, epoch) if self.is_current(i, epoch) => self.park(i),
            Event::SetSlowdown(upstream, factor) => {
                self.engines[upstream].slowdown = factor;
                Vec::new()
            }
            Event::Tick => {
                self.schedule(self.now + TICK_SECONDS, Event::Tick);
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
        self.release(i, run.upstream);
        let decoded =
            ((self.now - run.first_token_at) / run.seconds_per_token).floor().max(0.0) as u32;
        let tokens = decoded.min(run.tokens);
        // An aborted prefill leaves no complete KV cache to export.
        let kv_exported = self.now >= run.first_token_at;
        self.results[i].tokens += tokens;
        self.results[i].parks += 1;
        let resume = Resume { kv_exported, generated_tokens: self.results[i].tokens };
        let request = PermitRequest { resume: Some(resume), ..self.jobs[i].request() };
        let ticket = Ticket(i as u64);
        // Entries report a parked run either separately or with the permit request that follows.
        let mut decisions =
            if i.is_multiple_of(2) { self.gate.parked(self.time(), ticket) } else { Vec::new() };
        decisions.extend(self.gate.request_permit(self.time(), ticket, request));
        decisions
    }

    fn release(&mut self, i: usize, upstream: usize) {
        let engine = &mut self.engines[upstream];
        engine.running -= 1;
        engine.kv_tokens -= self.jobs[i].request().kv_tokens().min(engine.spec.kv_tokens);
    }

    fn apply(&mut self, decision: Decision) {
        match decision {
            Decision::Granted(ticket, name) => {
                self.start(ticket.0 as usize, self.engine_indices[name.as_str()]);
            }
            Decision::Refused(ticket, kind, after) => {
                let result = &mut self.results[ticket.0 as usize];
                self.refused_after_park += u32::from(result.parks > 0);
                result.replies += 1;
                result.refused = Some((kind, after));
            }
            Decision::Park(ticket) => {
                let i = ticket.0 as usize;
                if let Some(run) = self.runs.get(&i) {
                    let epoch = run.epoch;
                    self.schedule(self.now + EXPORT_SECONDS, Event::Parked(i, epoch));
                }
            }
        }
    }

    fn start(&mut self, i: usize, upstream: usize) {
        let job = &self.jobs[i];
        let result = &mut self.results[i];
        let resumed = result.parks > 0;
        let prefill_aborted = resumed && result.first_token.is_none();
        let engine = &mut self.engines[upstream];
        let prompt = if resumed && !prefill_aborted { 0 } else { job.prompt };
        let kv_tokens = job.request().kv_tokens().min(engine.spec.kv_tokens);
        engine.running += 1;
        engine.kv_tokens += kv_tokens;
        self.slot_overruns += u32::from(engine.running > engine.spec.slots);
        self.memory_overruns += u32::from(engine.kv_tokens > engine.spec.kv_tokens);
        let prefill = f64::from(prompt) / engine.spec.prefill_tokens_per_second * engine.slowdown;
        engine.prefill_free_at = engine.prefill_free_at.max(self.now) + prefill;
        let first_token_at = engine.prefill_free_at + 0.002;
        let fill = f64::from(engine.running) / f64::from(engine.spec.slots);
        let seconds_per_token = engine.spec.decode_ms / 1e3 * (1.0 + 0.5 * fill) * engine.slowdown;
        let tokens = job.output - result.tokens;
        result.prefilled += prompt;
        result.upstreams.push(upstream);
        self.epochs[i] += 1;
        let epoch = self.epochs[i];
        self.runs
            .insert(i, RunState { upstream, epoch, first_token_at, seconds_per_token, tokens });
        self.schedule(first_token_at, Event::FirstToken(i, epoch));
        self.schedule(first_token_at + seconds_per_token * f64::from(tokens), Event::End(i, epoch));
    }

    /// Returns the sorted seconds from arrival to the last token of the matching requests that
    /// finished.
    pub fn seconds<F>(&self, matches: F) -> Vec<f64>
    where
        F: Fn(&Job) -> bool,
    {
        let pairs = self.jobs.iter().zip(&self.results).filter(|(job, _)| matches(job));
        let times = pairs.filter_map(|(job, result)| Some(result.finished? - job.at));
        let mut times: Vec<_> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Returns the sorted seconds from arrival to the first token of the matching requests.
    pub fn first_token_seconds<F>(&self, matches: F) -> Vec<f64>
    where
        F: Fn(&Job) -> bool,
    {
        let pairs = self.jobs.iter().zip(&self.results).filter(|(job, _)| matches(job));
        let times = pairs.filter_map(|(job, result)| Some(result.first_token? - job.at));
        let mut times: Vec<_> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Returns the number of matching requests that finished.
    pub fn finished<F>(&self, matches: F) -> usize
    where
        F: Fn(&Job) -> bool,
    {
        self.seconds(matches).len()
    }
}

/// Returns the value below which this fraction of the sorted values lies.
pub fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * fraction).round() as usize).copied().unwrap_or(0.0)
}

/// Deterministic random numbers for scenarios (xorshift64*).
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

    /// Returns the seconds to the next event of a Poisson process.
    pub fn interval(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    pub fn below(&mut self, bound: u32) -> u32 {
        (self.unit() * f64::from(bound)) as u32
    }
}

/// Returns requests that arrive as a Poisson process between two times.
pub fn poisson<F>(random: &mut Random, from: f64, to: f64, rate: f64, mut job: F) -> Vec<Job>
where
    F: FnMut(&mut Random, f64) -> Job,
{
    let mut jobs = Vec::new();
    let mut at = from + random.interval(rate);
    while at < to {
        jobs.push(job(random, at));
        at += random.interval(rate);
    }
    jobs
}
