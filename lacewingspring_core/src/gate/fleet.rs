//! Upstreams of a gate and the choice among them.

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

/// Prefill from which work counts as long, in seconds of a typical upstream.
const LONG_PREFILL_SECONDS: f64 = 0.25;

/// Part of the upstreams that long prefills may use at once beside short or higher work.
const LONG_PREFILL_FRACTION: f64 = 0.5;

/// Fill of a batch for which typical decode speed is taken.
const TYPICAL_BATCH_FILL: f64 = 0.75;

/// Bound on long prefills that are in flight at once, at most one on each upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LongPrefillLimit {
    /// None.
    Unlimited,
    /// One upstream is kept free of them.
    AllButOne,
    /// A share of the upstreams is kept free of them.
    Share,
}

impl LongPrefillLimit {
    /// Returns the upstreams that long prefills may use at once.
    fn max_upstreams(self, usable: u32) -> u32 {
        match self {
            Self::Unlimited => u32::MAX,
            Self::AllButOne => usable.saturating_sub(1).max(1),
            Self::Share => ((f64::from(usable) * LONG_PREFILL_FRACTION) as u32).max(1),
        }
    }
}

/// Limits of one choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceLimits {
    /// Slots to leave free for the top tier.
    pub keep_free: u32,
    /// Bound on long prefills.
    pub long: LongPrefillLimit,
    /// Whether the request may serve as a probe at once.
    pub probe_first: bool,
}

/// The upstream that was chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// Number of the upstream.
    pub upstream: usize,
    /// Expected seconds until the last token.
    pub seconds: f64,
    /// Prompt tokens cached there.
    pub cached_tokens: u32,
    /// Whether the prefill is long there, less what is cached.
    pub long: bool,
}

/// Why no upstream takes a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// No slot is free.
    Slots,
    /// The free slots are kept for the top tier.
    Reserve,
    /// No upstream with a free slot has the KV memory.
    Memory,
    /// Enough long prefills are in flight.
    LongPrefill,
}

/// What all upstreams together can take.
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

/// Upstreams of a gate.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    upstreams: Vec<Upstream>,
    views: Vec<View>,
    capacity: Capacity,
    health_changes: Vec<usize>,
    indices: HashMap<UpstreamName, usize>,
    declared_slots: u32,
    draining_slots: u32,
    long_limit: u32,
    prefill_seconds_per_token: f64,
    decode_seconds_per_token: f64,
}

impl Fleet {
    /// Creates the upstreams of a pool.
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

    /// Returns the number of an upstream.
    pub fn index_of(&self, name: &UpstreamName) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns the upstreams by number.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns an upstream by name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(self.index_of(name)?)
    }

    /// Returns an upstream by name, to be changed.
    pub fn get_mut(&mut self, name: &UpstreamName) -> Option<UpstreamMut<'_>> {
        let index = self.index_of(name)?;
        Some(self.upstream_mut(index))
    }

    /// Tells each upstream how slow the lower half of the pool is.
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

    /// Returns an upstream by number, to be changed.
    pub fn upstream_mut(&mut self, index: usize) -> UpstreamMut<'_> {
        UpstreamMut {
            index,
            upstream: &mut self.upstreams[index],
            view: &mut self.views[index],
            capacity: &mut self.capacity,
            health_changes: &mut self.health_changes,
        }
    }

    /// Changes every upstream.
    pub fn for_each_mut<F>(&mut self, mut change: F)
    where
        F: FnMut(&mut Upstream),
    {
        for index in 0..self.upstreams.len() {
            change(&mut self.upstream_mut(index));
        }
    }

    /// Takes the upstreams whose health changed since the last call.
    pub fn take_health_changes(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.health_changes)
    }

    /// Returns the slots of the upstreams that are not leaving.
    pub fn declared_slots(&self) -> u32 {
        self.declared_slots
    }

    /// Returns the long prefills that can start at once beside short work.
    pub fn long_limit(&self) -> u32 {
        self.long_limit
    }

    /// Returns the slots that drain the queue now.
    pub fn draining_slots(&self) -> u32 {
        self.draining_slots
    }

    /// Works out the sums again after a change of declaration, health or speed.
    pub fn refresh(&mut self) {
        self.update_pool_slowdown();
        let staying = || self.upstreams.iter().filter(|upstream| !upstream.spec.leaving);
        self.declared_slots = staying().map(|upstream| upstream.spec.slots).sum();
        self.draining_slots = staying().map(Upstream::draining_slots).sum();
        let healthy = staying().filter(|upstream| upstream.is_healthy()).count();
        self.long_limit = LongPrefillLimit::Share.max_upstreams(healthy as u32);
        let mut slots = 0.0;
        let mut prefill = 0.0;
        let mut decode = 0.0;
        // A straggler is not typical; it counts only when there is nothing else.
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

    /// Returns the prefill seconds of an ask on a typical upstream.
    fn prefill_seconds(&self, request: &PermitRequest) -> f64 {
        f64::from(request.prefill_tokens()) * self.prefill_seconds_per_token
    }

    /// Returns the service seconds of an ask on a typical upstream.
    pub fn seconds(&self, request: &PermitRequest) -> f64 {
        self.prefill_seconds(request)
            + f64::from(request.decode_tokens()) * self.decode_seconds_per_token
    }

    /// Returns whether the prefill of an ask is long on a typical upstream.
    pub fn is_long(&self, request: &PermitRequest) -> bool {
        self.prefill_seconds(request) > LONG_PREFILL_SECONDS
    }

    /// Opens or closes all upstreams for grants beyond what is known to run.
    pub fn set_headroom(&mut self, headroom: Headroom) {
        self.for_each_mut(|upstream| upstream.headroom = headroom);
    }

    /// Chooses the upstream with the least expected seconds, or a probe that is due.
    pub fn choose(
        &self,
        now: Duration,
        demand: &Demand,
        cached: &[u32],
        limits: ChoiceLimits,
        policy: GatePolicy,
    ) -> Result<Choice, Blocked> {
        if !demand.long && self.capacity.probes == 0 {
            // Most asks under load end here, without a look at each upstream.
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

/// Returns the choice that ends sooner; the earlier one when they are equal.
fn faster(earlier: Option<Choice>, later: Choice) -> Choice {
    earlier.filter(|earlier| earlier.seconds <= later.seconds).unwrap_or(later)
}

/// An upstream that is being changed; its view follows when the change ends.
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

/// An upstream under consideration.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    index: usize,
    view: &'a View,
    cached_tokens: u32,
}

/// State of one pass over the upstreams.
#[derive(Default)]
struct Scan {
    free: u32,
    usable: u32,
    with_long: u32,
    best: Option<Choice>,
    best_long: Option<Choice>,
    probe: Option<Choice>,
    last_probe: Option<Choice>,
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
        self.usable += u32::from(view.is_healthy);
        self.with_long += u32::from(has_long);
        match view.availability {
            Availability::Slots(slots) => self.free += slots,
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
                let at_once = limits.probe_first && !demand.long;
                if at_once || Upstream::probe_is_overdue(now, due) {
                    self.probe = self.probe.or(Some(choice));
                }
                self.last_probe = self.last_probe.or(Some(choice));
            }
            _ if long => self.best_long = Some(faster(self.best_long, choice)),
            _ => self.best = Some(faster(self.best, choice)),
        }
    }

    fn finish(self, demand: &Demand, limits: ChoiceLimits) -> Result<Choice, Blocked> {
        if let Some(probe) = self.probe {
            return Ok(probe);
        }
        if self.usable == 0 {
            return self.last_probe.ok_or(Blocked::Slots);
        }
        // The bound goes before the slots: parking frees a slot, which would not help.
        let over_bound = demand.long && self.with_long >= limits.long.max_upstreams(self.usable);
        if over_bound && self.best.is_none() {
            return Err(Blocked::LongPrefill);
        }
        if self.free == 0 {
            return Err(Blocked::Slots);
        }
        if self.free <= limits.keep_free {
            return Err(Blocked::Reserve);
        }
        let long = self.best_long.filter(|_| !over_bound);
        let best = long.map(|long| faster(self.best, long)).or(self.best);
        let other = if self.short_of_memory { Blocked::Memory } else { Blocked::LongPrefill };
        best.ok_or(other)
    }
}
