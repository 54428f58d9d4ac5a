//! Upstreams that share their machines with others, played without a network: their pace changes,
//! others put work on them, and they report load and pace in their responses.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::collections::{BTreeMap, VecDeque};

use lacewingspring_core::dispatch::{
    Decision, Dispatcher, End, FleetShare, LoadReports, Refusal, SlotRequest, Ticket, UpstreamLoad,
    Work,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::dispatch_support::{self, dispatcher, ms, ticket};

/// Output tokens of an answer, one an event.
const OUTPUT_TOKENS: u32 = 60;

/// Time of an event, and of all before the first one, at the usual pace.
const TOKEN_MS: f64 = 2.0;
const FIRST_MS: f64 = 40.0;

/// Interval of the gate's ticks.
const TICK_MS: u64 = 20;

/// Time that responses are on their way to the gate.
const DELAY_MS: u64 = 8;

/// What upstreams report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    /// No header.
    None,
    /// Three figures.
    Three,
    /// What is the case.
    True,
    /// The pace drawn at random for each report.
    Random,
    /// Figures of the first tenth of the upstreams that never change; the others tell the truth.
    FrozenAt(UpstreamLoad),
    /// The truth until that time, then the same figures for ever.
    FrozenFrom(u64),
    /// The truth until that time, then none.
    MissingFrom(u64),
}

/// A run of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub seed: u64,
    pub upstreams: usize,
    pub slots: u32,
    /// Time for which a pace holds, and the largest one.
    pub hold_ms: u64,
    pub max_pace: f64,
    /// Most requests of others at an upstream, as a multiple of its slots.
    pub others: f64,
    pub reports: Reports,
    /// Requests a second within a wave and between two.
    pub wave_rate: f64,
    pub calm_rate: f64,
    pub length_ms: u64,
    /// Part of the instances that are not linked to the gate.
    pub apart: f64,
    /// Whether a second gate decides for these; else they have ended, and their callers use others.
    pub has_second_gate: bool,
}

/// Length of a wave, and of the time between two.
pub const WAVE_MS: u64 = 1_500;

impl Play {
    pub fn new(seed: u64, hold_ms: u64, max_pace: f64, reports: Reports) -> Self {
        Self {
            seed,
            upstreams: 20,
            slots: 8,
            hold_ms,
            max_pace,
            others: 0.0,
            reports,
            wave_rate: 330.0,
            calm_rate: 120.0,
            length_ms: 12_000,
            apart: 0.0,
            has_second_gate: false,
        }
    }
}

/// What callers got.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub refused: usize,
    pub on_time: usize,
    /// The same of the callers whose instances the second gate decides for.
    pub second_requests: usize,
    pub second_on_time: usize,
    /// Times to the first event, and longest pauses between events, in milliseconds.
    pub first_ms: Vec<f64>,
    pub pauses_ms: Vec<f64>,
    /// Requests granted to each upstream.
    pub granted: BTreeMap<String, usize>,
    /// Longest queue as a multiple of the median, at moments in the steady part of waves.
    pub unevenness: Vec<f64>,
    /// How the gate used the reports.
    pub load_reports: LoadReports,
    /// All decisions, in order.
    pub decisions: Vec<Decision>,
}

impl Outcome {
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.requests as f64
    }

    pub fn second_on_time_share(&self) -> f64 {
        self.second_on_time as f64 / self.second_requests as f64
    }

    /// Returns the quantile of the times to the first event, where a refusal counts as endless.
    pub fn first_quantile(&self, quantile: f64) -> f64 {
        quantile_of(&self.first_ms, quantile)
    }

    pub fn pause_quantile(&self, quantile: f64) -> f64 {
        quantile_of(&self.pauses_ms, quantile)
    }

    /// Returns the requests granted to an upstream as a multiple of the mean.
    pub fn share_of(&self, upstream: &str, upstreams: usize) -> f64 {
        let sum: usize = self.granted.values().sum();
        let granted = self.granted.get(upstream).copied().unwrap_or_default();
        granted as f64 * upstreams as f64 / sum.max(1) as f64
    }

    /// Returns a digest of all decisions (FNV-1a).
    pub fn digest(&self) -> u64 {
        let texts = self.decisions.iter().map(|decision| match decision {
            Decision::Granted(ticket, grant) => {
                format!("{} {};", ticket.number, grant.upstream.as_str())
            }
            Decision::Refused(ticket, refusal) => {
                let Refusal { reason, retry_after, .. } = refusal;
                format!("{} {reason:?} {};", ticket.number, retry_after.as_millis())
            }
        });
        texts.flat_map(String::into_bytes).fold(0xcbf2_9ce4_8422_2325, |digest, byte| {
            (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    }
}

pub fn quantile_of(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len() as f64 - 1.0) * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

#[derive(Clone, Copy, Debug)]
struct Job {
    /// Number of the request; `None` for work of others.
    number: Option<u64>,
    arrived_ms: u64,
    sent_ms: u64,
    /// Work left until the next event, at the usual pace.
    left_ms: f64,
    events: u32,
    events_wanted: u32,
    first_ms: u64,
    last_ms: u64,
    longest_pause_ms: u64,
}

#[derive(Debug)]
struct Machine {
    name: String,
    pace: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    others_wanted: u32,
    frozen: Option<UpstreamLoad>,
}

impl Machine {
    fn of_others(&self) -> u32 {
        let jobs = self.running.iter().chain(&self.waiting);
        jobs.filter(|job| job.number.is_none()).count() as u32
    }

    fn own(&self) -> usize {
        let jobs = self.running.iter().chain(&self.waiting);
        jobs.filter(|job| job.number.is_some()).count()
    }
}

#[derive(Clone, Copy, Debug)]
enum Message {
    First { number: u64, took_ms: u64, load: Option<UpstreamLoad>, at_ms: u64 },
    End { number: u64, took_ms: u64, decode_ms: u64 },
}

struct World {
    play: Play,
    /// Source of arrivals, paces and work of others, the same whatever the gate decides.
    rng: StdRng,
    /// Source of false reports.
    report_rng: StdRng,
    gate: Dispatcher,
    /// Gate of the instances that are apart.
    second_gate: Dispatcher,
    machines: Vec<Machine>,
    messages: VecDeque<(u64, Message)>,
    arrivals: BTreeMap<u64, u64>,
    outcome: Outcome,
}

/// Time within which the first event is on time.
pub const TARGET_MS: u64 = 400;

fn request(number: u64) -> SlotRequest {
    SlotRequest {
        workspace: None,
        work: Work::Generation {
            prompt_tokens: 200,
            output_tokens: OUTPUT_TOKENS,
            parts: Vec::new(),
        },
        target_left: ms(TARGET_MS),
        fingerprint: number,
        ..dispatch_support::request("class")
    }
}

/// Plays the scenario.
pub fn play(play: Play) -> Outcome {
    let names: Vec<String> = (0..play.upstreams).map(|number| format!("u{number:03}")).collect();
    let infos: Vec<_> =
        names.iter().map(|name| dispatch_support::upstream(name, play.slots)).collect();
    let machines = names.into_iter().enumerate().map(|(index, name)| Machine {
        name,
        pace: 1.0,
        running: Vec::new(),
        waiting: VecDeque::new(),
        others_wanted: 0,
        frozen: match play.reports {
            Reports::FrozenAt(load) if index < play.upstreams.div_ceil(10) => Some(load),
            _ => None,
        },
    });
    let mut gate = dispatcher(&infos);
    let mut second_gate = dispatcher(&infos);
    if play.apart > 0.0 {
        let share = FleetShare::of_minority(play.apart);
        second_gate.set_fleet_share(ms(0), share);
        gate.set_fleet_share(
            ms(0),
            FleetShare {
                limits: 1.0 - share.limits,
                slots_of_others: play.apart,
                ..FleetShare::WHOLE
            },
        );
    }
    let mut world = World {
        play,
        rng: StdRng::seed_from_u64(play.seed),
        report_rng: StdRng::seed_from_u64(play.seed + 1_000),
        gate,
        second_gate,
        machines: machines.collect(),
        messages: VecDeque::new(),
        arrivals: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    for now_ms in 0..play.length_ms {
        world.step(now_ms);
    }
    world.outcome.load_reports = world.gate.load_reports();
    world.outcome
}

impl World {
    fn step(&mut self, now_ms: u64) {
        self.change_paces(now_ms);
        self.run_machines(now_ms);
        self.deliver(now_ms);
        self.arrive(now_ms);
        if now_ms.is_multiple_of(TICK_MS) {
            let decisions = self.gate.tick(ms(now_ms));
            self.apply(now_ms, decisions);
            let decisions = self.second_gate.tick(ms(now_ms));
            self.apply(now_ms, decisions);
        }
        self.observe_evenness(now_ms);
    }

    /// Returns whether a request is of an instance that the second gate decides for.
    fn is_of_second(&self, number: u64) -> bool {
        self.play.has_second_gate && ((number * 37 % 100) as f64 / 100.0) < self.play.apart
    }

    fn gate_of(&mut self, number: u64) -> &mut Dispatcher {
        if self.is_of_second(number) { &mut self.second_gate } else { &mut self.gate }
    }

    fn change_paces(&mut self, now_ms: u64) {
        let Play { hold_ms, max_pace, others, slots, upstreams, .. } = self.play;
        for (index, machine) in self.machines.iter_mut().enumerate() {
            // Upstreams change at different moments.
            let offset = hold_ms * index as u64 / upstreams as u64;
            if (now_ms + offset).is_multiple_of(hold_ms) {
                machine.pace = max_pace.powf(self.rng.random_range(0.0..1.0));
                let most = f64::from(slots) * others;
                let is_used = self.rng.random_range(0.0..1.0) < 0.3;
                let part: f64 = self.rng.random_range(0.0..1.0);
                machine.others_wanted = if is_used { (part * most) as u32 } else { 0 };
            }
        }
    }

    fn run_machines(&mut self, now_ms: u64) {
        let slots = self.play.slots as usize;
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            while machine.of_others() < machine.others_wanted {
                machine.waiting.push_back(job(None, now_ms, now_ms));
            }
            while machine.running.len() < slots
                && let Some(next) = machine.waiting.pop_front()
            {
                machine.running.push(next);
            }
            let progress = 1.0 / machine.pace;
            for place in (0..machine.running.len()).rev() {
                let job = &mut self.machines[index].running[place];
                job.left_ms -= progress;
                if job.left_ms <= 0.0 {
                    self.event(now_ms, index, place);
                }
            }
        }
    }

    fn event(&mut self, now_ms: u64, index: usize, place: usize) {
        let job = &mut self.machines[index].running[place];
        job.left_ms += TOKEN_MS;
        job.events += 1;
        if job.events == 1 {
            job.first_ms = now_ms;
        } else {
            job.longest_pause_ms = job.longest_pause_ms.max(now_ms - job.last_ms);
        }
        job.last_ms = now_ms;
        let job = *job;
        let is_over = job.events == job.events_wanted;
        if is_over {
            self.machines[index].running.remove(place);
        }
        let Some(number) = job.number else { return };
        if job.events == 1 {
            let load = self.report(now_ms, index);
            let took_ms = now_ms - job.sent_ms;
            self.send(now_ms, Message::First { number, took_ms, load, at_ms: now_ms });
            let first_ms = now_ms - job.arrived_ms;
            self.outcome.first_ms.push(first_ms as f64);
            let is_on_time = usize::from(first_ms <= TARGET_MS);
            self.outcome.on_time += is_on_time;
            if self.is_of_second(number) {
                self.outcome.second_on_time += is_on_time;
            }
        }
        if is_over {
            let (took_ms, decode_ms) = (now_ms - job.sent_ms, now_ms - job.first_ms);
            self.send(now_ms, Message::End { number, took_ms, decode_ms });
            self.outcome.pauses_ms.push(job.longest_pause_ms as f64);
        }
    }

    fn send(&mut self, now_ms: u64, message: Message) {
        self.messages.push_back((now_ms + DELAY_MS, message));
    }

    fn report(&mut self, now_ms: u64, index: usize) -> Option<UpstreamLoad> {
        let random = self.report_rng.random_range(0.0..1.0);
        let machine = &mut self.machines[index];
        let mut load = UpstreamLoad {
            running: machine.running.len() as u32,
            waiting: machine.waiting.len() as u32,
            slots: self.play.slots,
            pace: Some(machine.pace),
        };
        match self.play.reports {
            Reports::None => return None,
            Reports::Three => load.pace = None,
            Reports::True => {}
            Reports::Random => load.pace = Some(self.play.max_pace.powf(random)),
            Reports::FrozenAt(_) => load = machine.frozen.unwrap_or(load),
            Reports::FrozenFrom(from_ms) if now_ms >= from_ms => {
                load = *machine.frozen.get_or_insert(load);
            }
            Reports::MissingFrom(from_ms) if now_ms >= from_ms => return None,
            Reports::FrozenFrom(_) | Reports::MissingFrom(_) => {}
        }
        Some(load)
    }

    fn deliver(&mut self, now_ms: u64) {
        while let Some((_, message)) = self.messages.pop_front_if(|(at, _)| *at <= now_ms) {
            match message {
                Message::First { number, took_ms, load, at_ms } => {
                    if let Some(load) = load {
                        self.gate_of(number).record_load(ms(at_ms), ticket(number), load);
                    }
                    self.gate_of(number).first_output(ms(now_ms), ticket(number), ms(took_ms));
                }
                Message::End { number, took_ms, decode_ms } => {
                    let end = End::Finished {
                        took: ms(took_ms),
                        output_tokens: OUTPUT_TOKENS - 1,
                        decode: ms(decode_ms),
                        is_framed: true,
                    };
                    let decisions = self.gate_of(number).end(ms(now_ms), ticket(number), end);
                    self.apply(now_ms, decisions);
                }
            }
        }
    }

    fn is_wave(now_ms: u64) -> bool {
        now_ms / WAVE_MS % 2 == 1
    }

    fn arrive(&mut self, now_ms: u64) {
        let Play { wave_rate, calm_rate, .. } = self.play;
        let rate = if Self::is_wave(now_ms) { wave_rate } else { calm_rate };
        let mut chance = rate / 1_000.0;
        while self.rng.random_range(0.0..1.0) < chance {
            chance -= 1.0;
            let number = self.outcome.requests as u64;
            self.outcome.requests += 1;
            self.outcome.second_requests += usize::from(self.is_of_second(number));
            self.arrivals.insert(number, now_ms);
            let gate = self.gate_of(number);
            let decisions = gate.request_slot(ms(now_ms), ticket(number), request(number));
            self.apply(now_ms, decisions);
        }
    }

    fn apply(&mut self, now_ms: u64, decisions: Vec<Decision>) {
        for decision in &decisions {
            match decision {
                Decision::Granted(Ticket { number, .. }, grant) => {
                    let name = grant.upstream.as_str();
                    let arrived_ms = self.arrivals.remove(number).unwrap_or(now_ms);
                    let machine = self.machines.iter_mut().find(|machine| machine.name == name);
                    let machine = machine.expect("the gate grants slots of known upstreams");
                    machine.waiting.push_back(job(Some(*number), arrived_ms, now_ms));
                    *self.outcome.granted.entry(name.to_owned()).or_default() += 1;
                }
                Decision::Refused(..) => {
                    self.outcome.refused += 1;
                    self.outcome.first_ms.push(f64::INFINITY);
                }
            }
        }
        self.outcome.decisions.extend(decisions);
    }

    fn observe_evenness(&mut self, now_ms: u64) {
        let since_wave_ms = now_ms % WAVE_MS;
        if !Self::is_wave(now_ms) || since_wave_ms < WAVE_MS / 2 || !now_ms.is_multiple_of(10) {
            return;
        }
        let mut queues: Vec<usize> = self.machines.iter().map(Machine::own).collect();
        queues.sort_unstable();
        let median = queues[queues.len() / 2].max(1);
        let longest = queues.last().copied().unwrap_or_default();
        self.outcome.unevenness.push(longest as f64 / median as f64);
    }
}

fn job(number: Option<u64>, arrived_ms: u64, sent_ms: u64) -> Job {
    Job {
        number,
        arrived_ms,
        sent_ms,
        left_ms: FIRST_MS,
        events: 0,
        events_wanted: OUTPUT_TOKENS,
        first_ms: 0,
        last_ms: 0,
        longest_pause_ms: 0,
    }
}
