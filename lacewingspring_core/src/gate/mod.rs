//! Permit scheduler for one engine pool in one data centre.
//!
//! An entry is an instance that receives requests from callers; it requests a permit from the gate
//! before it sends a request to an upstream. Upstreams do not know tiers, so the gate holds the
//! queue in front of them and counts every run on each upstream of its pool. It grants permits,
//! evicts waiting requests, and parks (preempts) runs of lower tiers if a request of a higher tier
//! would otherwise wait.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use self::{
    affinity::Affinity,
    fleet::{Blocked, Choice, ChoiceLimits, Fleet, LongPrefillLimit},
    parking::{ParkIndex, ParkKey},
    placed::Placed,
    queue::{Head, OrderKey, Queue, WaitingRequest},
    recovery::Recovery,
    reserve::Reserve,
    retry_after::RetryBacklog,
    run::Run,
    upstream::{Demand, Headroom, RunLoad},
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

/// Time after the arrival of a short request during which the gate limits long prefills.
const SHORT_REQUEST_WINDOW: Duration = Duration::from_secs(10);

/// Multiple of the expected service time that a run needs before the caller's deadline, since it
/// may be parked or slowed down by other runs.
const RUN_TIME_FACTOR: f64 = 2.5;

/// Fraction of its maximum wait after which a long prefill no longer yields to short requests.
const LONG_YIELD_FRACTION: f64 = 0.5;

/// Multiple of its service time that a long prefill waits before its limit is raised from
/// [`LongPrefillLimit::Fraction`] to [`LongPrefillLimit::AllButOne`].
const LONG_LIMIT_RAISE_FACTOR: f64 = 2.0;

/// Parked requests past their deadline may use one in this many declared slots, but at least one
/// slot.
const OVERDUE_SLOT_DIVISOR: u32 = 8;

/// State in which a grant pass ended.
#[derive(Debug, Default)]
struct GrantStop {
    /// Rank of the highest tier whose long prefills were skipped; those of lower tiers are skipped
    /// too.
    skip_long_from: Option<u8>,
    /// Request for which no upstream with a free slot has enough KV memory. Requests of lower tiers
    /// wait until it runs, since they would take the memory that is being freed.
    blocked_on_memory: Option<Head>,
}

/// Permit scheduler for one engine pool in one data centre.
#[derive(Debug, Default)]
pub struct Gate {
    policy: GatePolicy,
    fleet: Fleet,
    queue: Queue,
    placed: Placed,
    runs: HashMap<Ticket, Run>,
    /// Number of runs that were granted as parked requests past their deadline.
    overdue_runs: u32,
    parks: ParkIndex,
    /// Sequence numbers of first arrival of parked requests that have not asked again.
    parked_sequences: HashMap<Ticket, u64>,
    affinity: Affinity,
    reserve: Reserve,
    retry_backlog: RetryBacklog,
    recovery: Recovery,
    next_sequence: u64,
    /// Time of the last arrival of a short request.
    last_short_at: Option<Duration>,
    last_tick_at: Option<Duration>,
    timed_from_dispatch: bool,
    violations: u64,
    late_beside_lower: u64,
}

impl Gate {
    /// Creates a gate with the default policy for the upstreams of its pool.
    pub fn new<I>(upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        Self::with_policy(GatePolicy::default(), upstreams)
    }

    /// Creates a gate with the mechanisms that `policy` enables.
    pub fn with_policy<I>(policy: GatePolicy, upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut gate = Self { policy, ..Self::default() };
        gate.set_upstreams(upstreams);
        gate
    }

    /// Creates the gate of an instance that takes the role over from another holder.
    ///
    /// During `window` the gate grants only within the free capacity that upstreams report, while
    /// entries report the permits of the previous holder through [`Gate::adopt`].
    pub fn recovering<I>(now: Duration, window: Duration, upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut gate = Self::new(upstreams);
        gate.recovery = Recovery::start(now + window);
        gate.fleet.set_headroom(Headroom::Unknown);
        gate
    }

    /// Times runs from the call of [`Gate::dispatched`], which must then follow each grant.
    ///
    /// Otherwise runs are timed from the grant, and a delay in the entry before it sends the
    /// request makes the upstream look slow.
    pub fn timed_from_dispatch(self) -> Self {
        Self { timed_from_dispatch: true, ..self }
    }

    /// Replaces the declared upstreams. Known upstreams keep their learned state, and the runs on
    /// them stay counted.
    pub fn set_upstreams<I>(&mut self, upstreams: I)
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut fleet = Fleet::new(upstreams);
        fleet.for_each_mut(|upstream| match self.fleet.get(&upstream.spec.name) {
            Some(earlier) => upstream.learn_from(earlier),
            None if self.recovery.is_pending() => upstream.headroom = Headroom::Unknown,
            None => {}
        });
        for run in self.runs.values() {
            if let Some(mut upstream) = fleet.get_mut(&run.upstream) {
                upstream.carry_over(&run.load, run.first_token_at.is_none());
            }
        }
        fleet.refresh();
        let names = self.fleet.upstreams().iter().map(|upstream| &upstream.spec.name);
        let indices: Vec<_> = names.map(|name| fleet.index_of(name)).collect();
        let memory = fleet.upstreams().iter().map(|upstream| upstream.spec.kv_tokens);
        let earlier = std::mem::replace(&mut self.affinity, Affinity::new(memory));
        self.affinity.reindex(earlier, &indices);
        self.fleet = fleet;
        for index in 0..self.fleet.upstreams().len() {
            self.update_last_resort(index);
        }
    }

    /// Queues a request for a permit, or returns the same grant again if it was granted before.
    ///
    /// A resume request of a run that is being parked ends that run first.
    pub fn request_permit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: PermitRequest,
    ) -> Vec<Decision> {
        if let Some(run) = self.runs.get(&ticket) {
            if request.resume.is_none() || !self.parks.is_pending(ticket) {
                return vec![Decision::Granted(ticket, run.upstream.clone())];
            }
            self.end_parked(now, ticket);
        }
        if self.queue.contains(ticket) || self.placed.contains(ticket) {
            return Vec::new();
        }
        if request.placement != Placement::Any {
            self.placed.push(now, ticket, request);
            return self.schedule(now);
        }
        self.enqueue(now, ticket, request);
        let mut decisions = self.schedule(now);
        self.refuse_if_unmeetable(now, ticket, &mut decisions);
        decisions
    }

    /// Counts a permit that an earlier holder of the role granted.
    pub fn adopt(&mut self, ticket: Ticket, request: PermitRequest, upstream: UpstreamName) {
        if self.runs.contains_key(&ticket) {
            return;
        }
        self.queue.remove(ticket);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.reserve.started(request.rank);
        let demand = Demand::new(&request, false);
        let Some(mut known) = self.fleet.get_mut(&upstream) else {
            // The upstream is no longer declared, so the run takes no slot.
            let run = Run::adopted(request, upstream, RunLoad::default(), sequence);
            self.runs.insert(ticket, run);
            return;
        };
        let load = known.adopt(&demand);
        if request.placement == Placement::Alone {
            known.reserved = true;
        }
        let loss = known.declared_prefill(request.cost.prompt_tokens);
        drop(known);
        let mut run = Run::adopted(request, upstream, load, sequence);
        if run.request.parkable {
            let key = park_key(ticket, run.request.rank, loss);
            self.parks.insert(key, false);
            run.park_key = Some(key);
        }
        self.runs.insert(ticket, run);
    }

    /// Ends a ticket whose run ended or was parked, or whose caller no longer waits.
    ///
    /// [`Gate::ended`] and [`Gate::parked`] carry more information; use them if the cause is known.
    pub fn release(&mut self, now: Duration, ticket: Ticket) -> Vec<Decision> {
        self.ended(now, ticket, Outcome::Cancelled)
    }

    /// Frees the slot of a parked run. The request keeps its original order in the queue for when
    /// it requests a permit again.
    pub fn parked(&mut self, now: Duration, ticket: Ticket) -> Vec<Decision> {
        self.end_parked(now, ticket);
        self.schedule(now)
    }

    /// Returns the number of queued requests, without those that name a placement.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of permits in use.
    pub fn running_len(&self) -> usize {
        self.runs.len()
    }

    fn enqueue(&mut self, now: Duration, ticket: Ticket, request: PermitRequest) {
        let seconds = self.fleet.seconds(&request);
        let long = self.fleet.is_long(&request);
        let is_new = request.resume.is_none();
        if is_new {
            let slots = self.fleet.serving_slots();
            self.reserve.arrived(now, request.rank, seconds, slots);
        }
        if !long {
            self.last_short_at = Some(now);
        }
        let sequence = self.parked_sequences.remove(&ticket).unwrap_or(self.next_sequence);
        self.next_sequence += 1;
        let max_wait = self.useful_wait(&request, seconds);
        let deadline = now + max_wait;
        let urgent_at = now + max_wait.mul_f64(LONG_YIELD_FRACTION);
        let order_key = OrderKey { is_new, sequence };
        self.queue.push(WaitingRequest {
            ticket,
            request,
            order_key,
            deadline,
            seconds,
            long,
            urgent_at,
        });
    }

    /// Returns the longest wait after which the whole answer still arrives before the caller's
    /// deadline.
    ///
    /// A run that is cut off at that deadline wastes its prefill. A parked run has already done its
    /// prefill and keeps its maximum wait.
    fn useful_wait(&self, request: &PermitRequest, seconds: f64) -> Duration {
        let Some(within) = request.answer_within else { return request.max_wait };
        if !self.policy.early_refusal || request.resume.is_some() {
            return request.max_wait;
        }
        let run = Duration::from_secs_f64(seconds * RUN_TIME_FACTOR);
        request.max_wait.min(within.saturating_sub(run))
    }

    /// Reschedules after a state change: grants permits, parks runs, and sheds queued requests.
    fn schedule(&mut self, now: Duration) -> Vec<Decision> {
        if self.recovery.end(now) {
            self.fleet.set_headroom(Headroom::Counted);
        }
        for index in self.fleet.take_health_changes() {
            self.update_last_resort(index);
        }
        let mut decisions = Vec::new();
        self.reserve_for_alone(now);
        let stop = self.grant_all(now, &mut decisions);
        self.grant_placed(now, &mut decisions);
        self.park_for_waiting(now, &stop, &mut decisions);
        self.shed_excess(now, &mut decisions);
        decisions
    }

    /// Grants all permits that the capacity allows, highest tier first.
    fn grant_all(&mut self, now: Duration, decisions: &mut Vec<Decision>) -> GrantStop {
        let mut stop = GrantStop::default();
        let mut with_overdue = true;
        while let Some(head) = self.next_head(with_overdue, stop.skip_long_from) {
            let below =
                stop.blocked_on_memory.as_ref().is_some_and(|blocked| head.rank > blocked.rank);
            if below && !head.overdue {
                break;
            }
            match self.choose_upstream(now, &head, stop.skip_long_from) {
                Ok(choice) => decisions.extend(self.grant(now, &head, choice)),
                Err(Blocked::Slots | Blocked::Reserve) => break,
                Err(_) if head.overdue => with_overdue = false,
                Err(blocked) if self.may_skip(now, &head, blocked) => {
                    stop.skip_long_from = Some(head.rank);
                    if blocked == Blocked::Memory && self.can_free_memory(head.rank) {
                        stop.blocked_on_memory.get_or_insert(head);
                    }
                }
                Err(_) => {
                    stop.blocked_on_memory.get_or_insert(head);
                    break;
                }
            }
        }
        stop
    }

    fn next_head(&mut self, with_overdue: bool, skip_long_from: Option<u8>) -> Option<Head> {
        let max_overdue = (self.fleet.declared_slots() / OVERDUE_SLOT_DIVISOR).max(1);
        if with_overdue && self.overdue_runs < max_overdue {
            let overdue = self.queue.next_overdue();
            if overdue.is_some() {
                return overdue;
            }
        }
        self.queue.next(self.policy.fair_share, skip_long_from)
    }

    /// Returns whether short requests may overtake the blocked request at the head, which is
    /// possible only if that one is a long prefill.
    fn may_skip(&self, now: Duration, head: &Head, blocked: Blocked) -> bool {
        if !head.long || blocked == Blocked::LongPrefill {
            return head.long;
        }
        !self.is_urgent(now, head.rank)
    }

    /// Returns whether runs of lower tiers that hold memory are being parked or can be. Requests of
    /// lower tiers must then not take that memory.
    fn can_free_memory(&self, rank: u8) -> bool {
        let parked = self.parks.pending_len() > 0 || self.parks.first_below(rank, false).is_some();
        self.policy.parking && parked
    }

    /// Returns the limit on long prefills for a request; it rises the longer the request waits.
    fn long_limit_for(
        &self,
        now: Duration,
        waiting: &WaitingRequest,
        head: &Head,
    ) -> LongPrefillLimit {
        let bounded = self.policy.long_prefill_limit && head.long && !head.overdue;
        if !bounded || !self.has_mixed_load(now, head.rank) || self.is_urgent(now, head.rank) {
            return LongPrefillLimit::Unlimited;
        }
        let waited =
            (now + waiting.request.max_wait).saturating_sub(waiting.deadline).as_secs_f64();
        if waited < waiting.seconds * LONG_LIMIT_RAISE_FACTOR {
            LongPrefillLimit::Fraction
        } else {
            LongPrefillLimit::AllButOne
        }
    }

    /// Returns whether long prefills of a tier no longer yield to short requests: one of them has
    /// waited for half of its maximum wait, or the queue is half full. Otherwise work of lower
    /// tiers would run while a long prefill is shed.
    ///
    /// A long prefill of a lower tier counts too if there is work below it, since higher tiers are
    /// granted first.
    fn is_urgent(&self, now: Duration, rank: u8) -> bool {
        let mut urgent = self.queue.urgent_from(now, rank);
        self.queue.new_len() > self.queue_bound() / 2
            || urgent.any(|other| other == rank || self.has_work_below(other))
    }

    /// Returns whether requests of a lower tier are queued, parked ones included, or run.
    fn has_work_below(&self, rank: u8) -> bool {
        self.queue.has_waiting_below(rank) || self.reserve.has_running_below(rank)
    }

    fn choose_upstream(
        &mut self,
        now: Duration,
        head: &Head,
        skip_long_from: Option<u8>,
    ) -> Result<Choice, Blocked> {
        let Some(waiting) = self.queue.get(head.ticket) else { return Err(Blocked::Slots) };
        let demand = Demand::new(&waiting.request, head.long);
        let keep_free =
            if head.overdue { 0 } else { self.slots_to_keep_free(head.rank, skip_long_from) };
        let limits = ChoiceLimits {
            keep_free,
            long: self.long_limit_for(now, waiting, head),
            probe_at_once: self.reserve.is_busy_above(head.rank),
        };
        let cached: &[u32] = if self.policy.affinity && waiting.request.resume.is_none() {
            self.affinity.lookup(&waiting.request.prefixes)
        } else {
            &[]
        };
        self.fleet.choose(now, &demand, cached, limits, self.policy)
    }

    /// Returns the number of slots that requests of `rank` must leave free.
    fn slots_to_keep_free(&self, rank: u8, skip_long_from: Option<u8>) -> u32 {
        let reserved = if self.policy.reserve { self.reserve.slots_to_keep_free(rank) } else { 0 };
        // A run of a lower tier in the slot of a skipped long prefill would soon be parked for it.
        let long =
            if skip_long_from.is_some() { self.queue.long_prefills_above(rank) as u32 } else { 0 };
        reserved + long.min(self.fleet.long_limit())
    }

    /// Returns whether a short request arrived within [`SHORT_REQUEST_WINDOW`] or a tier above
    /// `rank` is busy.
    fn has_mixed_load(&self, now: Duration, rank: u8) -> bool {
        let short = self.last_short_at.is_some_and(|at| now < at + SHORT_REQUEST_WINDOW);
        short || self.reserve.is_busy_above(rank)
    }

    fn grant(&mut self, now: Duration, head: &Head, choice: Choice) -> Option<Decision> {
        let ticket = head.ticket;
        let WaitingRequest { request, order_key, .. } = self.queue.remove(ticket)?;
        let demand = Demand::new(&request, choice.long);
        let mut upstream = self.fleet.upstream_mut(choice.upstream);
        let load = upstream.start(&demand, choice.cached_tokens);
        upstream.start_probe(ticket);
        let name = upstream.spec.name.clone();
        let loss = upstream.declared_prefill(request.cost.prompt_tokens);
        let is_healthy = upstream.is_healthy();
        drop(upstream);
        if order_key.is_new {
            // A parked request was charged for its whole work at its first grant.
            self.queue.charge(request.rank, &request.workspace, choice.seconds);
        }
        if self.policy.affinity {
            self.affinity.dispatched(choice.upstream, &request.prefixes);
        }
        self.reserve.started(request.rank);
        self.overdue_runs += u32::from(head.overdue);
        let mut run =
            Run::granted(self.started_at(now), request, name.clone(), load, order_key.sequence);
        run.overdue = head.overdue;
        if run.request.parkable {
            let key = park_key(ticket, run.request.rank, loss);
            self.parks.insert(key, head.overdue || !is_healthy);
            run.park_key = Some(key);
        }
        self.runs.insert(ticket, run);
        Some(Decision::Granted(ticket, name))
    }

    /// Returns the start time of a run that is granted now; `None` if it starts at the dispatch.
    fn started_at(&self, now: Duration) -> Option<Duration> {
        (!self.timed_from_dispatch).then_some(now)
    }

    /// Makes the parkable runs of an upstream a last resort if it is unhealthy, because a slot
    /// freed there is of no use, and regular candidates otherwise.
    fn update_last_resort(&mut self, index: usize) {
        let upstream = &self.fleet.upstreams()[index];
        let last_resort = !upstream.is_healthy();
        for run in self.runs.values().filter(|run| run.upstream == upstream.spec.name) {
            if let Some(key) = run.park_key {
                self.parks.set_last_resort(key, last_resort || run.overdue);
            }
        }
    }

    fn end_parked(&mut self, now: Duration, ticket: Ticket) {
        if let Some(run) = self.end_run(now, ticket) {
            self.parked_sequences.insert(ticket, run.sequence);
        }
    }

    /// Removes a run from all counts.
    fn end_run(&mut self, now: Duration, ticket: Ticket) -> Option<Run> {
        let run = self.runs.remove(&ticket)?;
        if let Some(key) = run.park_key {
            self.parks.remove(key);
        }
        self.reserve.ended(run.request.rank);
        self.overdue_runs -= u32::from(run.overdue);
        if let Some(mut upstream) = self.fleet.get_mut(&run.upstream) {
            if run.first_token_at.is_none() {
                upstream.end_prefill(&run.load);
            }
            upstream.end(&run.load);
            if run.request.placement == Placement::Alone {
                upstream.reserved = false;
            }
            upstream.cancel_probe(now, ticket);
        }
        Some(run)
    }
}

fn park_key(ticket: Ticket, rank: u8, loss_seconds: f64) -> ParkKey {
    ParkKey { rank: Reverse(rank), loss_us: (loss_seconds * 1e6) as u64, ticket }
}
