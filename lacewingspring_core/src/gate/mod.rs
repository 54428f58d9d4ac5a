//! Gate of one engine pool in one data centre.
//!
//! The gate knows exactly what runs on each upstream of its pool and holds the queue before them,
//! because upstreams know no tiers. It grants permits, evicts waiting work, and parks running work
//! of lower tiers when a higher tier would otherwise wait.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    error::ErrorKind,
    names::{UpstreamName, WorkspaceName},
    resources::UpstreamSpec,
};

/// Waiting requests that a gate holds at most for each slot of its upstreams.
const QUEUE_PER_SLOT: usize = 8;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Names one request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Work of one request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens expected.
    pub output_tokens: u32,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Rank of the tier; 0 is served first.
    pub rank: u8,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// Weight of the workspace within its tier.
    pub weight: u32,
    /// Work of the request.
    pub cost: Cost,
    /// Longest wait in the queue.
    pub max_wait: Duration,
    /// Whether the run can be parked.
    pub parkable: bool,
}

/// What the gate decided for a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may run on the upstream.
    Granted(Ticket, UpstreamName),
    /// The request is given up, with when to come back.
    Refused(Ticket, ErrorKind, Duration),
    /// The running request is to be parked and asked for again.
    Park(Ticket),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    ask: Ask,
    deadline: Duration,
}

#[derive(Debug)]
struct Running {
    ask: Ask,
    upstream: UpstreamName,
    parking: bool,
}

#[derive(Debug)]
struct Upstream {
    spec: UpstreamSpec,
    running: u32,
}

impl Upstream {
    fn free(&self) -> u32 {
        if self.spec.leaving { 0 } else { self.spec.slots.saturating_sub(self.running) }
    }

    /// Seconds that the work would take on this upstream at its present load.
    fn seconds(&self, cost: Cost) -> f64 {
        let prefill = f64::from(cost.prompt_tokens) / self.spec.prefill_tokens_per_second;
        let decode = f64::from(cost.output_tokens) * self.spec.decode_ms / 1_000.0;
        let load = f64::from(self.running) / f64::from(self.spec.slots.max(1));
        (prefill + decode) * (1.0 + load)
    }
}

/// Gate of one engine pool in one data centre.
#[derive(Debug, Default)]
pub struct Gate {
    upstreams: BTreeMap<UpstreamName, Upstream>,
    waiting: BTreeMap<u8, VecDeque<Waiting>>,
    running: HashMap<Ticket, Running>,
}

impl Gate {
    /// Creates a gate for the upstreams of its pool.
    pub fn new<I>(upstreams: I) -> Self
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        let mut gate = Self::default();
        gate.set_upstreams(upstreams);
        gate
    }

    /// Replaces the declared upstreams; work that runs on them stays counted.
    pub fn set_upstreams<I>(&mut self, upstreams: I)
    where
        I: IntoIterator<Item = UpstreamSpec>,
    {
        self.upstreams = upstreams
            .into_iter()
            .map(|spec| (spec.name.clone(), Upstream { spec, running: 0 }))
            .collect();
        for running in self.running.values() {
            if let Some(upstream) = self.upstreams.get_mut(&running.upstream) {
                upstream.running += 1;
            }
        }
    }

    /// Takes a request for a permit.
    pub fn ask(&mut self, now: Duration, ticket: Ticket, ask: Ask) -> Vec<Decision> {
        let deadline = now + ask.max_wait;
        let rank = ask.rank;
        self.waiting.entry(rank).or_default().push_back(Waiting { ticket, ask, deadline });
        let mut decisions = self.grant_all();
        self.evict_excess(&mut decisions);
        self.park_for_waiting(&mut decisions);
        decisions
    }

    /// Counts a permit that an earlier holder of this role granted.
    pub fn adopt(&mut self, ticket: Ticket, ask: Ask, upstream: UpstreamName) {
        if let Some(known) = self.upstreams.get_mut(&upstream) {
            known.running += 1;
        }
        self.running.insert(ticket, Running { ask, upstream, parking: false });
    }

    /// Ends a ticket: its run ended, was parked, or its caller no longer waits.
    pub fn release(&mut self, ticket: Ticket) -> Vec<Decision> {
        if let Some(running) = self.running.remove(&ticket) {
            if let Some(upstream) = self.upstreams.get_mut(&running.upstream) {
                upstream.running = upstream.running.saturating_sub(1);
            }
        } else {
            self.forget_waiting(ticket);
        }
        self.grant_all()
    }

    /// Refuses what has waited too long.
    pub fn tick(&mut self, now: Duration) -> Vec<Decision> {
        let retry_after = self.retry_after();
        let mut decisions = Vec::new();
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| {
                let keep = waiting.deadline > now;
                if !keep {
                    let kind = ErrorKind::DeadlineExceeded;
                    decisions.push(Decision::Refused(waiting.ticket, kind, retry_after));
                }
                keep
            });
        }
        decisions
    }

    /// Returns the number of requests that wait.
    pub fn waiting_len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns the number of permits in use.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    fn grant_all(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(decision) = self.grant_next() {
            decisions.push(decision);
        }
        decisions
    }

    fn grant_next(&mut self) -> Option<Decision> {
        let rank = *self.waiting.iter().find(|(_, queue)| !queue.is_empty())?.0;
        let cost = self.waiting[&rank].front()?.ask.cost;
        let name = self.best_upstream(cost)?;
        let waiting = self.waiting.get_mut(&rank)?.pop_front()?;
        self.upstreams.get_mut(&name)?.running += 1;
        let running = Running { ask: waiting.ask, upstream: name.clone(), parking: false };
        self.running.insert(waiting.ticket, running);
        Some(Decision::Granted(waiting.ticket, name))
    }

    fn best_upstream(&self, cost: Cost) -> Option<UpstreamName> {
        let open = self.upstreams.values().filter(|upstream| upstream.free() > 0);
        let best = open.min_by(|a, b| a.seconds(cost).total_cmp(&b.seconds(cost)))?;
        Some(best.spec.name.clone())
    }

    fn evict_excess(&mut self, decisions: &mut Vec<Decision>) {
        let slots: u32 = self.upstreams.values().map(|upstream| upstream.spec.slots).sum();
        let limit = slots as usize * QUEUE_PER_SLOT;
        while self.waiting_len() > limit {
            let retry_after = self.retry_after();
            let Some(waiting) = self.pop_lowest() else { return };
            let kind = if slots == 0 { ErrorKind::NoUpstream } else { ErrorKind::Overloaded };
            decisions.push(Decision::Refused(waiting.ticket, kind, retry_after));
        }
    }

    fn pop_lowest(&mut self) -> Option<Waiting> {
        self.waiting.values_mut().rev().find_map(VecDeque::pop_back)
    }

    fn park_for_waiting(&mut self, decisions: &mut Vec<Decision>) {
        let parking = self.running.values().filter(|running| running.parking).count();
        let Some((rank, waiting)) = self.waiting.iter().find(|(_, queue)| !queue.is_empty()) else {
            return;
        };
        if waiting.len() <= parking {
            return;
        }
        let lower = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.ask.rank > *rank && run.ask.parkable && !run.parking);
        let Some((ticket, run)) = lower.max_by_key(|(ticket, run)| (run.ask.rank, **ticket)) else {
            return;
        };
        run.parking = true;
        decisions.push(Decision::Park(*ticket));
    }

    fn forget_waiting(&mut self, ticket: Ticket) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.ticket != ticket);
        }
    }

    fn retry_after(&self) -> Duration {
        let slots: u32 = self.upstreams.values().map(|upstream| upstream.spec.slots).sum();
        let waiting = self.waiting_len() as f64;
        let seconds = waiting / f64::from(slots.max(1));
        MIN_RETRY_AFTER + Duration::from_secs_f64(seconds)
    }
}
