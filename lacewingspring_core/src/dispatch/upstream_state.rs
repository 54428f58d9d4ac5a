//! State of one upstream as the scheduler sees it: its runs, learned speed, failures and cache.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
    time::Duration,
};

use super::{
    reported_load::{ReportedLoad, RunForecast},
    upstream::UpstreamInfo,
    work::{End, PromptPart, SlotRequest, Work},
};

/// Weight of a new sample in the moving averages of speeds.
const SPEED_SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a new sample in the moving average of the failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.1;

/// Time constant with which the failure rate decays while no request ends; after that time about a
/// third of it is left.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(8);

/// First back-off after an upstream could not be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest back-off of an unreachable upstream.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time for which an upstream that declined a request gets no further ones.
const DECLINED_PAUSE: Duration = Duration::from_millis(50);

/// Lower bound of a prefill sample, in milliseconds per prompt token.
const MIN_PREFILL_MS_PER_TOKEN: f64 = 0.001;

/// Lower bound of the service time from which the slot turnover is calculated, in milliseconds per
/// output token or per plain call.
const MIN_SERVICE_MS: f64 = 0.1;

/// Smallest number of uncached prompt tokens with which the time to the first event is a sample of
/// the prefill speed.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 1_000;

/// Largest number of tokens to prefill, those of earlier runs included, with which the time to the
/// first event is a sample of the start-up time of an answer.
const MAX_STARTUP_SAMPLE_TOKENS: f64 = 500.0;

/// Smallest number of output tokens with which the time from the first event to the end is a sample
/// of the decoding speed.
const MIN_DECODE_SAMPLE_TOKENS: u32 = 20;

/// Time for which a prompt part is assumed to stay in an upstream's KV cache.
const CACHE_TTL: Duration = Duration::from_secs(20);

/// Largest number of cached prompt parts that are tracked for an upstream.
const MAX_CACHED_PARTS: usize = 2_000;

/// Cost of a failed request beyond its own time, in milliseconds, since it is sent again or lost.
const FAILURE_COST_MS: f64 = 2_000.0;

/// Factor on the cost of a request that crosses data centres.
const REMOTE_COST_FACTOR: f64 = 1.1;

/// Factor on the cost of an idle upstream whose latest report counts for nothing any more; it then
/// gets a request unless another one is known to be more than twice as fast.
const EXPLORATION_FACTOR: f64 = 0.5;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Hasher for the ids of prompt parts, which are digests already.
type BuildPartHasher = BuildHasherDefault<PartHasher>;

/// Spreads the bits of an id over the whole hash.
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
        self.0 = id.wrapping_mul(HASH_MULTIPLIER);
    }
}

/// Odd number whose multiples differ in their upper bits (from the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Learned speeds of an upstream, at its usual pace if it reports one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    /// Milliseconds of prefill per prompt token.
    pub prefill_ms_per_token: f64,
    /// Milliseconds from the end of prefill to the first event of the answer.
    pub startup_ms: f64,
    /// Milliseconds of decoding per output token.
    pub decode_ms_per_token: f64,
    /// Milliseconds per call of a plain service.
    pub plain_call_ms: f64,
}

impl Speed {
    /// Speeds assumed for the first upstream of a service, of which no sample exists yet.
    pub const ASSUMED: Self = Self {
        prefill_ms_per_token: 0.015,
        startup_ms: 10.0,
        decode_ms_per_token: 5.0,
        plain_call_ms: 30.0,
    };
}

/// Load of one run on its upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Prompt tokens to prefill, without those in the cache.
    pub prefill_tokens: u32,
    /// Prompt tokens of other runs that were still to be prefilled when it started.
    pub prefill_tokens_ahead: f64,
    /// Tokens of memory that the run needs.
    pub memory_tokens: u64,
    /// Whether its first event has arrived.
    pub has_output: bool,
    /// Start of the process that it runs on, in Unix milliseconds.
    pub started_at_ms: u64,
    /// What was expected of it from the reports of the upstream.
    pub forecast: RunForecast,
}

impl Run {
    /// Creates a run on an upstream that is not known yet.
    pub fn on_unknown(work: &Work) -> Self {
        Self {
            prefill_tokens: 0,
            prefill_tokens_ahead: 0.0,
            memory_tokens: work.memory_tokens(),
            has_output: false,
            started_at_ms: 0,
            forecast: RunForecast::default(),
        }
    }
}

/// State of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    /// What the upstream has announced.
    pub info: UpstreamInfo,
    /// Number of requests that run on it.
    pub running: u32,
    /// Number of these whose first event has arrived.
    pub running_with_output: u32,
    /// Prompt tokens of the runs that have no output yet.
    pub pending_prefill_tokens: u64,
    /// Time by which all prompts that were sent are expected to be prefilled.
    prefill_done_at: Duration,
    /// Tokens of memory that its runs need.
    pub memory_tokens: u64,
    /// Learned speeds.
    pub speed: Speed,
    /// Load and pace that its process reports.
    pub reported: ReportedLoad,
    /// Moving average of the fraction of failed runs, as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Duration,
    backoff_until: Duration,
    next_backoff: Duration,
    /// Whether it gets one request at a time, as it broke one run after the other and has not
    /// responded since.
    pub is_circuit_open: bool,
    /// Time of the latest run with each prompt part.
    cached_parts: HashMap<u64, Duration, BuildPartHasher>,
    /// Ids of the cached parts in the order in which they were added.
    cache_order: VecDeque<u64>,
}

impl UpstreamState {
    /// Creates the state of an upstream without samples.
    pub fn new(info: UpstreamInfo, speed: Speed) -> Self {
        Self {
            info,
            running: 0,
            running_with_output: 0,
            pending_prefill_tokens: 0,
            prefill_done_at: Duration::ZERO,
            memory_tokens: 0,
            speed,
            reported: ReportedLoad::default(),
            failure_rate: 0.0,
            failure_rate_at: Duration::ZERO,
            backoff_until: Duration::ZERO,
            next_backoff: INITIAL_BACKOFF,
            is_circuit_open: false,
            cached_parts: HashMap::default(),
            cache_order: VecDeque::new(),
        }
    }

    /// Returns whether a request that needs `memory_tokens` can be sent now. An idle upstream takes
    /// a request of any size.
    pub fn has_room(&self, now: Duration, slots: u32, memory_tokens: u64) -> bool {
        let fits =
            self.running == 0 || self.memory_tokens + memory_tokens <= self.info.memory_tokens;
        self.has_slot(now, slots) && fits
    }

    /// Returns whether fewer than `slots` requests run and the upstream is usable.
    pub fn has_slot(&self, now: Duration, slots: u32) -> bool {
        self.is_usable(now) && self.running < slots
    }

    /// Returns the fraction of its slots in use, at most 1.
    pub fn slot_use(&self) -> f64 {
        (f64::from(self.running) / f64::from(self.info.slots.max(1))).min(1.0)
    }

    /// Returns whether it is neither draining nor in a back-off.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.info.draining && now >= self.backoff_until
    }

    /// Returns the number of prompt tokens to prefill, without the leading parts that are in its
    /// cache.
    pub fn uncached_tokens(&self, now: Duration, prompt_tokens: u32, parts: &[PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.is_cached(now, part.id));
        let cached: u32 = cached.map(|part| part.tokens).sum();
        prompt_tokens.saturating_sub(cached)
    }

    fn is_cached(&self, now: Duration, id: u64) -> bool {
        self.cached_parts.get(&id).is_some_and(|at| now.saturating_sub(*at) < CACHE_TTL)
    }

    /// Returns the expected time until the first event of a request, in milliseconds.
    pub fn first_output_ms(&self, now: Duration, work: &Work) -> f64 {
        let slowdown = self.reported.slowdown(now);
        let queue_ms = self.reported.queue_ms(now, self.running, self.info.slots);
        let own_ms = match work {
            Work::Plain => self.speed.plain_call_ms * slowdown,
            Work::Generation { prompt_tokens, parts, .. } => {
                let own = self.uncached_tokens(now, *prompt_tokens, parts);
                let own_ms = f64::from(own) * self.speed.prefill_ms_per_token;
                self.backlog_ms(now) + own_ms * slowdown + self.speed.startup_ms * slowdown
            }
        };
        own_ms + queue_ms
    }

    /// Returns the expected time until all prompts that were sent are prefilled, in milliseconds.
    fn backlog_ms(&self, now: Duration) -> f64 {
        let all_ms = self.pending_prefill_tokens as f64 * self.speed.prefill_ms_per_token;
        let all_ms = all_ms * self.reported.slowdown(now);
        all_ms.min(millis(self.prefill_done_at.saturating_sub(now)))
    }

    /// Returns how often a slot becomes free here, relative to other upstreams.
    pub fn slot_turnover(&self, now: Duration, work: &Work) -> f64 {
        let service_ms = match work {
            Work::Plain => self.speed.plain_call_ms,
            Work::Generation { .. } => self.speed.decode_ms_per_token,
        };
        let service_ms = service_ms * self.reported.slowdown(now);
        f64::from(self.info.slots) / service_ms.max(MIN_SERVICE_MS)
    }

    /// Returns the expected time until the end of a request's answer, in milliseconds.
    pub fn completion_ms(&self, now: Duration, work: &Work) -> f64 {
        let first_output_ms = self.first_output_ms(now, work);
        let rest = match work {
            Work::Plain => 0.0,
            Work::Generation { output_tokens, .. } => {
                self.decode_ms(now, first_output_ms, *output_tokens)
            }
        };
        first_output_ms + rest
    }

    /// Returns the expected time from the first event, `first_output_ms` from now, to the end.
    fn decode_ms(&self, now: Duration, first_output_ms: f64, output_tokens: u32) -> f64 {
        let usual_ms = f64::from(output_tokens) * self.speed.decode_ms_per_token;
        usual_ms * self.reported.slowdown_within(now, first_output_ms, usual_ms)
    }

    /// Returns the cost of a request here, in milliseconds. The scheduler chooses the lowest.
    pub fn cost_ms(&self, now: Duration, request: &SlotRequest) -> f64 {
        let work = &request.work;
        let first_output_ms = self.first_output_ms(now, work);
        let in_progress = f64::from(self.running) + self.reported.others(now);
        let load = in_progress / f64::from(self.info.slots.max(1));
        let rest = match work {
            Work::Plain => self.speed.plain_call_ms * self.reported.slowdown(now) * load,
            Work::Generation { output_tokens, .. } => {
                self.decode_ms(now, first_output_ms, *output_tokens) * (1.0 + load / 2.0)
            }
        };
        let is_remote = self.info.data_centre != request.data_centre;
        let distance_factor = if is_remote { REMOTE_COST_FACTOR } else { 1.0 };
        (first_output_ms + rest) * distance_factor * self.exploration_factor(now)
            + self.failure_rate(now) * FAILURE_COST_MS
    }

    /// Returns the factor on the cost of an idle upstream whose latest report is old: only a
    /// response brings another one.
    fn exploration_factor(&self, now: Duration) -> f64 {
        let is_unknown = self.running == 0 && self.reported.is_outdated(now);
        if is_unknown { EXPLORATION_FACTOR } else { 1.0 }
    }

    /// Returns the failure rate, decayed to the present.
    fn failure_rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * (-elapsed / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Starts a run and counts its load.
    pub fn start_run(&mut self, now: Duration, work: &Work) -> Run {
        let mut run = Run {
            prefill_tokens: 0,
            prefill_tokens_ahead: self.backlog_ms(now)
                / (self.speed.prefill_ms_per_token * self.reported.slowdown(now)),
            memory_tokens: work.memory_tokens(),
            has_output: false,
            started_at_ms: self.info.started_at_ms,
            forecast: self.reported.forecast(now, self.running, self.info.slots),
        };
        if self.reported.is_known() {
            let expected_ms = self.first_output_ms(now, work);
            run.forecast.first_output =
                Duration::try_from_secs_f64(expected_ms / MILLIS_PER_SECOND).ok();
        }
        if let Work::Generation { prompt_tokens, parts, .. } = work {
            run.prefill_tokens = self.uncached_tokens(now, *prompt_tokens, parts);
            for part in parts {
                self.track_cached(now, part.id);
            }
            let own_ms = f64::from(run.prefill_tokens) * self.speed.prefill_ms_per_token;
            let own_ms = own_ms * self.reported.slowdown(now);
            self.prefill_done_at =
                now.max(self.prefill_done_at) + Duration::from_secs_f64(own_ms / MILLIS_PER_SECOND);
        }
        self.add_run(&run);
        self.reported.record_running(now, self.running);
        run
    }

    /// Counts the load of a run.
    pub fn add_run(&mut self, run: &Run) {
        self.running += 1;
        self.memory_tokens += run.memory_tokens;
        if run.has_output {
            self.running_with_output += 1;
        } else {
            self.pending_prefill_tokens += u64::from(run.prefill_tokens);
        }
    }

    fn track_cached(&mut self, now: Duration, id: u64) {
        if self.cached_parts.insert(id, now).is_none() {
            self.cache_order.push_back(id);
        }
        while self.cache_order.len() > MAX_CACHED_PARTS {
            if let Some(oldest) = self.cache_order.pop_front() {
                self.cached_parts.remove(&oldest);
            }
        }
    }

    /// Records that the first event of a run arrived `took` after its send, and learns from that
    /// time.
    pub fn first_output(&mut self, now: Duration, run: &mut Run, took: Duration) {
        if std::mem::replace(&mut run.has_output, true) {
            return;
        }
        self.is_circuit_open = false;
        self.running_with_output += 1;
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_sub(u64::from(run.prefill_tokens));
        let tokens = run.prefill_tokens_ahead + f64::from(run.prefill_tokens);
        let took_ms = self.learn_first_output_ms(now, run, tokens, millis(took));
        let Speed { prefill_ms_per_token, startup_ms, .. } = &mut self.speed;
        if run.prefill_tokens >= MIN_PREFILL_SAMPLE_TOKENS {
            let prefill_ms = (took_ms - *startup_ms).max(0.0);
            update_average(
                prefill_ms_per_token,
                (prefill_ms / tokens).max(MIN_PREFILL_MS_PER_TOKEN),
            );
        } else if tokens <= MAX_STARTUP_SAMPLE_TOKENS {
            update_average(startup_ms, (took_ms - tokens * *prefill_ms_per_token).max(0.0));
        }
    }

    /// Ends a run, and learns from its outcome.
    pub fn end_run(&mut self, now: Duration, run: &Run, end: End) {
        self.running = self.running.saturating_sub(1);
        self.reported.record_running(now, self.running);
        self.memory_tokens = self.memory_tokens.saturating_sub(run.memory_tokens);
        if run.has_output {
            self.running_with_output = self.running_with_output.saturating_sub(1);
        } else {
            self.pending_prefill_tokens =
                self.pending_prefill_tokens.saturating_sub(u64::from(run.prefill_tokens));
        }
        match end {
            End::Finished { took, output_tokens, decode, .. } => {
                self.next_backoff = INITIAL_BACKOFF;
                self.is_circuit_open = false;
                self.failure_rate = self.failure_rate(now) * (1.0 - FAILURE_SAMPLE_WEIGHT);
                self.failure_rate_at = now;
                if output_tokens >= MIN_DECODE_SAMPLE_TOKENS {
                    let sample = millis(decode) / f64::from(output_tokens);
                    let sample = self.learn_decode_ms(now, run, sample);
                    update_average(&mut self.speed.decode_ms_per_token, sample);
                }
                if run.memory_tokens == 0 {
                    let sample = self.learn_plain_call_ms(now, run, millis(took));
                    update_average(&mut self.speed.plain_call_ms, sample);
                }
                self.record_service_time(now, run, millis(took));
            }
            End::Failed => {
                self.is_circuit_open = false;
                self.record_failure(now);
            }
            End::Broken => {
                self.record_failure(now);
                if self.is_circuit_open {
                    self.back_off(now);
                }
            }
            End::Declined => {
                self.is_circuit_open = false;
                self.backoff_until = self.backoff_until.max(now + DECLINED_PAUSE);
            }
            End::Unreachable | End::Misdirected => self.back_off(now),
            End::Leaving => self.info.draining = true,
            End::Cancelled | End::Unused => {}
        }
    }

    fn record_failure(&mut self, now: Duration) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + (1.0 - failure_rate) * FAILURE_SAMPLE_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Sends nothing for a while, and then one request at a time until it responds, as it breaks
    /// one run after the other.
    pub fn open_circuit(&mut self, now: Duration) {
        self.is_circuit_open = true;
        self.back_off(now);
    }

    fn back_off(&mut self, now: Duration) {
        if now >= self.backoff_until {
            self.backoff_until = now + self.next_backoff;
            self.next_backoff = (self.next_backoff * 2).min(MAX_BACKOFF);
        }
    }
}

fn update_average(value: &mut f64, sample: f64) {
    *value += (sample - *value) * SPEED_SAMPLE_WEIGHT;
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * MILLIS_PER_SECOND
}
