//! One upstream as its pool sees it: what runs there, how fast it is, whether it can be used.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
    time::Duration,
};

use super::{
    upstream::UpstreamInfo,
    work::{End, PromptPart, SlotRequest, Work},
};

/// Weight of a new sample in a learned speed.
const SPEED_WEIGHT: f64 = 0.2;

/// Weight of a new sample in the share of failed requests.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time in which the share of failed requests falls to a third without a request.
const FAILURE_MEMORY: Duration = Duration::from_secs(8);

/// Time for which an upstream that could not be reached is left alone at first.
const FIRST_DOWN: Duration = Duration::from_millis(250);

/// Longest time for which an upstream is left alone.
const LONGEST_DOWN: Duration = Duration::from_secs(2);

/// Time for which an upstream that declined a request is given no more.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Least time to read a prompt token that is learned, in milliseconds.
const LEAST_PREFILL_MS: f64 = 0.001;

/// Least time of an output token or a plain call that speeds are compared by, in milliseconds.
const LEAST_HOLD_MS: f64 = 0.1;

/// Prompt length from which the time to the first event tells the speed of prefill, in tokens.
const PREFILL_SAMPLE_TOKENS: u32 = 1_000;

/// Prompt length up to which the time to the first event tells how an answer begins, in tokens.
const BEGIN_SAMPLE_TOKENS: f64 = 500.0;

/// Output length from which the time to the end tells the speed of decoding, in tokens.
const DECODE_SAMPLE_TOKENS: u32 = 20;

/// Time for which prompt parts are taken to stay in an upstream's cache.
const CACHE_MEMORY: Duration = Duration::from_secs(20);

/// Most prompt parts that are remembered of an upstream.
const CACHE_PARTS: usize = 2_000;

/// Time that a failed request costs beyond its own, as it is asked again or lost.
const FAILURE_COST_MS: f64 = 2_000.0;

/// Cost of a request that crosses data centres, as a multiple of its own.
const REMOTE_FACTOR: f64 = 1.1;

/// Hash of the identities of prompt parts, which are digests already.
type PartHash = BuildHasherDefault<PartHasher>;

/// Spreads the bits of an identity over the whole hash.
#[derive(Debug, Default)]
struct PartHasher(u64);

impl Hasher for PartHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(self.0 ^ u64::from(*byte));
        }
    }

    fn write_u64(&mut self, id: u64) {
        self.0 = id.wrapping_mul(SPREAD);
    }
}

/// Odd number whose multiples differ in their upper bits (the golden ratio).
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// Speeds of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    /// Milliseconds to read a prompt token.
    pub prefill_ms: f64,
    /// Milliseconds from the end of a prompt to the first event of the answer.
    pub begin_ms: f64,
    /// Milliseconds to make an output token.
    pub decode_ms: f64,
    /// Milliseconds of a call to a plain service.
    pub plain_ms: f64,
}

impl Speed {
    /// Speed that is assumed while nothing was observed.
    pub const ASSUMED: Self =
        Self { prefill_ms: 0.015, begin_ms: 10.0, decode_ms: 5.0, plain_ms: 30.0 };
}

/// Work of one run on an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Prompt tokens to read, those in the cache left out.
    pub prefill_tokens: u32,
    /// Prompt tokens that were to be read before it.
    pub prefill_ahead: f64,
    /// Tokens that the run needs in memory.
    pub memory_tokens: u64,
    /// Whether its first event has come.
    pub started: bool,
}

/// State of one upstream.
#[derive(Debug)]
pub(super) struct Server {
    /// What is known of it from its own entry.
    pub info: UpstreamInfo,
    /// Requests that run on it.
    pub running: u32,
    /// Prompt tokens of runs whose answer has not begun.
    pub pending_prefill: u64,
    /// Time by which all prompts are expected to be read.
    read_until: Duration,
    /// Tokens of memory that its runs need.
    pub memory: u64,
    /// Learned speeds.
    pub speed: Speed,
    failures: f64,
    failed_at: Duration,
    down_until: Duration,
    down_for: Duration,
    cached: HashMap<u64, Duration, PartHash>,
    cache_order: VecDeque<u64>,
}

impl Server {
    /// Creates an upstream of which nothing was observed.
    pub fn new(info: UpstreamInfo, speed: Speed) -> Self {
        Self {
            info,
            running: 0,
            pending_prefill: 0,
            read_until: Duration::ZERO,
            memory: 0,
            speed,
            failures: 0.0,
            failed_at: Duration::ZERO,
            down_until: Duration::ZERO,
            down_for: FIRST_DOWN,
            cached: HashMap::default(),
            cache_order: VecDeque::new(),
        }
    }

    /// Returns whether a request can be sent to it now.
    pub fn has_room(&self, now: Duration, slots: u32, memory: u64) -> bool {
        let fits = self.running == 0 || self.memory + memory <= self.info.memory_tokens;
        self.has_slot(now, slots) && fits
    }

    /// Returns whether it has a free slot.
    pub fn has_slot(&self, now: Duration, slots: u32) -> bool {
        self.is_usable(now) && self.running < slots
    }

    /// Returns whether it is neither leaving nor left alone.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.info.draining && now >= self.down_until
    }

    /// Returns prompt tokens that it has to read, those that it holds left out.
    pub fn uncached(&self, now: Duration, prompt_tokens: u32, parts: &[PromptPart]) -> u32 {
        let held = parts.iter().take_while(|part| self.holds(now, part.id));
        let held: u32 = held.map(|part| part.tokens).sum();
        prompt_tokens.saturating_sub(held)
    }

    fn holds(&self, now: Duration, id: u64) -> bool {
        self.cached.get(&id).is_some_and(|at| now.saturating_sub(*at) < CACHE_MEMORY)
    }

    /// Returns milliseconds until the first event of a request.
    pub fn first_ms(&self, now: Duration, work: &Work) -> f64 {
        match work {
            Work::Plain => self.speed.plain_ms,
            Work::Generation { prompt_tokens, parts, .. } => {
                let own = self.uncached(now, *prompt_tokens, parts);
                let own_ms = f64::from(own) * self.speed.prefill_ms;
                self.backlog_ms(now) + own_ms + self.speed.begin_ms
            }
        }
    }

    /// Returns milliseconds until the prompts that were sent are read.
    fn backlog_ms(&self, now: Duration) -> f64 {
        let all_ms = self.pending_prefill as f64 * self.speed.prefill_ms;
        all_ms.min(millis(self.read_until.saturating_sub(now)))
    }

    /// Returns how often a slot becomes free here, relative to other upstreams.
    pub fn pace(&self, work: &Work) -> f64 {
        let hold_ms = match work {
            Work::Plain => self.speed.plain_ms,
            Work::Generation { .. } => self.speed.decode_ms,
        };
        f64::from(self.info.slots) / hold_ms.max(LEAST_HOLD_MS)
    }

    /// Returns milliseconds until the end of a request's answer.
    pub fn whole_ms(&self, now: Duration, work: &Work) -> f64 {
        let rest = match work {
            Work::Plain => 0.0,
            Work::Generation { output_tokens, .. } => {
                f64::from(*output_tokens) * self.speed.decode_ms
            }
        };
        self.first_ms(now, work) + rest
    }

    /// Returns the cost of a request here, in milliseconds; the lowest is chosen.
    pub fn cost_ms(&self, now: Duration, ask: &SlotRequest) -> f64 {
        let work = &ask.work;
        let busy = f64::from(self.running) / f64::from(self.info.slots.max(1));
        let rest = match work {
            Work::Plain => self.speed.plain_ms * busy,
            Work::Generation { output_tokens, .. } => {
                f64::from(*output_tokens) * self.speed.decode_ms * (1.0 + busy / 2.0)
            }
        };
        let is_remote = self.info.data_centre != ask.data_centre;
        let distance = if is_remote { REMOTE_FACTOR } else { 1.0 };
        (self.first_ms(now, work) + rest) * distance + self.failures(now) * FAILURE_COST_MS
    }

    /// Returns the share of requests that failed lately.
    fn failures(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failures * (-passed / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Starts a run.
    pub fn start(&mut self, now: Duration, work: &Work) -> Run {
        let mut run = Run {
            prefill_tokens: 0,
            prefill_ahead: self.backlog_ms(now) / self.speed.prefill_ms,
            memory_tokens: 0,
            started: false,
        };
        if let Work::Generation { prompt_tokens, output_tokens, parts } = work {
            run.prefill_tokens = self.uncached(now, *prompt_tokens, parts);
            run.memory_tokens = u64::from(*prompt_tokens) + u64::from(*output_tokens);
            for part in parts {
                self.remember(now, part.id);
            }
            let own_ms = f64::from(run.prefill_tokens) * self.speed.prefill_ms;
            self.read_until =
                now.max(self.read_until) + Duration::from_secs_f64(own_ms / MILLIS_A_SECOND);
        }
        self.carry(&run);
        run
    }

    /// Counts a run.
    pub fn carry(&mut self, run: &Run) {
        self.running += 1;
        self.memory += run.memory_tokens;
        if !run.started {
            self.pending_prefill += u64::from(run.prefill_tokens);
        }
    }

    fn remember(&mut self, now: Duration, id: u64) {
        if self.cached.insert(id, now).is_none() {
            self.cache_order.push_back(id);
        }
        while self.cache_order.len() > CACHE_PARTS {
            if let Some(oldest) = self.cache_order.pop_front() {
                self.cached.remove(&oldest);
            }
        }
    }

    /// Notes the first event of a run, `took` after its send.
    pub fn first_output(&mut self, run: &mut Run, took: Duration) {
        if std::mem::replace(&mut run.started, true) {
            return;
        }
        self.pending_prefill = self.pending_prefill.saturating_sub(u64::from(run.prefill_tokens));
        let tokens = run.prefill_ahead + f64::from(run.prefill_tokens);
        let Speed { prefill_ms, begin_ms, .. } = &mut self.speed;
        if run.prefill_tokens >= PREFILL_SAMPLE_TOKENS {
            let read_ms = (millis(took) - *begin_ms).max(0.0);
            learn(prefill_ms, (read_ms / tokens).max(LEAST_PREFILL_MS));
        } else if tokens <= BEGIN_SAMPLE_TOKENS {
            learn(begin_ms, (millis(took) - tokens * *prefill_ms).max(0.0));
        }
    }

    /// Ends a run.
    pub fn end(&mut self, now: Duration, run: &Run, end: End) {
        self.running = self.running.saturating_sub(1);
        self.memory = self.memory.saturating_sub(run.memory_tokens);
        if !run.started {
            self.pending_prefill =
                self.pending_prefill.saturating_sub(u64::from(run.prefill_tokens));
        }
        match end {
            End::Finished { took, output_tokens, decode } => {
                self.down_for = FIRST_DOWN;
                self.failures = self.failures(now) * (1.0 - FAILURE_WEIGHT);
                self.failed_at = now;
                if output_tokens >= DECODE_SAMPLE_TOKENS {
                    let sample = millis(decode) / f64::from(output_tokens);
                    learn(&mut self.speed.decode_ms, sample);
                }
                if run.memory_tokens == 0 {
                    learn(&mut self.speed.plain_ms, millis(took));
                }
            }
            End::Failed | End::Broken => {
                let failures = self.failures(now);
                self.failures = failures + (1.0 - failures) * FAILURE_WEIGHT;
                self.failed_at = now;
            }
            End::Declined => self.down_until = self.down_until.max(now + FULL_PAUSE),
            End::Unreachable | End::Misdirected => self.leave_alone(now),
            End::Leaving => self.info.draining = true,
            End::Cancelled => {}
        }
    }

    fn leave_alone(&mut self, now: Duration) {
        if now >= self.down_until {
            self.down_until = now + self.down_for;
            self.down_for = (self.down_for * 2).min(LONGEST_DOWN);
        }
    }
}

fn learn(value: &mut f64, sample: f64) {
    *value += (sample - *value) * SPEED_WEIGHT;
}

/// Milliseconds in a second.
const MILLIS_A_SECOND: f64 = 1_000.0;

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * MILLIS_A_SECOND
}
