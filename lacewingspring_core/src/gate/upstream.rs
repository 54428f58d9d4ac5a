//! State of one upstream of a gate: slots, KV memory, prefills in flight, speed, and health.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    gate::{
        speed::{SLOW_SCORE, TimeRatio},
        view::{Availability, View},
        work::{LoadReport, PermitRequest, Ticket},
    },
    resources::UpstreamSpec,
};

/// Relative growth of the time between tokens from an idle to a full batch.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// Seconds that messages take: from a grant until the engine has the request, and from the first
/// token until the gate knows of it, together.
const ROUND_TRIP_SECONDS: f64 = 0.02;

/// Prompt tokens that an engine prefills between two decode steps of its batch.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// Score from which an upstream is on probation and gets single probes only.
const PROBATION_SCORE: f64 = 4.0;

/// Ratio of observed to normal seconds up to which a probe counts as fast.
const FAST_PROBE_SCORE: f64 = 1.5;

/// Consecutive fast probes after which an upstream is healthy again.
const FAST_PROBES_TO_RECOVER: u32 = 3;

/// Time between probes of an upstream on probation.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time that a due probe waits for a request below the top tier before any request may serve as the
/// probe.
const TOP_TIER_PROBE_DELAY: Duration = Duration::from_secs(4);

/// Time without grants after a single crash; each consecutive crash doubles it.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time without grants after consecutive crashes.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Age at which a load report expires.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(10);

/// Largest fraction of the KV memory that a load report can mark as taken by unknown runs.
const MAX_UNKNOWN_KV_FRACTION: f64 = 0.5;

/// Health of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    /// Takes any work.
    Healthy,
    /// Far slower than normal; takes single probes from `next` on. `fast` counts the fast probes
    /// in a row.
    Probation { next: Duration, fast: u32 },
    /// Crashed; takes one probe from `until` on.
    Down { until: Duration, backoff: Duration },
}

/// Bound on further grants that applies besides the count of the gate's own runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Headroom {
    /// No bound, since the gate counts every run of the upstream.
    Counted,
    /// No grants: a new holder does not know yet which runs exist.
    Unknown,
    /// This many grants: the free slots that the upstream reported to a new holder.
    Reported(u32),
}

/// Resources that a request needs on an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Rank of the tier.
    pub rank: u8,
    /// Number of tokens to prefill.
    pub prefill_tokens: u32,
    /// Number of output tokens still to generate.
    pub decode_tokens: u32,
    /// Number of KV tokens held at the end of the run.
    pub kv_tokens: u64,
    /// Whether the prefill is long.
    pub long: bool,
}

impl Demand {
    /// Derives the demand of a permit request.
    pub fn new(request: &PermitRequest, long: bool) -> Self {
        Self {
            rank: request.rank,
            prefill_tokens: request.prefill_tokens(),
            decode_tokens: request.decode_tokens(),
            kv_tokens: request.kv_tokens(),
            long,
        }
    }
}

/// Load that a run puts on its upstream until it ends.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunLoad {
    /// Rank of the tier.
    pub rank: u8,
    /// Number of KV tokens counted for the run.
    pub kv_tokens: u64,
    /// Seconds of its own prefill at the declared speed.
    pub prefill_seconds: f64,
    /// Seconds to the first token at the declared speed, including the prefills before it.
    pub first_token_seconds: f64,
    /// Whether the prefill is long.
    pub long: bool,
}

/// Last load report of an upstream.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Duration,
    /// Reported KV tokens beyond those of the gate's own runs.
    unknown_kv: u64,
}

/// Upstream of a gate.
#[derive(Debug)]
pub(super) struct Upstream {
    /// Declaration of the operator.
    pub spec: UpstreamSpec,
    /// Number of running requests.
    pub running: u32,
    /// Ratio of observed to declared seconds until the first token.
    pub prefill: TimeRatio,
    /// Ratio of observed to declared seconds between tokens.
    pub decode: TimeRatio,
    /// Bound on further grants.
    pub headroom: Headroom,
    /// Whether it is reserved for a request that runs alone.
    pub reserved: bool,
    /// Number of slots to use; fewer than declared while the upstream is slow.
    slot_limit: u32,
    /// Number of KV tokens in use by the gate's own runs.
    kv_used: u64,
    /// Seconds of the prefills in flight at the declared speed.
    prefill_backlog: f64,
    /// Number of long prefills in flight by rank.
    long_prefills: BTreeMap<u8, u32>,
    /// Rank of the highest tier in `long_prefills`; `u8::MAX` if it is empty.
    highest_long_rank: u8,
    health: Health,
    /// Run that serves as the probe.
    probe: Option<Ticket>,
    report: Option<Report>,
    /// Slowdown that the upstreams of the pool have in common, at least 1.
    pool_slowdown: f64,
}

impl Upstream {
    /// Creates an idle upstream.
    pub fn new(spec: UpstreamSpec) -> Self {
        Self {
            slot_limit: spec.slots,
            spec,
            running: 0,
            prefill: TimeRatio::default(),
            decode: TimeRatio::default(),
            headroom: Headroom::Counted,
            reserved: false,
            kv_used: 0,
            prefill_backlog: 0.0,
            long_prefills: BTreeMap::new(),
            highest_long_rank: u8::MAX,
            health: Health::Healthy,
            probe: None,
            report: None,
            pool_slowdown: 1.0,
        }
    }

    /// Returns the fields that the selection of an upstream reads.
    pub fn view(&self) -> View {
        let unknown_kv = self.report.map_or(0, |report| report.unknown_kv);
        View {
            availability: self.availability(),
            kv_free: self.spec.kv_tokens.saturating_sub(self.kv_used + unknown_kv),
            backlog_seconds: self.prefill_backlog * self.prefill.factor(),
            prefill_seconds: self.declared_prefill(1) * self.prefill.factor(),
            decode_seconds: self.declared_decode(self.running + 1) * self.decode.factor(),
            highest_long_rank: self.highest_long_rank,
            is_healthy: self.is_healthy(),
            is_idle: self.running == 0,
        }
    }

    fn availability(&self) -> Availability {
        let free = self.slot_limit.saturating_sub(self.running);
        let free = match self.headroom {
            Headroom::Counted => free,
            Headroom::Unknown => 0,
            Headroom::Reported(headroom) => headroom.min(free),
        };
        let probing = self.probe.is_some();
        match self.health {
            _ if self.spec.leaving || self.reserved || free == 0 => Availability::Closed,
            Health::Healthy => Availability::Slots(free),
            _ if probing => Availability::Closed,
            Health::Probation { next, .. } => Availability::Probe(next),
            Health::Down { until, .. } => Availability::Probe(until),
        }
    }

    /// Returns whether a request that runs alone may start: nothing else runs, and the upstream is
    /// healthy or due for a probe.
    pub fn can_run_alone(&self, now: Duration) -> bool {
        let due = match self.health {
            Health::Healthy => true,
            Health::Probation { next, .. } => now >= next,
            Health::Down { until, .. } => now >= until,
        };
        self.running == 0 && due && self.headroom == Headroom::Counted && !self.spec.leaving
    }

    /// Sets the number of slots to use: fewer than declared for a slow upstream, never more.
    pub fn update_slot_limit(&mut self) {
        let score = self.score();
        self.slot_limit = if score < SLOW_SCORE {
            self.spec.slots
        } else {
            ((f64::from(self.spec.slots) / score) as u32).max(1)
        };
    }

    /// Returns the number of slots that serve the queue; 0 if the upstream is not healthy.
    pub fn serving_slots(&self) -> u32 {
        if self.is_healthy() { self.slot_limit } else { 0 }
    }

    /// Returns whether the upstream takes regular work, not only probes.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy && !self.spec.leaving
    }

    /// Returns how many times slower than its own normal speed the upstream is, relative to the
    /// slowdown of the pool.
    pub fn score(&self) -> f64 {
        self.own_score() / self.pool_slowdown
    }

    /// Returns how many times slower than its own normal speed the upstream is.
    pub fn own_score(&self) -> f64 {
        self.prefill.score().max(self.decode.score())
    }

    /// Sets the slowdown that the upstreams of the pool have in common. It comes from the load or
    /// from inaccurate declarations and does not identify a straggler.
    pub fn set_pool_slowdown(&mut self, pool_slowdown: f64) {
        self.pool_slowdown = pool_slowdown.max(1.0);
    }

    /// Returns the seconds of a prefill at the declared speed.
    pub fn declared_prefill(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.spec.prefill_tokens_per_second.max(1.0)
    }

    /// Returns the seconds between tokens at the declared speed and a batch size.
    pub fn declared_decode(&self, batch: u32) -> f64 {
        let fill = f64::from(batch) / f64::from(self.spec.slots.max(1));
        self.spec.decode_ms / 1_000.0 * (1.0 + FULL_BATCH_SLOWDOWN * fill)
    }

    /// Counts a run that starts.
    pub fn start(&mut self, demand: &Demand, cached_tokens: u32) -> RunLoad {
        let tokens = demand.prefill_tokens.saturating_sub(cached_tokens);
        let prefill_seconds = self.declared_prefill(tokens);
        // Prefill chunks alternate with decode steps of the running batch.
        let steps = f64::from(tokens / PREFILL_CHUNK_TOKENS + 1);
        let step_seconds = self.declared_decode(self.running) * steps;
        self.running += 1;
        if let Headroom::Reported(headroom) = &mut self.headroom {
            *headroom = headroom.saturating_sub(1);
        }
        let kv_tokens = demand.kv_tokens.min(self.spec.kv_tokens);
        self.kv_used += kv_tokens;
        self.prefill_backlog += prefill_seconds;
        if demand.long {
            *self.long_prefills.entry(demand.rank).or_default() += 1;
            self.highest_long_rank = self.highest_long_rank.min(demand.rank);
        }
        RunLoad {
            rank: demand.rank,
            kv_tokens,
            prefill_seconds,
            first_token_seconds: self.prefill_backlog + step_seconds + ROUND_TRIP_SECONDS,
            long: demand.long,
        }
    }

    /// Counts a run that an earlier holder started. It is not known whether its prefill is still in
    /// flight, so none is counted.
    pub fn adopt(&mut self, demand: &Demand) -> RunLoad {
        self.running += 1;
        let kv_tokens = demand.kv_tokens.min(self.spec.kv_tokens);
        self.kv_used += kv_tokens;
        RunLoad {
            rank: demand.rank,
            kv_tokens,
            prefill_seconds: 0.0,
            first_token_seconds: 0.0,
            long: false,
        }
    }

    /// Counts a run again after a change of the declared upstreams.
    pub fn carry_over(&mut self, load: &RunLoad, in_prefill: bool) {
        self.running += 1;
        self.kv_used += load.kv_tokens;
        if in_prefill {
            self.prefill_backlog += load.prefill_seconds;
            if load.long {
                *self.long_prefills.entry(load.rank).or_default() += 1;
                self.highest_long_rank = self.highest_long_rank.min(load.rank);
            }
        }
    }

    /// Copies the learned state after a change of the declared upstreams.
    pub fn learn_from(&mut self, earlier: &Self) {
        self.prefill = earlier.prefill;
        self.decode = earlier.decode;
        self.health = earlier.health;
        self.probe = earlier.probe;
        self.report = earlier.report;
        self.pool_slowdown = earlier.pool_slowdown;
        self.headroom = earlier.headroom;
        self.reserved = earlier.reserved;
        if earlier.slot_limit < earlier.spec.slots {
            self.update_slot_limit();
        }
    }

    /// Removes the prefill of a run from the prefills in flight.
    pub fn end_prefill(&mut self, load: &RunLoad) {
        self.prefill_backlog = (self.prefill_backlog - load.prefill_seconds).max(0.0);
        if !load.long {
            return;
        }
        if let Some(count) = self.long_prefills.get_mut(&load.rank) {
            *count -= 1;
            if *count == 0 {
                self.long_prefills.remove(&load.rank);
            }
        }
        self.highest_long_rank = self.long_prefills.keys().next().copied().unwrap_or(u8::MAX);
    }

    /// Removes a run from the counts.
    pub fn end(&mut self, load: &RunLoad) {
        self.running = self.running.saturating_sub(1);
        self.kv_used = self.kv_used.saturating_sub(load.kv_tokens);
        if let Headroom::Reported(headroom) = &mut self.headroom {
            *headroom = headroom.saturating_add(1);
        }
        if self.running == 0 {
            self.prefill_backlog = 0.0;
        }
    }

    /// Marks a run as the probe, unless the upstream is healthy.
    pub fn start_probe(&mut self, ticket: Ticket) {
        if self.health != Health::Healthy {
            self.probe = Some(ticket);
        }
    }

    /// Updates the slot limit and the health after a sample.
    pub fn update_health(&mut self, now: Duration) {
        self.update_slot_limit();
        if self.is_healthy() && self.score() >= PROBATION_SCORE {
            self.health = Health::Probation { next: now + PROBE_INTERVAL, fast: 0 };
        }
    }

    /// Updates the health by the result of a probe.
    pub fn finish_probe(&mut self, now: Duration, ticket: Ticket, is_fast: bool) {
        if self.probe != Some(ticket) {
            return;
        }
        self.probe = None;
        let next = now + PROBE_INTERVAL;
        self.health = match self.health {
            Health::Probation { fast, .. } if is_fast && fast + 1 >= FAST_PROBES_TO_RECOVER => {
                self.prefill.reset();
                self.decode.reset();
                self.update_slot_limit();
                Health::Healthy
            }
            Health::Probation { fast, .. } if is_fast => Health::Probation { next, fast: fast + 1 },
            Health::Probation { .. } => Health::Probation { next, fast: 0 },
            Health::Down { .. } if self.score() >= PROBATION_SCORE => {
                Health::Probation { next, fast: 0 }
            }
            Health::Down { .. } | Health::Healthy => Health::Healthy,
        };
    }

    /// Returns whether a run took about the normal time, given its declared prefill and decode
    /// seconds.
    pub fn is_fast(&self, observed: f64, prefill: f64, decode: f64) -> bool {
        let normal = prefill * self.prefill.normal() + decode * self.decode.normal();
        observed <= normal * FAST_PROBE_SCORE
    }

    /// Returns whether the upstream crashed and has passed no probe since.
    pub fn is_down(&self) -> bool {
        matches!(self.health, Health::Down { .. })
    }

    /// Handles the failure of a run if it is the probe; after a crash, this extends the backoff.
    pub fn fail_probe(&mut self, now: Duration, ticket: Ticket) {
        if self.probe != Some(ticket) {
            return;
        }
        if self.is_down() {
            self.mark_down(now);
        } else {
            self.finish_probe(now, ticket, false);
        }
    }

    /// Drops a probe that ended without a result, so that another can be sent.
    pub fn cancel_probe(&mut self, now: Duration, ticket: Ticket) {
        if self.probe != Some(ticket) {
            return;
        }
        self.probe = None;
        if let Health::Probation { next, .. } = &mut self.health {
            *next = now + PROBE_INTERVAL;
        }
    }

    /// Stops grants after a crash; each consecutive crash doubles the backoff, up to
    /// [`MAX_BACKOFF`].
    pub fn mark_down(&mut self, now: Duration) {
        self.probe = None;
        let backoff = match self.health {
            Health::Down { until, backoff } if now < until => backoff,
            Health::Down { backoff, .. } => (backoff * 2).min(MAX_BACKOFF),
            _ => MIN_BACKOFF,
        };
        self.health = Health::Down { until: now + backoff, backoff };
    }

    /// Returns whether a request of the top tier may serve as the probe that is due since `due`.
    pub fn probe_is_overdue(now: Duration, due: Duration) -> bool {
        now >= due + TOP_TIER_PROBE_DELAY
    }

    /// Applies a load report. It corrects the count of KV memory, and sets the headroom while a new
    /// holder learns the open permits. The gate's own count of runs is exact and stays.
    pub fn report(&mut self, now: Duration, report: LoadReport) {
        let unknown = report.kv_tokens_used.saturating_sub(self.kv_used);
        let most = (self.spec.kv_tokens as f64 * MAX_UNKNOWN_KV_FRACTION) as u64;
        let unknown_kv = if report.running > self.running { unknown.min(most) } else { 0 };
        self.report = Some(Report { at: now, unknown_kv });
        if self.headroom == Headroom::Unknown {
            let busy = report.running.saturating_add(report.queued);
            self.headroom = Headroom::Reported(self.spec.slots.saturating_sub(busy));
        }
    }

    /// Moves the learned speed of an idle upstream back towards normal.
    pub fn decay_to_normal(&mut self, seconds: f64) {
        self.prefill.decay_to_normal(seconds);
        self.decode.decay_to_normal(seconds);
    }

    /// Drops the load report once it is older than [`LOAD_REPORT_TTL`].
    pub fn expire_report(&mut self, now: Duration) {
        self.report = self.report.filter(|report| now < report.at + LOAD_REPORT_TTL);
    }

    /// Returns the number of long prefills in flight.
    pub fn long_prefills(&self) -> u32 {
        self.long_prefills.values().sum()
    }

    /// Returns the number of KV tokens in use by the gate's own runs.
    pub fn kv_used(&self) -> u64 {
        self.kv_used
    }
}
