//! Upstreams of a gate and the choice among them.

use std::{collections::HashMap, time::Duration};

use crate::{
    gate::{
        policy::GatePolicy,
        upstream::{Need, Opening, Room, Upstream},
        work::Ask,
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

/// Limits of one choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Slots to leave free for the top tier.
    pub kept: u32,
    /// Whether long prefills are bounded.
    pub bound_long: bool,
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

/// Upstreams of a gate.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// The upstreams by number.
    pub upstreams: Vec<Upstream>,
    numbers: HashMap<UpstreamName, usize>,
    declared_slots: u32,
    draining_slots: u32,
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
            fleet.upstreams.push(Upstream::new(spec));
        }
        fleet.refresh();
        fleet
    }

    /// Returns the number of an upstream.
    pub fn number(&self, name: &UpstreamName) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns an upstream by name.
    pub fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut Upstream> {
        let number = self.number(name)?;
        self.upstreams.get_mut(number)
    }

    /// Returns an upstream by name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(self.number(name)?)
    }

    /// Returns the slots of the upstreams that are not leaving.
    pub fn declared_slots(&self) -> u32 {
        self.declared_slots
    }

    /// Returns the slots that drain the queue now.
    pub fn draining_slots(&self) -> u32 {
        self.draining_slots
    }

    /// Works out the sums again after a change of declaration, health or speed.
    pub fn refresh(&mut self) {
        let staying = || self.upstreams.iter().filter(|upstream| !upstream.spec.leaving);
        self.declared_slots = staying().map(|upstream| upstream.spec.slots).sum();
        self.draining_slots = staying().map(Upstream::draining_slots).sum();
        let mut slots = 0.0;
        let mut prefill = 0.0;
        let mut decode = 0.0;
        for upstream in staying() {
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
    fn prefill_seconds(&self, ask: &Ask) -> f64 {
        f64::from(ask.prefill_tokens()) * self.prefill_seconds_per_token
    }

    /// Returns the service seconds of an ask on a typical upstream.
    pub fn seconds(&self, ask: &Ask) -> f64 {
        self.prefill_seconds(ask) + f64::from(ask.decode_tokens()) * self.decode_seconds_per_token
    }

    /// Returns whether the prefill of an ask is long on a typical upstream.
    pub fn is_long(&self, ask: &Ask) -> bool {
        self.prefill_seconds(ask) > LONG_PREFILL_SECONDS
    }

    /// Opens or closes all upstreams for grants beyond what is known to run.
    pub fn set_room(&mut self, room: Room) {
        for upstream in &mut self.upstreams {
            upstream.room = room;
        }
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
        let mut scan = Scan::default();
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let cached_tokens = cached.get(number).copied().unwrap_or(0).min(need.prefill_tokens);
            scan.visit(now, Candidate { number, upstream, cached_tokens }, need, limits, policy);
        }
        scan.finish(need, limits)
    }
}

/// An upstream under consideration.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    number: usize,
    upstream: &'a Upstream,
    cached_tokens: u32,
}

/// State of one pass over the upstreams.
#[derive(Default)]
struct Scan {
    free: u32,
    usable: u32,
    with_long: u32,
    best: Option<Choice>,
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
        let Candidate { number, upstream, cached_tokens } = candidate;
        let has_long = need.long && upstream.has_long_prefill(need.rank);
        self.usable += u32::from(upstream.is_healthy());
        self.with_long += u32::from(has_long);
        let opening = upstream.opening(now);
        if let Opening::Slots(slots) = opening {
            self.free += slots;
        }
        if opening == Opening::Closed {
            return;
        }
        if policy.kv_count && !upstream.fits(now, need.kv_tokens) {
            self.short_of_memory = true;
            return;
        }
        if has_long && limits.bound_long {
            return;
        }
        let seconds = upstream.seconds(need, cached_tokens);
        let choice = Choice { upstream: number, seconds, cached_tokens };
        match opening {
            Opening::Probe(due) => {
                let at_once = limits.probe_first || Upstream::probe_is_overdue(now, due);
                if at_once && !need.long {
                    self.probe = self.probe.or(Some(choice));
                }
                self.last_probe = self.last_probe.or(Some(choice));
            }
            _ if self.best.is_none_or(|best| seconds < best.seconds) => self.best = Some(choice),
            _ => {}
        }
    }

    fn finish(self, need: &Need, limits: Limits) -> Result<Choice, Blocked> {
        if let Some(probe) = self.probe {
            return Ok(probe);
        }
        if self.usable == 0 {
            return self.last_probe.ok_or(Blocked::Slots);
        }
        if self.free == 0 {
            return Err(Blocked::Slots);
        }
        if self.free <= limits.kept {
            return Err(Blocked::Reserve);
        }
        let most = (f64::from(self.usable) * LONG_PREFILL_SHARE).max(1.0);
        if need.long && limits.bound_long && f64::from(self.with_long + 1) > most {
            return Err(Blocked::LongPrefill);
        }
        let other = if self.short_of_memory { Blocked::Memory } else { Blocked::LongPrefill };
        self.best.ok_or(other)
    }
}
