//! Upstreams of a gate and the selection among them.
//!
//! The fleet of a gate is its upstreams; elsewhere in this crate, a fleet is all instances.

use std::{
    collections::HashMap,
    ops::{Deref, DerefMut},
    time::Duration,
};

use crate::{
    gate::{
        policy::GatePolicy,
        upstream::{Demand, Headroom, Upstream},
        view::{Availability, View},
        work::PermitRequest,
    },
    names::UpstreamName,
    resources::UpstreamSpec,
};

/// Expected prefill seconds, on a typical upstream or on the one considered, above which a prefill
/// counts as long.
const LONG_PREFILL_SECONDS: f64 = 0.25;

/// Fraction of the healthy upstreams that may run long prefills at once while short or higher-tier
/// requests are present.
const LONG_PREFILL_FRACTION: f64 = 0.5;

/// Fraction of a full batch at which the typical decode speed is calculated.
const TYPICAL_BATCH_FILL: f64 = 0.75;

/// Limit on the number of upstreams with a long prefill in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LongPrefillLimit {
    /// No limit.
    Unlimited,
    /// Keeps one upstream free of long prefills.
    AllButOne,
    /// Keeps a fraction of the upstreams free of long prefills; see [`LONG_PREFILL_FRACTION`].
    Fraction,
}

impl LongPrefillLimit {
    /// Returns how many of the usable upstreams may run long prefills at once.
    fn max_upstreams(self, usable: u32) -> u32 {
        match self {
            Self::Unlimited => u32::MAX,
            Self::AllButOne => usable.saturating_sub(1).max(1),
            Self::Fraction => ((f64::from(usable) * LONG_PREFILL_FRACTION) as u32).max(1),
        }
    }
}

/// Limits on the selection of an upstream for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceLimits {
    /// Number of slots to leave free for higher tiers.
    pub keep_free: u32,
    /// Limit on long prefills.
    pub long: LongPrefillLimit,
    /// Whether the request may serve as a probe as soon as one is due.
    pub probe_at_once: bool,
}

/// Selected upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// Index of the upstream.
    pub upstream: usize,
    /// Expected seconds until the last token.
    pub seconds: f64,
    /// Number of prompt tokens in its prefix cache.
    pub cached_tokens: u32,
    /// Whether the prefill of the uncached tokens is long on this upstream.
    pub long: bool,
}

/// Reason why no upstream can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// No slot is free.
    Slots,
    /// The free slots are reserved for higher tiers.
    Reserve,
    /// No upstream with a free slot has enough KV memory.
    Memory,
    /// The limit on long prefills is reached.
    LongPrefill,
}

/// Free slots of all upstreams together, and the number of upstreams that take probes only.
#[derive(Debug, Default)]
struct Capacity {
    slots: u32,
    probes: u32,
}

impl Capacity {
    fn add(&mut self, view: &View) {
        match view.availability {
            Availability::Closed => {}
            Availability::Slots(slots) => self.slots += slots,
            Availability::Probe(_) => self.probes += 1,
        }
    }

    fn subtract(&mut self, view: &View) {
        match view.availability {
            Availability::Closed => {}
            Availability::Slots(slots) => self.slots -= slots,
            Availability::Probe(_) => self.probes -= 1,
        }
    }
}

/// Upstreams of a gate with the totals over them.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    upstreams: Vec<Upstream>,
    views: Vec<View>,
    capacity: Capacity,
    health_changes: Vec<usize>,
    indices: HashMap<UpstreamName, usize>,
    declared_slots: u32,
    serving_slots: u32,
    long_limit: u32,
    prefill_seconds_per_token: f64,
    decode_seconds_per_token: f64,
}

impl Fleet {
    /// Creates idle upstreams from their declarations.
    pub fn new<I>(specs: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut fleet = Self::default();
        for spec in specs {
            fleet.indices.insert(spec.name.clone(), fleet.upstreams.len());
            let upstream = Upstream::new(spec);
            fleet.capacity.add(&upstream.view());
            fleet.views.push(upstream.view());
            fleet.upstreams.push(upstream);
        }
        fleet.refresh();
        fleet
    }

    /// Returns the index of an upstream.
    pub fn index_of(&self, name: &UpstreamName) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns all upstreams in the order of their indices.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns an upstream by name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(self.index_of(name)?)
    }

    /// Returns an upstream by name for a change.
    pub fn get_mut(&mut self, name: &UpstreamName) -> Option<UpstreamMut<'_>> {
        let index = self.index_of(name)?;
        Some(self.upstream_mut(index))
    }

    /// Sets the common slowdown of the pool: the lower median over its healthy upstreams.
    fn update_pool_slowdown(&mut self) {
        let healthy = self.upstreams.iter().filter(|upstream| upstream.is_healthy());
        let mut scores: Vec<f64> = healthy.map(Upstream::own_score).collect();
        let pool_slowdown = match scores.len() {
            0 | 1 => 1.0,
            len => *scores.select_nth_unstable_by((len - 1) / 2, f64::total_cmp).1,
        };
        for upstream in &mut self.upstreams {
            upstream.set_pool_slowdown(pool_slowdown);
        }
    }

    /// Returns an upstream by index for a change.
    pub fn upstream_mut(&mut self, index: usize) -> UpstreamMut<'_> {
        UpstreamMut {
            index,
            upstream: &mut self.upstreams[index],
            view: &mut self.views[index],
            capacity: &mut self.capacity,
            health_changes: &mut self.health_changes,
        }
    }

    /// Calls `change` for every upstream.
    pub fn for_each_mut<F>(&mut self, mut change: F)
    where
        F: FnMut(&mut Upstream),
    {
        for index in 0..self.upstreams.len() {
            change(&mut self.upstream_mut(index));
        }
    }

    /// Returns the indices of the upstreams whose health changed since the last call.
    pub fn take_health_changes(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.health_changes)
    }

    /// Returns the number of declared slots of the upstreams that are not leaving.
    pub fn declared_slots(&self) -> u32 {
        self.declared_slots
    }

    /// Returns how many long prefills can start at once beside short requests.
    pub fn long_limit(&self) -> u32 {
        self.long_limit
    }

    /// Returns the number of slots that serve the queue now.
    pub fn serving_slots(&self) -> u32 {
        self.serving_slots
    }

    /// Recalculates the totals after a change of declaration, health, or speed.
    pub fn refresh(&mut self) {
        self.update_pool_slowdown();
        let staying = || self.upstreams.iter().filter(|upstream| !upstream.spec.leaving);
        self.declared_slots = staying().map(|upstream| upstream.spec.slots).sum();
        self.serving_slots = staying().map(Upstream::serving_slots).sum();
        let healthy = staying().filter(|upstream| upstream.is_healthy()).count();
        self.long_limit = LongPrefillLimit::Fraction.max_upstreams(healthy as u32);
        let mut slots = 0.0;
        let mut prefill = 0.0;
        let mut decode = 0.0;
        // A straggler is not typical; it counts only if no upstream is healthy.
        for upstream in staying().filter(|upstream| upstream.is_healthy() || healthy == 0) {
            let weight = f64::from(upstream.spec.slots.max(1));
            let batch = (f64::from(upstream.spec.slots) * TYPICAL_BATCH_FILL) as u32;
            slots += weight;
            prefill += weight * upstream.declared_prefill(1) * upstream.prefill.factor();
            decode += weight * upstream.declared_decode(batch) * upstream.decode.factor();
        }
        if slots > 0.0 {
            self.prefill_seconds_per_token = prefill / slots;
            self.decode_seconds_per_token = decode / slots;
        }
    }

    /// Returns the expected prefill seconds of a request on a typical upstream.
    fn prefill_seconds(&self, request: &PermitRequest) -> f64 {
        f64::from(request.prefill_tokens()) * self.prefill_seconds_per_token
    }

    /// Returns the expected service seconds of a request on a typical upstream.
    pub fn seconds(&self, request: &PermitRequest) -> f64 {
        self.prefill_seconds(request)
            + f64::from(request.decode_tokens()) * self.decode_seconds_per_token
    }

    /// Returns whether the prefill of a request is long on a typical upstream.
    pub fn is_long(&self, request: &PermitRequest) -> bool {
        self.prefill_seconds(request) > LONG_PREFILL_SECONDS
    }

    /// Sets the bound on further grants for all upstreams.
    pub fn set_headroom(&mut self, headroom: Headroom) {
        self.for_each_mut(|upstream| upstream.headroom = headroom);
    }

    /// Selects the upstream with the fewest expected seconds, or one that is due for a probe.
    pub fn choose(
        &self,
        now: Duration,
        demand: &Demand,
        cached: &[u32],
        limits: ChoiceLimits,
        policy: GatePolicy,
    ) -> Result<Choice, Blocked> {
        if !demand.long && self.capacity.probes == 0 {
            // Fast path: most requests under load end here, without a scan of the upstreams.
            if self.capacity.slots == 0 {
                return Err(Blocked::Slots);
            }
            if self.capacity.slots <= limits.keep_free {
                return Err(Blocked::Reserve);
            }
        }
        let mut scan = Scan::default();
        for (index, view) in self.views.iter().enumerate() {
            let cached_tokens = cached.get(index).copied().unwrap_or(0);
            scan.visit(now, Candidate { index, view, cached_tokens }, demand, limits, policy);
        }
        scan.finish(demand, limits)
    }
}

/// Returns the choice with fewer expected seconds, or the earlier one if they are equal.
fn faster(earlier: Option<Choice>, later: Choice) -> Choice {
    earlier.filter(|earlier| earlier.seconds <= later.seconds).unwrap_or(later)
}

/// Guard of an upstream that is being changed; updates its view and the totals on drop.
pub(super) struct UpstreamMut<'a> {
    index: usize,
    upstream: &'a mut Upstream,
    view: &'a mut View,
    capacity: &'a mut Capacity,
    health_changes: &'a mut Vec<usize>,
}

impl Deref for UpstreamMut<'_> {
    type Target = Upstream;

    fn deref(&self) -> &Upstream {
        self.upstream
    }
}

impl DerefMut for UpstreamMut<'_> {
    fn deref_mut(&mut self) -> &mut Upstream {
        self.upstream
    }
}

impl Drop for UpstreamMut<'_> {
    fn drop(&mut self) {
        let was_healthy = self.view.is_healthy;
        self.capacity.subtract(self.view);
        *self.view = self.upstream.view();
        self.capacity.add(self.view);
        if was_healthy != self.view.is_healthy {
            self.health_changes.push(self.index);
        }
    }
}

/// Upstream that a scan visits.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    index: usize,
    view: &'a View,
    cached_tokens: u32,
}

/// State of one scan over the upstreams.
#[derive(Default)]
struct Scan {
    free_slots: u32,
    healthy: u32,
    upstreams_with_long: u32,
    best: Option<Choice>,
    best_long: Option<Choice>,
    probe: Option<Choice>,
    fallback_probe: Option<Choice>,
    short_of_memory: bool,
}

impl Scan {
    fn visit(
        &mut self,
        now: Duration,
        candidate: Candidate<'_>,
        demand: &Demand,
        limits: ChoiceLimits,
        policy: GatePolicy,
    ) {
        let Candidate { index, view, cached_tokens } = candidate;
        let prefill = f64::from(demand.prefill_tokens.saturating_sub(cached_tokens));
        let long = demand.long && prefill * view.prefill_seconds > LONG_PREFILL_SECONDS;
        let has_long = demand.long && view.has_long_prefill(demand.rank);
        self.healthy += u32::from(view.is_healthy);
        self.upstreams_with_long += u32::from(has_long);
        match view.availability {
            Availability::Slots(slots) => self.free_slots += slots,
            Availability::Probe(due) if now >= due => {}
            _ => return,
        }
        if policy.kv_accounting && !view.fits(demand.kv_tokens) {
            self.short_of_memory = true;
            return;
        }
        if long && has_long && limits.long != LongPrefillLimit::Unlimited {
            return;
        }
        let seconds = view.seconds(demand, cached_tokens);
        let choice = Choice { upstream: index, seconds, cached_tokens, long };
        match view.availability {
            Availability::Probe(due) => {
                let at_once = limits.probe_at_once && !demand.long;
                if at_once || Upstream::probe_is_overdue(now, due) {
                    self.probe = self.probe.or(Some(choice));
                }
                self.fallback_probe = self.fallback_probe.or(Some(choice));
            }
            _ if long => self.best_long = Some(faster(self.best_long, choice)),
            _ => self.best = Some(faster(self.best, choice)),
        }
    }

    fn finish(self, demand: &Demand, limits: ChoiceLimits) -> Result<Choice, Blocked> {
        if let Some(probe) = self.probe {
            return Ok(probe);
        }
        if self.healthy == 0 {
            return self.fallback_probe.ok_or(Blocked::Slots);
        }
        // Checked before the slots: the caller parks a run if slots are short, which would not
        // help.
        let over_limit =
            demand.long && self.upstreams_with_long >= limits.long.max_upstreams(self.healthy);
        if over_limit && self.best.is_none() {
            return Err(Blocked::LongPrefill);
        }
        if self.free_slots == 0 {
            return Err(Blocked::Slots);
        }
        if self.free_slots <= limits.keep_free {
            return Err(Blocked::Reserve);
        }
        let long = self.best_long.filter(|_| !over_limit);
        let best = long.map(|long| faster(self.best, long)).or(self.best);
        let other = if self.short_of_memory { Blocked::Memory } else { Blocked::LongPrefill };
        best.ok_or(other)
    }
}
