//! Prints the time of one gate decision for increasing numbers of upstreams.
//!
//! Run with `cargo run --release -p lacewingspring_core --example decision_cost`. A decision is one
//! permit request, first token, or end of a run, with three tiers and twenty workspaces, at half
//! and at twice the capacity. The mean over all calls and the means by kind of call are printed in
//! nanoseconds; the column `ask` is for permit requests.

#![allow(clippy::disallowed_methods, reason = "a benchmark reads the clock")]

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use lacewingspring_core::{
    gate::{Cost, Decision, Gate, Outcome, PermitRequest, Prefix, Resume, Ticket},
    names::{UpstreamName, WorkspaceName},
    resources::UpstreamSpec,
};

/// Numbers of upstreams that are measured.
const UPSTREAMS: [usize; 4] = [16, 64, 230, 460];
/// Slots of each upstream.
const SLOTS: u32 = 16;
/// Approximate number of calls in a measurement; each request makes three.
const CALLS: u64 = 200_000;
const WORKSPACES: u64 = 20;
const TIERS: u64 = 3;
const OUTPUT_TOKENS: u32 = 50;
/// Service time from which the arrival rate is calculated.
const SERVICE_TIME: Duration = Duration::from_millis(750);
/// Time between two ticks of the gate.
const TICK: Duration = Duration::from_millis(100);

/// Load of one measurement.
#[derive(Clone, Copy)]
enum Load {
    /// Half of the slots are in use and nothing waits.
    Light,
    /// Twice as much arrives as the slots can serve.
    Full,
}

#[derive(Default)]
struct Meter {
    calls: u32,
    spent: Duration,
}

impl Meter {
    fn time<T, F>(&mut self, call: F) -> T
    where
        F: FnOnce() -> T,
    {
        let started = Instant::now();
        let result = call();
        self.spent += started.elapsed();
        self.calls += 1;
        result
    }

    fn nanoseconds(&self) -> u128 {
        self.spent.as_nanos() / u128::from(self.calls.max(1))
    }
}

fn main() {
    println!("upstreams  load     ask  first_token  ended  mean  healthy  waiting   (times in ns)");
    for count in UPSTREAMS {
        for load in [Load::Light, Load::Full] {
            measure(count, load);
        }
    }
}

fn measure(count: usize, load: Load) {
    let upstreams: Vec<_> = (0..count).map(upstream).collect();
    let mut gate = Gate::new(upstreams.clone());
    let slots = count as u32 * SLOTS;
    let (name, offered) = match load {
        Load::Light => ("light", slots / 2),
        Load::Full => ("full", slots * 2),
    };
    let arrival_interval = SERVICE_TIME / offered;
    let mut engines = Engines::new(upstreams);
    let mut meters = Meters::default();
    let mut ticked_at = Duration::ZERO;
    for call in 0..CALLS / 3 {
        let now = arrival_interval * call as u32;
        while let Some((at, event)) = engines.next(now) {
            let decisions = meters.event(&mut gate, at, event);
            engines.start(&mut gate, at, decisions);
        }
        if now >= ticked_at + TICK {
            ticked_at = now;
            let decisions = gate.tick(now);
            engines.start(&mut gate, now, decisions);
        }
        let request = request(call);
        let decisions = meters.requests.time(|| gate.request_permit(now, Ticket(call), request));
        engines.start(&mut gate, now, decisions);
    }
    meters.print(count, name, &gate);
}

#[derive(Default)]
struct Meters {
    requests: Meter,
    first_tokens: Meter,
    ends: Meter,
}

impl Meters {
    fn event(&mut self, gate: &mut Gate, at: Duration, event: Event) -> Vec<Decision> {
        match event {
            Event::FirstToken(ticket) => self.first_tokens.time(|| gate.first_token(at, ticket)),
            Event::End(ticket) => {
                let outcome = Outcome::Finished(OUTPUT_TOKENS);
                self.ends.time(|| gate.ended(at, ticket, outcome))
            }
        }
    }

    fn print(&self, count: usize, name: &str, gate: &Gate) {
        let Self { requests, first_tokens, ends } = self;
        let calls = requests.calls + first_tokens.calls + ends.calls;
        let spent = requests.spent + first_tokens.spent + ends.spent;
        let mean = spent.as_nanos() / u128::from(calls.max(1));
        let summary = gate.summary();
        let healthy = summary.upstreams.iter().filter(|upstream| upstream.healthy).count();
        println!(
            "{count:9}  {name:5}  {:5}  {:11}  {:5}  {mean:4}  {healthy:7}  {:7}",
            requests.nanoseconds(),
            first_tokens.nanoseconds(),
            ends.nanoseconds(),
            gate.waiting_len(),
        );
    }
}

/// Event on an upstream.
#[derive(Clone, Copy)]
enum Event {
    FirstToken(Ticket),
    End(Ticket),
}

/// Simulated upstreams that run at their declared speed.
struct Engines {
    specs: HashMap<UpstreamName, UpstreamSpec>,
    prefilled_at: HashMap<UpstreamName, Duration>,
    events: BTreeMap<(Duration, u64), Event>,
    parked: HashSet<Ticket>,
    next_event: u64,
}

impl Engines {
    fn new(specs: Vec<UpstreamSpec>) -> Self {
        Self {
            specs: specs.into_iter().map(|spec| (spec.name.clone(), spec)).collect(),
            prefilled_at: HashMap::new(),
            events: BTreeMap::new(),
            parked: HashSet::new(),
            next_event: 0,
        }
    }

    fn next(&mut self, now: Duration) -> Option<(Duration, Event)> {
        let first = self.events.first_entry()?;
        let (at, _) = *first.key();
        (at <= now).then(|| (at, first.remove()))
    }

    /// Applies decisions; a parked run requests a permit again at once.
    fn start(&mut self, gate: &mut Gate, now: Duration, decisions: Vec<Decision>) {
        let mut decisions = VecDeque::from(decisions);
        while let Some(decision) = decisions.pop_front() {
            match decision {
                Decision::Granted(ticket, name) => {
                    let is_new = !self.parked.remove(&ticket);
                    self.run(now, ticket, &name, is_new);
                }
                Decision::Park(ticket) => {
                    self.parked.insert(ticket);
                    let resume = Some(Resume { kv_exported: true, generated_tokens: 1 });
                    let again = PermitRequest { resume, ..request(ticket.0) };
                    decisions.extend(gate.request_permit(now, ticket, again));
                }
                Decision::Refused(..) => {}
            }
        }
    }

    fn run(&mut self, now: Duration, ticket: Ticket, name: &UpstreamName, is_new: bool) {
        let spec = &self.specs[name];
        let prompt = if is_new { f64::from(prompt_tokens(ticket.0)) } else { 0.0 };
        let prefill = Duration::from_secs_f64(prompt / spec.prefill_tokens_per_second);
        let prefilled_at = self.prefilled_at.entry(name.clone()).or_default();
        *prefilled_at = now.max(*prefilled_at) + prefill;
        let first_token_at = *prefilled_at;
        let decode = spec.decode_ms * 1.25 * f64::from(OUTPUT_TOKENS);
        let ends_at = first_token_at + Duration::from_secs_f64(decode / 1e3);
        self.add(first_token_at, Event::FirstToken(ticket));
        self.add(ends_at, Event::End(ticket));
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }
}

/// Prompt tokens of a request; one in ten is long.
fn prompt_tokens(call: u64) -> u32 {
    if call.is_multiple_of(10) { 4_000 } else { 200 }
}

fn request(call: u64) -> PermitRequest {
    let workspace = WorkspaceName::from(format!("workspace{}", call % WORKSPACES));
    let cost = Cost { prompt_tokens: prompt_tokens(call), output_tokens: OUTPUT_TOKENS };
    let prefixes = (0..4).map(|i| Prefix { hash: call % 100 * 4 + i, tokens: 64 << i }).collect();
    PermitRequest {
        parkable: call.is_multiple_of(2),
        max_wait: Duration::from_secs(3_600),
        prefixes,
        ..PermitRequest::new((call % TIERS) as u8, workspace, cost)
    }
}

fn upstream(number: usize) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("upstream{number:03}").into(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "south".into(),
        slots: SLOTS,
        prefill_tokens_per_second: 10_000.0 + 100.0 * (number % 100) as f64,
        decode_ms: 10.0,
        kv_tokens: 400_000,
        checks_fencing: false,
        leaving: false,
    }
}
