//! Waiting requests: tiers, and deficit round robin over the workspaces of a tier.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    ops::Bound,
    time::Duration,
};

use super::work::{PermitRequest, Ticket};
use crate::names::WorkspaceName;

/// Seconds of work that a workspace of weight 1 is given in one round.
const QUANTUM_SECONDS: f64 = 0.1;

/// Place in a line: parked work first, then in the order of first arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// Whether the request is new, not parked.
    pub fresh: bool,
    /// Order of first arrival.
    pub sequence: u64,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiting {
    /// Its ticket.
    pub ticket: Ticket,
    /// What it asked for.
    pub ask: PermitRequest,
    /// Place in its line.
    pub place: Place,
    /// Time until which it waits.
    pub deadline: Duration,
    /// Expected service time on a typical upstream of the gate.
    pub seconds: f64,
    /// Whether its prefill is long.
    pub long: bool,
    /// Time from which its long prefill yields to short work no more.
    pub press_at: Duration,
}

/// Line of a workspace; long prefills stand in a line of their own, so that short work never
/// stands behind them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Line {
    Short,
    Long,
}

/// Where a waiting request stands.
#[derive(Clone, Debug)]
struct Position {
    lane: Lane,
    line: Line,
    place: Place,
}

/// Group of requests that share one order.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Lane {
    /// Parked requests whose deadline passed.
    Overdue,
    /// Requests of a workspace in a tier.
    Flow(u8, WorkspaceName),
}

/// A request at the head of a lane.
#[derive(Clone, Debug)]
pub(super) struct Head {
    /// Its ticket.
    pub ticket: Ticket,
    /// Rank of its tier.
    pub rank: u8,
    /// Whether it is parked work whose deadline passed.
    pub overdue: bool,
    /// Whether its prefill is long.
    pub long: bool,
}

/// Waiting requests of one workspace in a tier.
#[derive(Debug)]
struct Flow {
    weight: f64,
    deficit: f64,
    busy_period: u64,
    short: BTreeMap<Place, Waiting>,
    long: BTreeMap<Place, Waiting>,
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

    fn line_mut(&mut self, line: Line) -> &mut BTreeMap<Place, Waiting> {
        match line {
            Line::Short => &mut self.short,
            Line::Long => &mut self.long,
        }
    }

    fn head(&self, with_long: bool) -> Option<&Waiting> {
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

    fn newest(&self) -> Option<&Waiting> {
        let short = self.short.last_key_value();
        let long = self.long.last_key_value();
        let last = short.into_iter().chain(long).max_by_key(|(place, _)| **place)?;
        Some(last.1).filter(|waiting| waiting.place.fresh)
    }

    fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }
}

/// Waiting requests of one tier.
#[derive(Debug, Default)]
struct Tier {
    flows: HashMap<WorkspaceName, Flow>,
    ring: VecDeque<WorkspaceName>,
    busy_period: u64,
    seconds: f64,
    fresh: usize,
    short: usize,
    long: usize,
    press_times: BTreeSet<(Duration, Ticket)>,
}

impl Tier {
    /// Returns the request that is next by deficit round robin.
    fn next(&mut self, with_long: bool) -> Option<&Waiting> {
        let workspace = loop {
            if let Some(workspace) = self.rotate(with_long) {
                break workspace;
            }
            // Rounding may leave a deficit of zero, which one more round makes positive.
            self.refill(with_long)?;
        };
        self.flows.get(&workspace)?.head(with_long)
    }

    /// Turns the ring to the first workspace that may be served.
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

    /// Gives every workspace its quantum, as many rounds at once as one of them needs.
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

    /// Returns the request that came first, whatever its workspace.
    fn first(&self, with_long: bool) -> Option<&Waiting> {
        let heads = self.flows.values().filter_map(|flow| flow.head(with_long));
        heads.min_by_key(|waiting| waiting.place)
    }

    /// Returns the newest request of the workspace that holds the most work for its weight.
    fn newest_of_largest(&self) -> Option<&Waiting> {
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

/// Waiting requests of a gate.
#[derive(Debug, Default)]
pub(super) struct Queue {
    tiers: BTreeMap<u8, Tier>,
    overdue: BTreeMap<Place, Waiting>,
    positions: HashMap<Ticket, Position>,
    deadlines: BTreeSet<(Duration, Ticket)>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let line = if waiting.long { Line::Long } else { Line::Short };
        let lane = Lane::Flow(waiting.ask.rank, waiting.ask.workspace.clone());
        let position = Position { lane, line, place: waiting.place };
        self.positions.insert(waiting.ticket, position);
        self.deadlines.insert((waiting.deadline, waiting.ticket));
        let tier = self.tiers.entry(waiting.ask.rank).or_default();
        tier.seconds += waiting.seconds;
        tier.fresh += usize::from(waiting.place.fresh);
        match line {
            Line::Short => tier.short += 1,
            Line::Long => {
                tier.long += 1;
                tier.press_times.insert((waiting.press_at, waiting.ticket));
            }
        }
        if !tier.flows.contains_key(&waiting.ask.workspace) {
            tier.flows.insert(waiting.ask.workspace.clone(), Flow::new(waiting.ask.weight));
        }
        let Some(flow) = tier.flows.get_mut(&waiting.ask.workspace) else { return };
        if flow.is_empty() {
            tier.ring.push_back(waiting.ask.workspace.clone());
            if flow.busy_period != tier.busy_period {
                // The tier was idle since, so no workspace is owed anything.
                flow.busy_period = tier.busy_period;
                flow.deficit = 0.0;
            }
        }
        flow.weight = f64::from(waiting.ask.weight.max(1));
        flow.seconds += waiting.seconds;
        flow.line_mut(line).insert(waiting.place, waiting);
    }

    /// Moves a parked request whose deadline passed ahead of all others.
    pub fn promote(&mut self, ticket: Ticket) {
        let Some(waiting) = self.remove(ticket) else { return };
        let place = waiting.place;
        let position = Position { lane: Lane::Overdue, line: Line::Short, place };
        self.positions.insert(ticket, position);
        self.overdue.insert(place, waiting);
    }

    /// Returns the first of the parked requests whose deadline passed.
    pub fn next_overdue(&self) -> Option<Head> {
        let (_, waiting) = self.overdue.first_key_value()?;
        Some(head(waiting, true))
    }

    /// Returns the next request of the highest tier that waits.
    ///
    /// Long prefills of ranks from `long_below` on are passed over.
    pub fn next(&mut self, fair: bool, long_below: Option<u8>) -> Option<Head> {
        for (rank, tier) in &mut self.tiers {
            let with_long = long_below.is_none_or(|blocked| *rank < blocked);
            let next = if fair { tier.next(with_long) } else { tier.first(with_long) };
            if let Some(waiting) = next {
                return Some(head(waiting, false));
            }
        }
        None
    }

    /// Removes a request; none when it does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let position = self.positions.remove(&ticket)?;
        let waiting = match &position.lane {
            Lane::Overdue => self.overdue.remove(&position.place)?,
            Lane::Flow(rank, workspace) => self.remove_from(*rank, workspace, &position)?,
        };
        self.deadlines.remove(&(waiting.deadline, ticket));
        Some(waiting)
    }

    fn remove_from(
        &mut self,
        rank: u8,
        workspace: &WorkspaceName,
        position: &Position,
    ) -> Option<Waiting> {
        let tier = self.tiers.get_mut(&rank)?;
        let flow = tier.flows.get_mut(workspace)?;
        let waiting = flow.line_mut(position.line).remove(&position.place)?;
        flow.seconds -= waiting.seconds;
        if flow.is_empty() {
            flow.seconds = 0.0;
            flow.deficit = flow.deficit.min(0.0);
            tier.ring.retain(|name| name != workspace);
        }
        tier.seconds -= waiting.seconds;
        tier.fresh -= usize::from(waiting.place.fresh);
        match position.line {
            Line::Short => tier.short -= 1,
            Line::Long => {
                tier.long -= 1;
                tier.press_times.remove(&(waiting.press_at, waiting.ticket));
            }
        }
        if tier.is_empty() {
            tier.busy_period += 1;
            tier.seconds = 0.0;
        }
        Some(waiting)
    }

    /// Charges a workspace for work that was granted, in seconds of the chosen upstream.
    pub fn charge(&mut self, rank: u8, workspace: &WorkspaceName, seconds: f64) {
        let tier = self.tiers.get_mut(&rank);
        if let Some(flow) = tier.and_then(|tier| tier.flows.get_mut(workspace)) {
            flow.deficit -= seconds;
        }
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        let position = self.positions.get(&ticket)?;
        match &position.lane {
            Lane::Overdue => self.overdue.get(&position.place),
            Lane::Flow(rank, workspace) => {
                let flow = self.tiers.get(rank)?.flows.get(workspace)?;
                match position.line {
                    Line::Short => flow.short.get(&position.place),
                    Line::Long => flow.long.get(&position.place),
                }
            }
        }
    }

    /// Returns whether a ticket waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.positions.contains_key(&ticket)
    }

    /// Returns the first request whose deadline passed.
    pub fn expired(&self, now: Duration) -> Option<Ticket> {
        let (deadline, ticket) = self.deadlines.first()?;
        (*deadline <= now && self.positions.contains_key(ticket)).then_some(*ticket)
    }

    /// Returns the lowest tier in which a new request waits.
    pub fn lowest_rank(&self) -> Option<u8> {
        let mut waiting = self.tiers.iter().rev().filter(|(_, tier)| tier.fresh > 0);
        waiting.next().map(|(rank, _)| *rank)
    }

    /// Returns the request of a tier that is given up first.
    pub fn victim(&self, rank: u8) -> Option<Ticket> {
        Some(self.tiers.get(&rank)?.newest_of_largest()?.ticket)
    }

    /// Returns the newest request of each workspace in a tier.
    pub fn newest(&self, rank: u8) -> Vec<Ticket> {
        let flows = self.tiers.get(&rank).into_iter().flat_map(|tier| tier.flows.values());
        let mut tickets: Vec<_> = flows.filter_map(|flow| Some(flow.newest()?.ticket)).collect();
        tickets.sort_unstable();
        tickets
    }

    /// Returns the newest of all requests.
    pub fn newest_of_all(&self) -> Option<Ticket> {
        let flows = self.tiers.values().flat_map(|tier| tier.flows.values());
        let newest = flows.filter_map(Flow::newest);
        Some(newest.max_by_key(|waiting| waiting.place)?.ticket)
    }

    /// Returns the seconds of work that the request waits for, itself included.
    ///
    /// Higher tiers come first; within the tier a workspace waits for no more than its own work
    /// takes at its share.
    pub fn seconds_ahead(&self, waiting: &Waiting) -> f64 {
        let rank = waiting.ask.rank;
        let higher: f64 = self.tiers.range(..rank).map(|(_, tier)| tier.seconds).sum();
        let overdue: f64 = self.overdue.values().map(|waiting| waiting.seconds).sum();
        let own = self.tiers.get(&rank).map_or(0.0, |tier| {
            let Some(flow) = tier.flows.get(&waiting.ask.workspace) else { return 0.0 };
            let active = tier.ring.iter().map(|workspace| tier.flows[workspace].weight);
            let weights: f64 = active.sum();
            (flow.seconds * weights / flow.weight).min(tier.seconds)
        });
        higher + overdue + own
    }

    /// Returns the number of requests of a tier and above that wait for a slot.
    ///
    /// Long prefills of ranks from `passed` on wait for something else, and no more than
    /// `long_limit` of a tier can start at once.
    pub fn waiting_up_to(&self, rank: u8, passed: Option<u8>, long_limit: usize) -> usize {
        let tiers = self.tiers.range(..=rank);
        let counts = tiers.map(|(rank, tier)| {
            let with_long = passed.is_none_or(|passed| *rank < passed);
            tier.short + if with_long { tier.long.min(long_limit) } else { 0 }
        });
        counts.sum()
    }

    /// Returns the ranks, from `rank` on, with a long prefill that yields to short work no more.
    pub fn pressing_from(&self, now: Duration, rank: u8) -> impl Iterator<Item = u8> {
        let tiers = self.tiers.range(rank..);
        let pressing = tiers.filter(move |(_, tier)| {
            tier.press_times.first().is_some_and(|(press_at, _)| *press_at <= now)
        });
        pressing.map(|(rank, _)| *rank)
    }

    /// Returns whether a request of a lower tier waits.
    pub fn waits_below(&self, rank: u8) -> bool {
        let (from, to) = (Bound::Excluded(rank), Bound::Unbounded);
        self.tiers.range((from, to)).any(|(_, tier)| !tier.is_empty())
    }

    /// Returns the number of long prefills that wait above a rank.
    pub fn long_above(&self, rank: u8) -> usize {
        self.tiers.range(..rank).map(|(_, tier)| tier.long).sum()
    }

    /// Returns the ranks of the tiers that wait, highest tier first.
    pub fn ranks(&self) -> Vec<u8> {
        let waiting = self.tiers.iter().filter(|(_, tier)| !tier.is_empty());
        waiting.map(|(rank, _)| *rank).collect()
    }

    /// Returns the number of requests that wait in a tier.
    pub fn tier_len(&self, rank: u8) -> usize {
        self.tiers.get(&rank).map_or(0, |tier| tier.short + tier.long)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of new requests that wait.
    pub fn fresh_len(&self) -> usize {
        self.tiers.values().map(|tier| tier.fresh).sum()
    }

    /// Returns the seconds of all waiting work.
    pub fn seconds(&self) -> f64 {
        self.tiers.values().map(|tier| tier.seconds).sum()
    }
}

fn head(waiting: &Waiting, overdue: bool) -> Head {
    Head { ticket: waiting.ticket, rank: waiting.ask.rank, overdue, long: waiting.long }
}
