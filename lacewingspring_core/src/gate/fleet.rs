//! Upstreams of a gate and the choice among them.

use std::{
    collections::HashMap,
    ops::{Deref, DerefMut},
    time::Duration,
};

use crate::{
    gate::{
        policy::GatePolicy,
        upstream::{Need, Room, Upstream},
        view::{Opening, View},
        work::PermitRequest,
    },
    names::UpstreamName,
    resources::UpstreamSpec,
};

/// Prefill from which work counts as long, in seconds of a typical upstream.
const LONG_PREFILL_SECONDS: f64 = 0.25;

/// Part of the upstreams that long prefills may use at once beside short or higher work.
const LONG_PREFILL_SHARE: f64 = 0.5;

/// Fill of a batch for which typical decode speed is taken.
const TYPICAL_FILL: f64 = 0.75;

/// Bound on long prefills that are in flight at once, at most one on each upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LongBound {
    /// None.
    Unbounded,
    /// One upstream is kept free of them.
    KeepOne,
    /// A share of the upstreams is kept free of them.
    KeepShare,
}

impl LongBound {
    /// Returns the upstreams that long prefills may use at once.
    fn limit(self, usable: u32) -> u32 {
        match self {
            Self::Unbounded => u32::MAX,
            Self::KeepOne => usable.saturating_sub(1).max(1),
            Self::KeepShare => ((f64::from(usable) * LONG_PREFILL_SHARE) as u32).max(1),
        }
    }
}

/// Limits of one choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Slots to leave free for the top tier.
    pub kept: u32,
    /// Bound on long prefills.
    pub long: LongBound,
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
struct Open {
    slots: u32,
    probes: u32,
}

impl Open {
    fn add(&mut self, view: &View) {
        match view.opening {
            Opening::Closed => {}
            Opening::Slots(slots) => self.slots += slots,
            Opening::Probe(_) => self.probes += 1,
        }
    }

    fn subtract(&mut self, view: &View) {
        match view.opening {
            Opening::Closed => {}
            Opening::Slots(slots) => self.slots -= slots,
            Opening::Probe(_) => self.probes -= 1,
        }
    }
}

/// Upstreams of a gate.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    upstreams: Vec<Upstream>,
    views: Vec<View>,
    open: Open,
    turned: Vec<usize>,
    numbers: HashMap<UpstreamName, usize>,
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
            fleet.numbers.insert(spec.name.clone(), fleet.upstreams.len());
            let upstream = Upstream::new(spec);
            fleet.open.add(&upstream.view());
            fleet.views.push(upstream.view());
            fleet.upstreams.push(upstream);
        }
        fleet.refresh();
        fleet
    }

    /// Returns the number of an upstream.
    pub fn number(&self, name: &UpstreamName) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the upstreams by number.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns an upstream by name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(self.number(name)?)
    }

    /// Returns an upstream by name, to be changed.
    pub fn get_mut(&mut self, name: &UpstreamName) -> Option<Change<'_>> {
        let number = self.number(name)?;
        Some(self.change(number))
    }

    /// Tells each upstream how slow the lower half of the pool is.
    fn compare_peers(&mut self) {
        let healthy = self.upstreams.iter().filter(|upstream| upstream.is_healthy());
        let mut scores: Vec<f64> = healthy.map(Upstream::own_score).collect();
        let pace = match scores.len() {
            0 | 1 => 1.0,
            len => *scores.select_nth_unstable_by((len - 1) / 2, f64::total_cmp).1,
        };
        for upstream in &mut self.upstreams {
            upstream.set_pace(pace);
        }
    }

    /// Returns an upstream by number, to be changed.
    pub fn change(&mut self, number: usize) -> Change<'_> {
        Change {
            number,
            upstream: &mut self.upstreams[number],
            view: &mut self.views[number],
            open: &mut self.open,
            turned: &mut self.turned,
        }
    }

    /// Changes every upstream.
    pub fn change_all<F>(&mut self, mut change: F)
    where
        F: FnMut(&mut Upstream),
    {
        for number in 0..self.upstreams.len() {
            change(&mut self.change(number));
        }
    }

    /// Takes the upstreams whose health changed since the last call.
    pub fn take_turned(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.turned)
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
        self.compare_peers();
        let staying = || self.upstreams.iter().filter(|upstream| !upstream.spec.leaving);
        self.declared_slots = staying().map(|upstream| upstream.spec.slots).sum();
        self.draining_slots = staying().map(Upstream::draining_slots).sum();
        let healthy = staying().filter(|upstream| upstream.is_healthy()).count();
        self.long_limit = LongBound::KeepShare.limit(healthy as u32);
        let mut slots = 0.0;
        let mut prefill = 0.0;
        let mut decode = 0.0;
        // A straggler is not typical; it counts only when there is nothing else.
        for upstream in staying().filter(|upstream| upstream.is_healthy() || healthy == 0) {
            let weight = f64::from(upstream.spec.slots.max(1));
            let batch = (f64::from(upstream.spec.slots) * TYPICAL_FILL) as u32;
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
    fn prefill_seconds(&self, ask: &PermitRequest) -> f64 {
        f64::from(ask.prefill_tokens()) * self.prefill_seconds_per_token
    }

    /// Returns the service seconds of an ask on a typical upstream.
    pub fn seconds(&self, ask: &PermitRequest) -> f64 {
        self.prefill_seconds(ask) + f64::from(ask.decode_tokens()) * self.decode_seconds_per_token
    }

    /// Returns whether the prefill of an ask is long on a typical upstream.
    pub fn is_long(&self, ask: &PermitRequest) -> bool {
        self.prefill_seconds(ask) > LONG_PREFILL_SECONDS
    }

    /// Opens or closes all upstreams for grants beyond what is known to run.
    pub fn set_room(&mut self, room: Room) {
        self.change_all(|upstream| upstream.room = room);
    }

    /// Chooses the upstream with the least expected seconds, or a probe that is due.
    pub fn choose(
        &self,
        now: Duration,
        need: &Need,
        cached: &[u32],
        limits: Limits,
        policy: GatePolicy,
    ) -> Result<Choice, Blocked> {
        if !need.long && self.open.probes == 0 {
            // Most asks under load end here, without a look at each upstream.
            if self.open.slots == 0 {
                return Err(Blocked::Slots);
            }
            if self.open.slots <= limits.kept {
                return Err(Blocked::Reserve);
            }
        }
        let mut scan = Scan::default();
        for (number, view) in self.views.iter().enumerate() {
            let cached_tokens = cached.get(number).copied().unwrap_or(0);
            scan.visit(now, Candidate { number, view, cached_tokens }, need, limits, policy);
        }
        scan.finish(need, limits)
    }
}

/// Returns the choice that ends sooner; the earlier one when they are equal.
fn sooner(earlier: Option<Choice>, later: Choice) -> Choice {
    earlier.filter(|earlier| earlier.seconds <= later.seconds).unwrap_or(later)
}

/// An upstream that is being changed; its view follows when the change ends.
pub(super) struct Change<'a> {
    number: usize,
    upstream: &'a mut Upstream,
    view: &'a mut View,
    open: &'a mut Open,
    turned: &'a mut Vec<usize>,
}

impl Deref for Change<'_> {
    type Target = Upstream;

    fn deref(&self) -> &Upstream {
        self.upstream
    }
}

impl DerefMut for Change<'_> {
    fn deref_mut(&mut self) -> &mut Upstream {
        self.upstream
    }
}

impl Drop for Change<'_> {
    fn drop(&mut self) {
        let was_healthy = self.view.is_healthy;
        self.open.subtract(self.view);
        *self.view = self.upstream.view();
        self.open.add(self.view);
        if was_healthy != self.view.is_healthy {
            self.turned.push(self.number);
        }
    }
}

/// An upstream under consideration.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    number: usize,
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
        need: &Need,
        limits: Limits,
        policy: GatePolicy,
    ) {
        let Candidate { number, view, cached_tokens } = candidate;
        let prefill = f64::from(need.prefill_tokens.saturating_sub(cached_tokens));
        let long = need.long && prefill * view.prefill_seconds > LONG_PREFILL_SECONDS;
        let has_long = need.long && view.has_long_prefill(need.rank);
        self.usable += u32::from(view.is_healthy);
        self.with_long += u32::from(has_long);
        match view.opening {
            Opening::Slots(slots) => self.free += slots,
            Opening::Probe(due) if now >= due => {}
            _ => return,
        }
        if policy.kv_accounting && !view.fits(need.kv_tokens) {
            self.short_of_memory = true;
            return;
        }
        if long && has_long && limits.long != LongBound::Unbounded {
            return;
        }
        let seconds = view.seconds(need, cached_tokens);
        let choice = Choice { upstream: number, seconds, cached_tokens, long };
        match view.opening {
            Opening::Probe(due) => {
                let at_once = limits.probe_first && !need.long;
                if at_once || Upstream::probe_is_overdue(now, due) {
                    self.probe = self.probe.or(Some(choice));
                }
                self.last_probe = self.last_probe.or(Some(choice));
            }
            _ if long => self.best_long = Some(sooner(self.best_long, choice)),
            _ => self.best = Some(sooner(self.best, choice)),
        }
    }

    fn finish(self, need: &Need, limits: Limits) -> Result<Choice, Blocked> {
        if let Some(probe) = self.probe {
            return Ok(probe);
        }
        if self.usable == 0 {
            return self.last_probe.ok_or(Blocked::Slots);
        }
        // The bound goes before the slots: parking frees a slot, which would not help.
        let over_bound = need.long && self.with_long >= limits.long.limit(self.usable);
        if over_bound && self.best.is_none() {
            return Err(Blocked::LongPrefill);
        }
        if self.free == 0 {
            return Err(Blocked::Slots);
        }
        if self.free <= limits.kept {
            return Err(Blocked::Reserve);
        }
        let long = self.best_long.filter(|_| !over_bound);
        let best = long.map(|long| sooner(self.best, long)).or(self.best);
        let other = if self.short_of_memory { Blocked::Memory } else { Blocked::LongPrefill };
        best.ok_or(other)
    }
}
