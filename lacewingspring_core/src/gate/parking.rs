//! Index of running work that can be parked, least loss first.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::work::Ticket;

/// Time after which an unanswered order to park is repeated.
const PARK_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How many times less is lost by parking once the KV cache can be exported.
const EXPORT_LOSS_DIVISOR: u64 = 20;

/// Order in which running work is parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkKey {
    /// Rank of the tier; the lowest tier comes first.
    pub rank: Reverse<u8>,
    /// Prefill that would be lost, in microseconds of its upstream.
    pub loss_us: u64,
    /// Ticket of the run.
    pub ticket: Ticket,
}

impl ParkKey {
    /// Returns the key of the run once its prefill has ended and its KV cache can be exported.
    pub fn after_prefill(self) -> Self {
        Self { loss_us: self.loss_us / EXPORT_LOSS_DIVISOR, ..self }
    }
}

/// Running work that can be parked, and orders to park that are not carried out yet.
#[derive(Debug, Default)]
pub(super) struct ParkIndex {
    candidates: BTreeSet<ParkKey>,
    last_resort: BTreeSet<ParkKey>,
    pending: HashMap<Ticket, Duration>,
}

impl ParkIndex {
    /// Adds running work. Work that is set aside is parked only to save a refusal.
    pub fn insert(&mut self, key: ParkKey, last_resort: bool) {
        let set = if last_resort { &mut self.last_resort } else { &mut self.candidates };
        set.insert(key);
    }

    /// Removes work that ended.
    pub fn remove(&mut self, key: ParkKey) {
        self.candidates.remove(&key);
        self.last_resort.remove(&key);
        self.pending.remove(&key.ticket);
    }

    /// Sets a candidate aside, or takes it back.
    pub fn set_last_resort(&mut self, key: ParkKey, last_resort: bool) {
        if self.candidates.remove(&key) || self.last_resort.remove(&key) {
            self.insert(key, last_resort);
        }
    }

    /// Replaces the key of a candidate; false when it is none.
    pub fn replace(&mut self, key: ParkKey, new: ParkKey) -> bool {
        let set = if self.candidates.remove(&key) {
            &mut self.candidates
        } else if self.last_resort.remove(&key) {
            &mut self.last_resort
        } else {
            return false;
        };
        set.insert(new)
    }

    /// Returns the candidates below `rank`, least loss first.
    pub fn all_below(&self, rank: u8) -> impl Iterator<Item = &ParkKey> {
        self.candidates.range(first_key(u8::MAX)..first_key(rank))
    }

    /// Returns the runs that were told to park.
    pub fn pending(&self) -> impl Iterator<Item = &Ticket> {
        self.pending.keys()
    }

    /// Returns the candidate below `rank` with the least loss.
    pub fn first_below(&self, rank: u8, with_last_resort: bool) -> Option<ParkKey> {
        let range = first_key(u8::MAX)..first_key(rank);
        let last_resort =
            with_last_resort.then(|| self.last_resort.range(range.clone()).next()).flatten();
        self.candidates.range(range).next().or(last_resort).copied()
    }

    /// Moves a candidate to the orders.
    pub fn mark_pending(&mut self, now: Duration, key: ParkKey) {
        self.remove(key);
        self.pending.insert(key.ticket, now);
    }

    /// Returns the number of orders that are not carried out yet.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an order to park the ticket stands.
    pub fn is_pending(&self, ticket: Ticket) -> bool {
        self.pending.contains_key(&ticket)
    }

    /// Returns the tickets whose order is to be repeated, as its first message may be lost.
    pub fn due_repeats(&mut self, now: Duration) -> Vec<Ticket> {
        let mut due = Vec::new();
        for (ticket, at) in &mut self.pending {
            if now.saturating_sub(*at) >= PARK_REPEAT_INTERVAL {
                *at = now;
                due.push(*ticket);
            }
        }
        due.sort_unstable();
        due
    }
}

/// Returns the key before all others of a rank.
fn first_key(rank: u8) -> ParkKey {
    ParkKey { rank: Reverse(rank), loss_us: 0, ticket: Ticket(0) }
}
