//! Load of sound and crashing requests on upstreams that crash and start again, in virtual time.

use std::{collections::HashMap, time::Duration};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, End, FleetShare, PromptPart, SlotRequest, UpstreamInfo, Work,
    },
    names::UpstreamName,
};

use crate::dispatch_support::{self, ms, ticket};

/// Time between two steps of a play.
pub const STEP: Duration = Duration::from_millis(10);

/// Time after its crash until a server is back under another name.
pub const RESTART_TIME: Duration = Duration::from_secs(3);

/// Time after which all instances must know what the gate learned.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Crashes after which hardly any crashing request may reach an upstream.
const CRASHES_ALLOWED: usize = 5;

/// Crashing requests that may still reach upstreams from then on.
const LATE_SENDS_ALLOWED: usize = 3;

/// Number of requests from which on the fraction of the granted ones is compared.
const MIN_REQUESTS: usize = 5;

/// First of the ids of the last parts, each of which belongs to one request.
pub const LAST_PARTS: u64 = 1_000_000;

/// Part that crashes upstreams.
pub const CRASHING_PART: u64 = 777;

/// First part of crashing requests where all have the same one.
pub const SHARED_FIRST_PART: u64 = 1;

pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Seeded pseudo-random numbers.
pub struct Random(u64);

impl Random {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % bound
    }

    /// Returns whether an event with this rate a second happens within a step.
    fn happens(&mut self, rate: f64) -> bool {
        (self.below(1_000_000) as f64) < rate * STEP.as_secs_f64() * 1_000_000.0
    }
}

/// Load and faults of a play.
#[derive(Clone, Copy)]
pub struct Script {
    /// Sound requests a second.
    pub sound_rate: f64,
    /// Sound requests a second that have [`SHARED_FIRST_PART`].
    pub shared_rate: f64,
    /// Number of first parts of the other sound requests.
    pub first_parts: u64,
    /// Crashing requests a second.
    pub crashing_rate: f64,
    /// Parts of a crashing request before its last one.
    pub crashing_parts: fn(&mut Random) -> Vec<u64>,
    /// Fraction of the sound runs that break off alone.
    pub broken_fraction: f64,
    /// Whether answers end with their connections, so that those cut off between two events look
    /// complete.
    pub is_unframed: bool,
}

pub const SCRIPT: Script = Script {
    sound_rate: 55.0,
    shared_rate: 1.0,
    first_parts: 150,
    crashing_rate: 3.0,
    crashing_parts: |_| vec![SHARED_FIRST_PART, CRASHING_PART],
    broken_fraction: 0.0,
    is_unframed: false,
};

/// Start and end of the crashing requests.
pub const CRASHING_FROM: Duration = Duration::from_secs(8);
pub const CRASHING_UNTIL: Duration = Duration::from_secs(30);

/// Length of a play.
pub const PLAY_TIME: Duration = Duration::from_secs(40);

/// A request of a play.
pub struct Sent {
    pub at: Duration,
    pub parts: Vec<u64>,
    pub granted_at: Option<Duration>,
}

impl Sent {
    fn is_crashing(&self) -> bool {
        self.parts.contains(&CRASHING_PART)
    }
}

/// A run at an upstream.
pub struct Run {
    pub upstream: UpstreamName,
    pub started_at: Duration,
    /// Time from the start to the end, or to the crash.
    pub length: Duration,
    /// Whether its first output was reported.
    pub has_output: bool,
    pub breaks: bool,
}

/// A gate with nine upstreams under a script.
pub struct Play {
    pub script: Script,
    pub random: Random,
    pub now: Duration,
    pub gate: Dispatcher,
    pub upstreams: Vec<UpstreamInfo>,
    pub restarts: Vec<Duration>,
    pub started: u64,
    pub sent: Vec<Sent>,
    pub runs: HashMap<u64, Run>,
    pub crashes: Vec<Duration>,
}

impl Play {
    pub fn new(seed: u64, script: Script) -> Self {
        let mut play = Self {
            script,
            random: Random(seed),
            now: Duration::ZERO,
            gate: new_gate(Duration::ZERO),
            upstreams: Vec::new(),
            restarts: vec![Duration::ZERO; 9],
            started: 0,
            sent: Vec::new(),
            runs: HashMap::new(),
            crashes: Vec::new(),
        };
        play.start_servers();
        play
    }

    pub fn run_until(&mut self, until: Duration) {
        while self.now < until {
            self.now += STEP;
            self.start_servers();
            self.end_runs();
            self.send_requests();
            let decisions = self.gate.tick(self.now);
            self.apply(decisions);
        }
    }

    /// Lets a new gate take over, which is told what runs.
    pub fn change_gate(&mut self) {
        let hand_over = self.gate.hand_over(self.now);
        self.gate = new_gate(self.now);
        self.gate.take_over(self.now, Duration::ZERO, &hand_over);
        let decisions = self.gate.set_upstreams(self.now, self.upstreams.clone());
        self.apply(decisions);
        let mut numbers: Vec<u64> = self.runs.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let request = request(number, &self.sent[number as usize].parts);
            let upstream = self.runs[&number].upstream.clone();
            self.gate.adopt(self.now, ticket(number), &request, upstream);
        }
    }

    fn start_servers(&mut self) {
        let before = self.upstreams.len();
        let now = self.now;
        let due = self.restarts.extract_if(.., |at| *at <= now).count();
        for _ in 0..due {
            self.started += 1;
            self.upstreams.push(upstream(&format!("u{}", self.started)));
        }
        if self.upstreams.len() != before {
            let decisions = self.gate.set_upstreams(self.now, self.upstreams.clone());
            self.apply(decisions);
        }
    }

    fn end_runs(&mut self) {
        let mut numbers: Vec<u64> = self.runs.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(run) = self.runs.get_mut(&number) else { continue };
            let elapsed = self.now - run.started_at;
            if elapsed >= ms(80) && !run.has_output {
                run.has_output = true;
                self.gate.first_output(self.now, ticket(number), elapsed);
            }
            if elapsed < run.length {
                continue;
            }
            if self.sent[number as usize].is_crashing() {
                let upstream = run.upstream.clone();
                self.crash(&upstream);
            } else {
                let is_framed = !self.script.is_unframed;
                let end = if run.breaks { End::Broken } else { finished(elapsed, is_framed) };
                self.end(number, end);
            }
        }
    }

    /// Ends all runs of an upstream, which is gone from then on.
    pub fn crash(&mut self, upstream: &UpstreamName) {
        self.crashes.push(self.now);
        self.restarts.push(self.now + RESTART_TIME);
        self.upstreams.retain(|info| info.name != *upstream);
        let mut numbers: Vec<u64> = self.runs.keys().copied().collect();
        numbers.retain(|number| self.runs[number].upstream == *upstream);
        numbers.sort_unstable();
        let decisions = self.gate.set_upstreams(self.now, self.upstreams.clone());
        self.apply(decisions);
        for number in numbers {
            let looks_complete =
                self.script.is_unframed && self.sent[number as usize].is_crashing();
            let end = if looks_complete { finished(ms(120), false) } else { End::Broken };
            self.end(number, end);
        }
    }

    fn end(&mut self, number: u64, end: End) {
        self.runs.remove(&number);
        let decisions = self.gate.end(self.now, ticket(number), end);
        self.apply(decisions);
    }

    fn send_requests(&mut self) {
        if self.random.happens(self.script.sound_rate) {
            let part = 100 + self.random.below(self.script.first_parts);
            self.send(vec![part]);
        }
        if self.random.happens(self.script.shared_rate) {
            self.send(vec![SHARED_FIRST_PART]);
        }
        let is_crashing_time = (CRASHING_FROM..CRASHING_UNTIL).contains(&self.now);
        if is_crashing_time && self.random.happens(self.script.crashing_rate) {
            let parts = (self.script.crashing_parts)(&mut self.random);
            self.send(parts);
        }
    }

    pub fn send(&mut self, mut parts: Vec<u64>) {
        let number = self.sent.len() as u64;
        parts.push(LAST_PARTS + number);
        let request = request(number, &parts);
        self.sent.push(Sent { at: self.now, parts, granted_at: None });
        let decisions = self.gate.request_slot(self.now, ticket(number), request);
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let Decision::Granted(ticket, grant) = decision else { continue };
            let sent = &mut self.sent[ticket.number as usize];
            sent.granted_at = Some(self.now);
            let is_crashing = sent.is_crashing();
            let length = if is_crashing { ms(120) } else { ms(100 + self.random.below(1_500)) };
            let breaks = (self.random.below(1_000) as f64) < self.script.broken_fraction * 1_000.0;
            let run = Run {
                upstream: grant.upstream,
                started_at: self.now,
                length,
                has_output: false,
                breaks,
            };
            self.runs.insert(ticket.number, run);
        }
    }

    /// Returns the fraction of the sound requests with a first part that were granted a slot; 1 if
    /// there are too few to tell.
    pub fn granted_fraction<F>(&self, from: Duration, until: Duration, has_part: F) -> f64
    where
        F: Fn(u64) -> bool,
    {
        let sound = self.sent.iter().filter(|sent| !sent.is_crashing() && has_part(sent.parts[0]));
        let sound = sound.filter(|sent| (from..until).contains(&sent.at));
        let granted: Vec<bool> = sound.map(|sent| sent.granted_at.is_some()).collect();
        let count = granted.iter().filter(|is_granted| **is_granted).count();
        if granted.len() < MIN_REQUESTS { 1.0 } else { count as f64 / granted.len() as f64 }
    }

    /// Returns the time of the fifth crash, or of the last one if there are fewer.
    fn last_allowed_crash(&self) -> Duration {
        let last = self.crashes.iter().take(CRASHES_ALLOWED).next_back();
        *last.expect("the part crashes an upstream")
    }

    pub fn assert_crashing_requests_are_stopped(&self) {
        let from = self.last_allowed_crash() + SETTLE_TIME;
        let late = self.sent.iter().filter(|sent| sent.is_crashing());
        let late = late.filter(|sent| sent.granted_at.is_some_and(|at| at > from)).count();
        assert!(
            late <= LATE_SENDS_ALLOWED,
            "{late} crashing requests were sent later than 3 s after the fifth crash; {} crashes",
            self.crashes.len()
        );
    }

    pub fn assert_sound_requests_are_served<F>(&self, has_part: F)
    where
        F: Fn(u64) -> bool + Copy,
    {
        let from = self.last_allowed_crash() + SETTLE_TIME * 2;
        let before = self.granted_fraction(Duration::ZERO, CRASHING_FROM, has_part);
        let after = self.granted_fraction(from, CRASHING_UNTIL, has_part);
        assert!(
            after >= before / 2.0,
            "{after:.2} of the sound requests are granted a slot, {before:.2} were before"
        );
    }
}

pub fn new_gate(now: Duration) -> Dispatcher {
    let mut gate = Dispatcher::default();
    gate.set_fleet_share(now, FleetShare::WHOLE);
    gate
}

/// Returns an upstream with eleven slots.
pub fn upstream(name: &str) -> UpstreamInfo {
    UpstreamInfo { memory_tokens: 700_000, ..dispatch_support::upstream(name, 11) }
}

/// Returns a request whose prompt has these parts.
pub fn request(number: u64, parts: &[u64]) -> SlotRequest {
    let parts = parts.iter().map(|id| PromptPart { id: *id, tokens: 60 }).collect();
    SlotRequest {
        work: Work::Generation { prompt_tokens: 200, output_tokens: 50, parts },
        target_left: ms(800),
        first_output_left: ms(3_200),
        charge: 250,
        fingerprint: number,
        ..dispatch_support::request("label")
    }
}

pub fn finished(took: Duration, is_framed: bool) -> End {
    End::Finished { took, output_tokens: 10, decode: took / 2, is_framed }
}
