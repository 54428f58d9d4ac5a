//! Index of running work that can be parked, least loss first.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::work::Ticket;

/// Time after which an unanswered order to park is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// Order in which running work is parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkKey {
    /// Work whose deadline passed while parked is parked again only to save a refusal.
    pub overdue: bool,
    /// Rank of the tier; the lowest tier comes first.
    pub rank: Reverse<u8>,
    /// Prefill that would be lost, in microseconds of its upstream.
    pub loss_us: u64,
    /// Ticket of the run.
    pub ticket: Ticket,
}

/// Running work that can be parked, and orders to park that are not carried out yet.
#[derive(Debug, Default)]
pub(super) struct ParkIndex {
    candidates: BTreeSet<ParkKey>,
    ordered: HashMap<Ticket, Duration>,
}

impl ParkIndex {
    /// Adds running work.
    pub fn insert(&mut self, key: ParkKey) {
        self.candidates.insert(key);
    }

    /// Removes work that ended.
    pub fn remove(&mut self, key: ParkKey) {
        self.candidates.remove(&key);
        self.ordered.remove(&key.ticket);
    }

    /// Returns the candidates below `rank`, least loss first.
    pub fn below(&self, rank: u8, with_overdue: bool) -> impl Iterator<Item = &ParkKey> {
        let in_time = self.candidates.range(first_key(false, u8::MAX)..first_key(false, rank));
        let overdue = self.candidates.range(first_key(true, u8::MAX)..first_key(true, rank));
        in_time.chain(overdue.filter(move |_| with_overdue))
    }

    /// Moves a candidate to the orders.
    pub fn order(&mut self, now: Duration, key: ParkKey) {
        self.candidates.remove(&key);
        self.ordered.insert(key.ticket, now);
    }

    /// Returns the number of orders that are not carried out yet.
    pub fn ordered_len(&self) -> usize {
        self.ordered.len()
    }

    /// Returns whether an order to park the ticket stands.
    pub fn is_ordered(&self, ticket: Ticket) -> bool {
        self.ordered.contains_key(&ticket)
    }

    /// Returns the tickets whose order is to be repeated, as its first message may be lost.
    pub fn repeats(&mut self, now: Duration) -> Vec<Ticket> {
        let mut due = Vec::new();
        for (ticket, at) in &mut self.ordered {
            if now.saturating_sub(*at) >= REPEAT_AFTER {
                *at = now;
                due.push(*ticket);
            }
        }
        due.sort_unstable();
        due
    }
}

/// Returns the key before all others of a rank.
fn first_key(overdue: bool, rank: u8) -> ParkKey {
    ParkKey { overdue, rank: Reverse(rank), loss_us: 0, ticket: Ticket(0) }
}
