//! Gate of one engine pool in one data centre.
//!
//! The gate knows exactly what runs on each upstream of its pool and holds the queue before them,
//! because upstreams know no tiers. It grants permits, evicts waiting work, and parks running work
//! of lower tiers when a higher tier would otherwise wait.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use self::{
    affinity::Affinity,
    fleet::{Blocked, Choice, Fleet, Limits, LongBound},
    parking::{ParkIndex, ParkKey},
    placed::Placed,
    queue::{Head, Place, Queue, Waiting},
    recovery::Recovery,
    reserve::Reserve,
    retry_after::RetryLedger,
    run::Run,
    upstream::{Load, Need, Room},
};
pub use self::{
    policy::GatePolicy,
    summary::{GateSummary, TierSummary, UpstreamSummary},
    work::{
        CacheChange, CacheEvent, Cost, Decision, LoadReport, Outcome, PermitRequest, Placement,
        Prefix, Resume, Ticket,
    },
};
use crate::{names::UpstreamName, resources::UpstreamSpec};

mod affinity;
mod feedback;
mod fleet;
mod memory;
mod parking;
mod placed;
mod policy;
mod queue;
mod recovery;
mod reserve;
mod retry_after;
mod run;
mod shedding;
mod speed;
mod summary;
mod upstream;
mod view;
mod work;

/// Time after a short request for which long prefills are bounded.
const SHORT_WORK_MEMORY: Duration = Duration::from_secs(10);

/// Time that a run is given, in its expected seconds, as it may be parked or slowed by others.
const RUN_MARGIN: f64 = 2.5;

/// Part of its longest wait after which a long prefill yields to short work no more.
const LONG_PATIENCE: f64 = 0.5;

/// Multiple of its service time that a long prefill waits before its bound widens.
const LONG_STRETCH: f64 = 2.0;

/// Part of the slots, one in this many, for parked work whose deadline passed.
const OVERDUE_SLOTS: u32 = 8;

/// Why grants stopped.
#[derive(Debug, Default)]
struct Stop {
    /// Highest rank of which long prefills were passed over.
    passed: Option<u8>,
    /// Request that no upstream with a free slot has the memory for; work of lower tiers waits
    /// until it runs, as it would take the memory that is being freed.
    short_of_memory: Option<Head>,
}

/// Gate of one engine pool in one data centre.
#[derive(Debug, Default)]
pub struct Gate {
    policy: GatePolicy,
    fleet: Fleet,
    queue: Queue,
    placed: Placed,
    runs: HashMap<Ticket, Run>,
    overdue_runs: u32,
    parks: ParkIndex,
    parked_sequences: HashMap<Ticket, u64>,
    affinity: Affinity,
    reserve: Reserve,
    retries: RetryLedger,
    recovery: Recovery,
    next_sequence: u64,
    short_work_at: Option<Duration>,
    ticked_at: Option<Duration>,
    dispatch_is_told: bool,
    violations: u64,
    late_beside_lower: u64,
}

impl Gate {
    /// Creates a gate for the upstreams of its pool.
    pub fn new<I>(upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        Self::with_policy(GatePolicy::default(), upstreams)
    }

    /// Creates a gate with some mechanisms switched off.
    pub fn with_policy<I>(policy: GatePolicy, upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut gate = Self { policy, ..Self::default() };
        gate.set_upstreams(upstreams);
        gate
    }

    /// Creates the gate of a new holder of the role.
    ///
    /// For `window` it grants nothing beyond the free room that upstreams report, while entries
    /// tell it the permits of its predecessor by [`Gate::adopt`].
    pub fn recovering<I>(now: Duration, window: Duration, upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut gate = Self::new(upstreams);
        gate.recovery = Recovery::start(now + window);
        gate.fleet.set_room(Room::Unknown);
        gate
    }

    /// Expects to be told of each dispatch by [`Gate::dispatched`], and times runs from then.
    ///
    /// Else they are timed from the grant, and what an entry waits for before it hands a request
    /// over makes the upstream look slow.
    pub fn timed_from_dispatch(self) -> Self {
        Self { dispatch_is_told: true, ..self }
    }

    /// Replaces the declared upstreams; work that runs on them stays counted.
    pub fn set_upstreams<I>(&mut self, upstreams: I)
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut fleet = Fleet::new(upstreams);
        fleet.change_all(|upstream| match self.fleet.get(&upstream.spec.name) {
            Some(earlier) => upstream.learn_from(earlier),
            None if self.recovery.is_pending() => upstream.room = Room::Unknown,
            None => {}
        });
        for run in self.runs.values() {
            if let Some(mut upstream) = fleet.get_mut(&run.upstream) {
                upstream.carry(&run.load, run.first_token_at.is_none());
            }
        }
        fleet.refresh();
        let names = self.fleet.upstreams().iter().map(|upstream| &upstream.spec.name);
        let numbers: Vec<_> = names.map(|name| fleet.number(name)).collect();
        let memory = fleet.upstreams().iter().map(|upstream| upstream.spec.kv_tokens);
        let earlier = std::mem::replace(&mut self.affinity, Affinity::new(memory));
        self.affinity.renumber(earlier, &numbers);
        self.fleet = fleet;
        for number in 0..self.fleet.upstreams().len() {
            self.set_parkable_aside(number);
        }
    }

    /// Takes a request for a permit. A repeat of a granted ask is granted again, the same.
    pub fn request_permit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        ask: PermitRequest,
    ) -> Vec<Decision> {
        if let Some(run) = self.runs.get(&ticket) {
            if ask.resume.is_none() || !self.parks.is_ordered(ticket) {
                return vec![Decision::Granted(ticket, run.upstream.clone())];
            }
            self.end_parked(now, ticket);
        }
        if self.queue.contains(ticket) || self.placed.contains(ticket) {
            return Vec::new();
        }
        if ask.placement != Placement::Any {
            self.placed.push(now, ticket, ask);
            return self.settle(now);
        }
        self.enqueue(now, ticket, ask);
        let mut decisions = self.settle(now);
        self.refuse_hopeless(now, ticket, &mut decisions);
        decisions
    }

    /// Counts a permit that an earlier holder of this role granted.
    pub fn adopt(&mut self, ticket: Ticket, ask: PermitRequest, upstream: UpstreamName) {
        if self.runs.contains_key(&ticket) {
            return;
        }
        self.queue.remove(ticket);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.reserve.started(ask.rank);
        let need = Need::new(&ask, false);
        let Some(mut known) = self.fleet.get_mut(&upstream) else {
            // Its upstream is no longer declared; no slot is left to count.
            let run = Run::adopted(ask, upstream, Load::default(), sequence);
            self.runs.insert(ticket, run);
            return;
        };
        let load = known.adopt(&need);
        if ask.placement == Placement::Alone {
            known.reserved = true;
        }
        let loss = known.declared_prefill(ask.cost.prompt_tokens);
        drop(known);
        let mut run = Run::adopted(ask, upstream, load, sequence);
        if run.ask.parkable {
            let key = park_key(ticket, run.ask.rank, loss);
            self.parks.insert(key, false);
            run.park_key = Some(key);
        }
        self.runs.insert(ticket, run);
    }

    /// Ends a ticket: its run ended, was parked, or its caller no longer waits.
    ///
    /// [`Gate::ended`] and [`Gate::parked`] tell more and are better where the end is known.
    pub fn release(&mut self, now: Duration, ticket: Ticket) -> Vec<Decision> {
        self.ended(now, ticket, Outcome::Cancelled)
    }

    /// Frees the slot of a run that was parked; it keeps its place until it asks again.
    pub fn parked(&mut self, now: Duration, ticket: Ticket) -> Vec<Decision> {
        self.end_parked(now, ticket);
        self.settle(now)
    }

    /// Returns the number of requests that wait.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of permits in use.
    pub fn running_len(&self) -> usize {
        self.runs.len()
    }

    fn enqueue(&mut self, now: Duration, ticket: Ticket, ask: PermitRequest) {
        let seconds = self.fleet.seconds(&ask);
        let long = self.fleet.is_long(&ask);
        let fresh = ask.resume.is_none();
        if fresh {
            let slots = self.fleet.draining_slots();
            self.reserve.arrived(now, ask.rank, seconds, slots);
        }
        if !long {
            self.short_work_at = Some(now);
        }
        let sequence = self.parked_sequences.remove(&ticket).unwrap_or(self.next_sequence);
        self.next_sequence += 1;
        let max_wait = self.useful_wait(&ask, seconds);
        let deadline = now + max_wait;
        let press_at = now + max_wait.mul_f64(LONG_PATIENCE);
        let place = Place { fresh, sequence };
        self.queue.push(Waiting { ticket, ask, place, deadline, seconds, long, press_at });
    }

    /// Returns the longest wait after which the whole answer still comes in time.
    ///
    /// A run that is cut at its caller's deadline wastes its prefill. A parked run has done its
    /// prefill already and keeps its wait.
    fn useful_wait(&self, ask: &PermitRequest, seconds: f64) -> Duration {
        let Some(within) = ask.answer_within else { return ask.max_wait };
        if !self.policy.early_refusal || ask.resume.is_some() {
            return ask.max_wait;
        }
        let run = Duration::from_secs_f64(seconds * RUN_MARGIN);
        ask.max_wait.min(within.saturating_sub(run))
    }

    /// Brings the queue and the upstreams in order after any change.
    fn settle(&mut self, now: Duration) -> Vec<Decision> {
        if self.recovery.end(now) {
            self.fleet.set_room(Room::Counted);
        }
        for number in self.fleet.take_turned() {
            self.set_parkable_aside(number);
        }
        let mut decisions = Vec::new();
        self.reserve_for_alone(now);
        let stop = self.grant_all(now, &mut decisions);
        self.grant_placed(now, &mut decisions);
        self.park_for_waiting(now, &stop, &mut decisions);
        self.shed_excess(now, &mut decisions);
        decisions
    }

    /// Grants what can run now, highest tier first.
    fn grant_all(&mut self, now: Duration, decisions: &mut Vec<Decision>) -> Stop {
        let mut stop = Stop::default();
        let mut overdue_too = true;
        while let Some(head) = self.next_head(overdue_too, stop.passed) {
            let below = stop.short_of_memory.as_ref().is_some_and(|short| head.rank > short.rank);
            if below && !head.overdue {
                break;
            }
            match self.place(now, &head, stop.passed) {
                Ok(choice) => decisions.extend(self.grant(now, &head, choice)),
                Err(Blocked::Slots | Blocked::Reserve) => break,
                Err(_) if head.overdue => overdue_too = false,
                Err(blocked) if self.may_be_passed(now, &head, blocked) => {
                    stop.passed = Some(head.rank);
                    if blocked == Blocked::Memory && self.can_free_memory(head.rank) {
                        stop.short_of_memory.get_or_insert(head);
                    }
                }
                Err(_) => {
                    stop.short_of_memory.get_or_insert(head);
                    break;
                }
            }
        }
        stop
    }

    fn next_head(&mut self, overdue_too: bool, passed: Option<u8>) -> Option<Head> {
        let most = (self.fleet.declared_slots() / OVERDUE_SLOTS).max(1);
        if overdue_too && self.overdue_runs < most {
            let overdue = self.queue.next_overdue();
            if overdue.is_some() {
                return overdue;
            }
        }
        self.queue.next(self.policy.fair_share, passed)
    }

    /// Returns whether short work may go before a long prefill that waits for something else.
    fn may_be_passed(&self, now: Duration, head: &Head, blocked: Blocked) -> bool {
        if !head.long || blocked == Blocked::LongPrefill {
            return head.long;
        }
        !self.is_pressing(now, head.rank)
    }

    /// Returns whether lower work that holds memory is or can be parked; it must not take the
    /// memory back.
    fn can_free_memory(&self, rank: u8) -> bool {
        let parked = self.parks.ordered_len() > 0 || self.parks.below(rank, false).is_some();
        self.policy.parking && parked
    }

    /// Returns the bound on a long prefill; it widens the longer the request waits.
    fn long_bound(&self, now: Duration, waiting: &Waiting, head: &Head) -> LongBound {
        let bounded = self.policy.long_prefill_limit && head.long && !head.overdue;
        if !bounded || !self.is_mixed(now, head.rank) || self.is_pressing(now, head.rank) {
            return LongBound::Unbounded;
        }
        let waited = (now + waiting.ask.max_wait).saturating_sub(waiting.deadline).as_secs_f64();
        if waited < waiting.seconds * LONG_STRETCH {
            LongBound::KeepShare
        } else {
            LongBound::KeepOne
        }
    }

    /// Returns whether long prefills of a tier yield to short work no more, as half of the longest
    /// wait of one is over or the queue is half full. Else lower work would run while one is shed.
    ///
    /// One of a lower tier counts too when there is work below it, since higher tiers go before it.
    fn is_pressing(&self, now: Duration, rank: u8) -> bool {
        let mut pressing = self.queue.pressing_from(now, rank);
        self.queue.fresh_len() > self.queue_bound() / 2
            || pressing.any(|other| other == rank || self.has_work_below(other))
    }

    /// Returns whether work of a lower tier waits or runs, parked or not.
    fn has_work_below(&self, rank: u8) -> bool {
        self.queue.waits_below(rank) || self.reserve.runs_below(rank)
    }

    fn place(&mut self, now: Duration, head: &Head, passed: Option<u8>) -> Result<Choice, Blocked> {
        let Some(waiting) = self.queue.get(head.ticket) else { return Err(Blocked::Slots) };
        let need = Need::new(&waiting.ask, head.long);
        let kept = if head.overdue { 0 } else { self.kept_from(head.rank, passed) };
        let limits = Limits {
            kept,
            long: self.long_bound(now, waiting, head),
            probe_first: self.reserve.busy_above(head.rank),
        };
        let cached: &[u32] = if self.policy.affinity && waiting.ask.resume.is_none() {
            self.affinity.lookup(&waiting.ask.prefixes)
        } else {
            &[]
        };
        self.fleet.choose(now, &need, cached, limits, self.policy)
    }

    /// Returns the slots that work of `rank` must leave free.
    fn kept_from(&self, rank: u8, passed: Option<u8>) -> u32 {
        let reserved = if self.policy.reserve { self.reserve.kept_from(rank) } else { 0 };
        // Lower work that takes the slots of higher long prefills would be parked for them again.
        let long = if passed.is_some() { self.queue.long_above(rank) as u32 } else { 0 };
        reserved + long.min(self.fleet.long_limit())
    }

    /// Returns whether short or higher work came beside that of `rank` lately.
    fn is_mixed(&self, now: Duration, rank: u8) -> bool {
        let short = self.short_work_at.is_some_and(|at| now < at + SHORT_WORK_MEMORY);
        short || self.reserve.busy_above(rank)
    }

    fn grant(&mut self, now: Duration, head: &Head, choice: Choice) -> Option<Decision> {
        let ticket = head.ticket;
        let Waiting { ask, place, .. } = self.queue.remove(ticket)?;
        let need = Need::new(&ask, choice.long);
        let mut upstream = self.fleet.change(choice.upstream);
        let load = upstream.start(&need, choice.cached_tokens);
        upstream.start_probe(ticket);
        let name = upstream.spec.name.clone();
        let loss = upstream.declared_prefill(ask.cost.prompt_tokens);
        let is_healthy = upstream.is_healthy();
        drop(upstream);
        if place.fresh {
            // Parked work was charged in full when it was first granted.
            self.queue.charge(ask.rank, &ask.workspace, choice.seconds);
        }
        if self.policy.affinity {
            self.affinity.dispatched(choice.upstream, &ask.prefixes);
        }
        self.reserve.started(ask.rank);
        self.overdue_runs += u32::from(head.overdue);
        let mut run = Run::granted(self.started_at(now), ask, name.clone(), load, place.sequence);
        run.overdue = head.overdue;
        if run.ask.parkable {
            let key = park_key(ticket, run.ask.rank, loss);
            self.parks.insert(key, head.overdue || !is_healthy);
            run.park_key = Some(key);
        }
        self.runs.insert(ticket, run);
        Some(Decision::Granted(ticket, name))
    }

    /// Returns when a run that is granted now starts, if that is known yet.
    fn started_at(&self, now: Duration) -> Option<Duration> {
        (!self.dispatch_is_told).then_some(now)
    }

    /// Sets the runs of an upstream that turned unhealthy aside, as a slot freed there is no use.
    fn set_parkable_aside(&mut self, number: usize) {
        let upstream = &self.fleet.upstreams()[number];
        let aside = !upstream.is_healthy();
        for run in self.runs.values().filter(|run| run.upstream == upstream.spec.name) {
            if let Some(key) = run.park_key {
                self.parks.set_aside(key, aside || run.overdue);
            }
        }
    }

    fn end_parked(&mut self, now: Duration, ticket: Ticket) {
        if let Some(run) = self.end_run(now, ticket) {
            self.parked_sequences.insert(ticket, run.sequence);
        }
    }

    /// Takes a run out of all counts.
    fn end_run(&mut self, now: Duration, ticket: Ticket) -> Option<Run> {
        let run = self.runs.remove(&ticket)?;
        if let Some(key) = run.park_key {
            self.parks.remove(key);
        }
        self.reserve.ended(run.ask.rank);
        self.overdue_runs -= u32::from(run.overdue);
        if let Some(mut upstream) = self.fleet.get_mut(&run.upstream) {
            if run.first_token_at.is_none() {
                upstream.end_prefill(&run.load);
            }
            upstream.end(&run.load);
            if run.ask.placement == Placement::Alone {
                upstream.reserved = false;
            }
            upstream.forget_probe(now, ticket);
        }
        Some(run)
    }
}

fn park_key(ticket: Ticket, rank: u8, loss_seconds: f64) -> ParkKey {
    ParkKey { rank: Reverse(rank), loss_us: (loss_seconds * 1e6) as u64, ticket }
}
