//! Queue of a gate: requests by tier, with deficit round robin over the workspaces of a tier.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    ops::Bound,
    time::Duration,
};

use super::work::{PermitRequest, Ticket};
use crate::names::WorkspaceName;

/// Seconds of work that a workspace of weight 1 is credited in one round.
const QUANTUM_SECONDS: f64 = 0.1;

/// Sort key in a sub-queue: parked requests first, then in the order of first arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    /// Whether the request is new; `false` for a parked one, which sorts first.
    pub is_new: bool,
    /// Sequence number of the first arrival.
    pub sequence: u64,
}

/// Queued request with its scheduling data.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Permit request as it arrived.
    pub request: PermitRequest,
    /// Sort key in its sub-queue.
    pub order_key: OrderKey,
    /// Time at which its wait ends.
    pub deadline: Duration,
    /// Expected service seconds on a typical upstream of the gate.
    pub seconds: f64,
    /// Whether the prefill is long.
    pub long: bool,
    /// Time from which a long prefill no longer yields to short requests.
    pub urgent_at: Duration,
}

/// Class of a request by its prefill. Each workspace queues long prefills apart, so that short
/// requests never wait behind them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PrefillClass {
    Short,
    Long,
}

/// Where in the queue a request is stored.
#[derive(Clone, Debug)]
struct Location {
    subqueue: Subqueue,
    class: PrefillClass,
    order_key: OrderKey,
}

/// Part of the queue with an order of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Subqueue {
    /// Parked requests whose deadline passed.
    Overdue,
    /// Requests of one workspace in one tier.
    Flow(u8, WorkspaceName),
}

/// First request of a sub-queue.
#[derive(Clone, Debug)]
pub(super) struct Head {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Rank of the tier.
    pub rank: u8,
    /// Whether this is a parked request whose deadline passed.
    pub overdue: bool,
    /// Whether the prefill is long.
    pub long: bool,
}

/// Queued requests of one workspace in one tier.
#[derive(Debug)]
struct Flow {
    weight: f64,
    /// Credit in seconds of work; negative after a grant that costs more.
    deficit: f64,
    /// Busy period of the tier to which the deficit belongs.
    busy_period: u64,
    short: BTreeMap<OrderKey, WaitingRequest>,
    long: BTreeMap<OrderKey, WaitingRequest>,
    /// Expected service seconds of the queued requests.
    seconds: f64,
}

impl Flow {
    fn new(weight: u32) -> Self {
        Self {
            weight: f64::from(weight.max(1)),
            deficit: 0.0,
            busy_period: 0,
            short: BTreeMap::new(),
            long: BTreeMap::new(),
            seconds: 0.0,
        }
    }

    fn requests_mut(&mut self, class: PrefillClass) -> &mut BTreeMap<OrderKey, WaitingRequest> {
        match class {
            PrefillClass::Short => &mut self.short,
            PrefillClass::Long => &mut self.long,
        }
    }

    fn head(&self, with_long: bool) -> Option<&WaitingRequest> {
        let short = self.short.first_key_value();
        let long = self.long.first_key_value().filter(|_| with_long);
        let first = match (short, long) {
            (Some(short), Some(long)) => {
                if short.0 < long.0 {
                    short
                } else {
                    long
                }
            }
            (short, long) => short.or(long)?,
        };
        Some(first.1)
    }

    fn newest(&self) -> Option<&WaitingRequest> {
        let short = self.short.last_key_value();
        let long = self.long.last_key_value();
        let last = short.into_iter().chain(long).max_by_key(|(order_key, _)| **order_key)?;
        Some(last.1).filter(|waiting| waiting.order_key.is_new)
    }

    fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }
}

/// Queued requests of one tier.
#[derive(Debug, Default)]
struct Tier {
    flows: HashMap<WorkspaceName, Flow>,
    /// Workspaces with queued requests, next one first.
    ring: VecDeque<WorkspaceName>,
    /// Number of times that the tier became empty.
    busy_period: u64,
    /// Expected service seconds of the queued requests.
    seconds: f64,
    /// Number of queued requests that are new, not parked.
    new_requests: usize,
    /// Number of queued requests with a short prefill.
    short: usize,
    /// Number of queued requests with a long prefill.
    long: usize,
    /// Times from which the queued long prefills no longer yield to short requests.
    urgent_times: BTreeSet<(Duration, Ticket)>,
}

impl Tier {
    /// Returns the next request by deficit round robin.
    fn next(&mut self, with_long: bool) -> Option<&WaitingRequest> {
        let workspace = loop {
            if let Some(workspace) = self.rotate(with_long) {
                break workspace;
            }
            // Rounding may leave a deficit of zero, which another round makes positive.
            self.refill(with_long)?;
        };
        self.flows.get(&workspace)?.head(with_long)
    }

    /// Rotates the ring to the first workspace with a positive deficit and a request to serve.
    fn rotate(&mut self, with_long: bool) -> Option<WorkspaceName> {
        for _ in 0..self.ring.len() {
            let workspace = self.ring.front()?;
            let flow = &self.flows[workspace];
            if flow.deficit > 0.0 && flow.head(with_long).is_some() {
                return Some(workspace.clone());
            }
            self.ring.rotate_left(1);
        }
        None
    }

    /// Credits all workspaces with the smallest number of rounds that lets one of them be served.
    fn refill(&mut self, with_long: bool) -> Option<()> {
        let ready = self.ring.iter().map(|workspace| &self.flows[workspace]);
        let ready = ready.filter(|flow| flow.head(with_long).is_some());
        let rounds = ready.map(|flow| (-flow.deficit / (QUANTUM_SECONDS * flow.weight)).floor());
        let rounds = rounds.min_by(f64::total_cmp)?.max(0.0) + 1.0;
        for flow in self.flows.values_mut() {
            let quantum = QUANTUM_SECONDS * flow.weight;
            flow.deficit = (flow.deficit + rounds * quantum).min(quantum);
        }
        Some(())
    }

    /// Returns the first request by sort key, regardless of workspace.
    fn first(&self, with_long: bool) -> Option<&WaitingRequest> {
        let heads = self.flows.values().filter_map(|flow| flow.head(with_long));
        heads.min_by_key(|waiting| waiting.order_key)
    }

    /// Returns the newest request of the workspace with the most queued seconds for its weight.
    fn newest_of_largest(&self) -> Option<&WaitingRequest> {
        let newest =
            self.flows.iter().filter_map(|(name, flow)| Some((name, flow, flow.newest()?)));
        let largest = newest.max_by(|a, b| {
            let share = |flow: &Flow| flow.seconds / flow.weight;
            share(a.1).total_cmp(&share(b.1)).then_with(|| a.0.cmp(b.0))
        })?;
        Some(largest.2)
    }

    fn is_empty(&self) -> bool {
        self.short == 0 && self.long == 0
    }
}

/// Queue of a gate.
#[derive(Debug, Default)]
pub(super) struct Queue {
    tiers: BTreeMap<u8, Tier>,
    overdue: BTreeMap<OrderKey, WaitingRequest>,
    locations: HashMap<Ticket, Location>,
    deadlines: BTreeSet<(Duration, Ticket)>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let class = if waiting.long { PrefillClass::Long } else { PrefillClass::Short };
        let subqueue = Subqueue::Flow(waiting.request.rank, waiting.request.workspace.clone());
        let location = Location { subqueue, class, order_key: waiting.order_key };
        self.locations.insert(waiting.ticket, location);
        self.deadlines.insert((waiting.deadline, waiting.ticket));
        let tier = self.tiers.entry(waiting.request.rank).or_default();
        tier.seconds += waiting.seconds;
        tier.new_requests += usize::from(waiting.order_key.is_new);
        match class {
            PrefillClass::Short => tier.short += 1,
            PrefillClass::Long => {
                tier.long += 1;
                tier.urgent_times.insert((waiting.urgent_at, waiting.ticket));
            }
        }
        if !tier.flows.contains_key(&waiting.request.workspace) {
            tier.flows.insert(waiting.request.workspace.clone(), Flow::new(waiting.request.weight));
        }
        let Some(flow) = tier.flows.get_mut(&waiting.request.workspace) else { return };
        if flow.is_empty() {
            tier.ring.push_back(waiting.request.workspace.clone());
            if flow.busy_period != tier.busy_period {
                // The tier was empty in the meantime, which cancels all deficits.
                flow.busy_period = tier.busy_period;
                flow.deficit = 0.0;
            }
        }
        flow.weight = f64::from(waiting.request.weight.max(1));
        flow.seconds += waiting.seconds;
        flow.requests_mut(class).insert(waiting.order_key, waiting);
    }

    /// Moves a parked request whose deadline passed ahead of all tiers.
    pub fn promote(&mut self, ticket: Ticket) {
        let Some(waiting) = self.remove(ticket) else { return };
        let order_key = waiting.order_key;
        let location =
            Location { subqueue: Subqueue::Overdue, class: PrefillClass::Short, order_key };
        self.locations.insert(ticket, location);
        self.overdue.insert(order_key, waiting);
    }

    /// Returns the first parked request whose deadline passed.
    pub fn next_overdue(&self) -> Option<Head> {
        let (_, waiting) = self.overdue.first_key_value()?;
        Some(head(waiting, true))
    }

    /// Returns the next request of the highest tier with queued requests.
    ///
    /// Skips long prefills of ranks from `skip_long_from` on.
    pub fn next(&mut self, fair: bool, skip_long_from: Option<u8>) -> Option<Head> {
        for (rank, tier) in &mut self.tiers {
            let with_long = skip_long_from.is_none_or(|from| *rank < from);
            let next = if fair { tier.next(with_long) } else { tier.first(with_long) };
            if let Some(waiting) = next {
                return Some(head(waiting, false));
            }
        }
        None
    }

    /// Removes a request; returns `None` if it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let location = self.locations.remove(&ticket)?;
        let waiting = match &location.subqueue {
            Subqueue::Overdue => self.overdue.remove(&location.order_key)?,
            Subqueue::Flow(rank, workspace) => self.remove_from(*rank, workspace, &location)?,
        };
        self.deadlines.remove(&(waiting.deadline, ticket));
        Some(waiting)
    }

    fn remove_from(
        &mut self,
        rank: u8,
        workspace: &WorkspaceName,
        location: &Location,
    ) -> Option<WaitingRequest> {
        let tier = self.tiers.get_mut(&rank)?;
        let flow = tier.flows.get_mut(workspace)?;
        let waiting = flow.requests_mut(location.class).remove(&location.order_key)?;
        flow.seconds -= waiting.seconds;
        if flow.is_empty() {
            flow.seconds = 0.0;
            flow.deficit = flow.deficit.min(0.0);
            tier.ring.retain(|name| name != workspace);
        }
        tier.seconds -= waiting.seconds;
        tier.new_requests -= usize::from(waiting.order_key.is_new);
        match location.class {
            PrefillClass::Short => tier.short -= 1,
            PrefillClass::Long => {
                tier.long -= 1;
                tier.urgent_times.remove(&(waiting.urgent_at, waiting.ticket));
            }
        }
        if tier.is_empty() {
            tier.busy_period += 1;
            tier.seconds = 0.0;
        }
        Some(waiting)
    }

    /// Charges a workspace for granted work, in expected seconds on the chosen upstream.
    pub fn charge(&mut self, rank: u8, workspace: &WorkspaceName, seconds: f64) {
        let tier = self.tiers.get_mut(&rank);
        if let Some(flow) = tier.and_then(|tier| tier.flows.get_mut(workspace)) {
            flow.deficit -= seconds;
        }
    }

    /// Returns a queued request.
    pub fn get(&self, ticket: Ticket) -> Option<&WaitingRequest> {
        let location = self.locations.get(&ticket)?;
        match &location.subqueue {
            Subqueue::Overdue => self.overdue.get(&location.order_key),
            Subqueue::Flow(rank, workspace) => {
                let flow = self.tiers.get(rank)?.flows.get(workspace)?;
                match location.class {
                    PrefillClass::Short => flow.short.get(&location.order_key),
                    PrefillClass::Long => flow.long.get(&location.order_key),
                }
            }
        }
    }

    /// Returns whether a ticket is queued.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.locations.contains_key(&ticket)
    }

    /// Returns the first request whose deadline passed.
    pub fn expired(&self, now: Duration) -> Option<Ticket> {
        let (deadline, ticket) = self.deadlines.first()?;
        (*deadline <= now && self.locations.contains_key(ticket)).then_some(*ticket)
    }

    /// Returns the rank of the lowest tier with a new request in the queue.
    pub fn lowest_rank(&self) -> Option<u8> {
        let mut waiting = self.tiers.iter().rev().filter(|(_, tier)| tier.new_requests > 0);
        waiting.next().map(|(rank, _)| *rank)
    }

    /// Returns the request of a tier that is evicted first.
    pub fn victim(&self, rank: u8) -> Option<Ticket> {
        Some(self.tiers.get(&rank)?.newest_of_largest()?.ticket)
    }

    /// Returns the newest request of each workspace in a tier, unless it is a parked one.
    pub fn newest_by_workspace(&self, rank: u8) -> Vec<Ticket> {
        let flows = self.tiers.get(&rank).into_iter().flat_map(|tier| tier.flows.values());
        let mut tickets: Vec<_> = flows.filter_map(|flow| Some(flow.newest()?.ticket)).collect();
        tickets.sort_unstable();
        tickets
    }

    /// Returns the newest request of all tiers.
    pub fn newest_of_all(&self) -> Option<Ticket> {
        let flows = self.tiers.values().flat_map(|tier| tier.flows.values());
        let newest = flows.filter_map(Flow::newest);
        Some(newest.max_by_key(|waiting| waiting.order_key)?.ticket)
    }

    /// Returns the seconds of work until a request is served, its own included.
    ///
    /// Higher tiers and overdue parked requests are served first. Within its tier, a workspace
    /// waits no longer than its own work takes at its share.
    pub fn seconds_ahead(&self, waiting: &WaitingRequest) -> f64 {
        let rank = waiting.request.rank;
        let higher: f64 = self.tiers.range(..rank).map(|(_, tier)| tier.seconds).sum();
        let overdue: f64 = self.overdue.values().map(|waiting| waiting.seconds).sum();
        let own = self.tiers.get(&rank).map_or(0.0, |tier| {
            let Some(flow) = tier.flows.get(&waiting.request.workspace) else { return 0.0 };
            let active = tier.ring.iter().map(|workspace| tier.flows[workspace].weight);
            let weights: f64 = active.sum();
            (flow.seconds * weights / flow.weight).min(tier.seconds)
        });
        higher + overdue + own
    }

    /// Returns the number of requests of `rank` and higher tiers that wait for a slot.
    ///
    /// Long prefills of ranks from `skip_long_from` on are not counted, since they do not wait for
    /// a slot. Of each tier at most `long_limit` long prefills are counted, since no more can start
    /// at once.
    pub fn waiting_up_to(&self, rank: u8, skip_long_from: Option<u8>, long_limit: usize) -> usize {
        let tiers = self.tiers.range(..=rank);
        let counts = tiers.map(|(rank, tier)| {
            let with_long = skip_long_from.is_none_or(|from| *rank < from);
            tier.short + if with_long { tier.long.min(long_limit) } else { 0 }
        });
        counts.sum()
    }

    /// Returns the ranks, from `rank` on, with a long prefill that no longer yields to short
    /// requests.
    pub fn urgent_from(&self, now: Duration, rank: u8) -> impl Iterator<Item = u8> {
        let tiers = self.tiers.range(rank..);
        let urgent = tiers.filter(move |(_, tier)| {
            tier.urgent_times.first().is_some_and(|(urgent_at, _)| *urgent_at <= now)
        });
        urgent.map(|(rank, _)| *rank)
    }

    /// Returns whether a request of a lower tier is queued.
    pub fn has_waiting_below(&self, rank: u8) -> bool {
        let (from, to) = (Bound::Excluded(rank), Bound::Unbounded);
        self.tiers.range((from, to)).any(|(_, tier)| !tier.is_empty())
    }

    /// Returns the number of long prefills queued in tiers above `rank`.
    pub fn long_prefills_above(&self, rank: u8) -> usize {
        self.tiers.range(..rank).map(|(_, tier)| tier.long).sum()
    }

    /// Returns the ranks of the tiers with queued requests, highest tier first. Overdue parked
    /// requests do not count.
    pub fn ranks(&self) -> Vec<u8> {
        let waiting = self.tiers.iter().filter(|(_, tier)| !tier.is_empty());
        waiting.map(|(rank, _)| *rank).collect()
    }

    /// Returns the number of queued requests of a tier, without overdue parked ones.
    pub fn tier_len(&self, rank: u8) -> usize {
        self.tiers.get(&rank).map_or(0, |tier| tier.short + tier.long)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns the number of queued requests that are new, not parked.
    pub fn new_len(&self) -> usize {
        self.tiers.values().map(|tier| tier.new_requests).sum()
    }

    /// Returns the expected service seconds of the queued requests, without overdue parked ones.
    pub fn seconds(&self) -> f64 {
        self.tiers.values().map(|tier| tier.seconds).sum()
    }
}

fn head(waiting: &WaitingRequest, overdue: bool) -> Head {
    Head { ticket: waiting.ticket, rank: waiting.request.rank, overdue, long: waiting.long }
}
