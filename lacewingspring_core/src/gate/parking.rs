//! Index of running work that can be parked, least loss first.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::work::Ticket;

/// Time after which an unanswered order to park is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// How many times less is lost by parking once the KV cache can be exported.
const EXPORT_GAIN: u64 = 20;

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
        Self { loss_us: self.loss_us / EXPORT_GAIN, ..self }
    }
}

/// Running work that can be parked, and orders to park that are not carried out yet.
#[derive(Debug, Default)]
pub(super) struct ParkIndex {
    candidates: BTreeSet<ParkKey>,
    aside: BTreeSet<ParkKey>,
    ordered: HashMap<Ticket, Duration>,
}

impl ParkIndex {
    /// Adds running work. Work that is set aside is parked only to save a refusal.
    pub fn insert(&mut self, key: ParkKey, aside: bool) {
        let set = if aside { &mut self.aside } else { &mut self.candidates };
        set.insert(key);
    }

    /// Removes work that ended.
    pub fn remove(&mut self, key: ParkKey) {
        self.candidates.remove(&key);
        self.aside.remove(&key);
        self.ordered.remove(&key.ticket);
    }

    /// Sets a candidate aside, or takes it back.
    pub fn set_aside(&mut self, key: ParkKey, aside: bool) {
        if self.candidates.remove(&key) || self.aside.remove(&key) {
            self.insert(key, aside);
        }
    }

    /// Replaces the key of a candidate; false when it is none.
    pub fn replace(&mut self, key: ParkKey, new: ParkKey) -> bool {
        let set = if self.candidates.remove(&key) {
            &mut self.candidates
        } else if self.aside.remove(&key) {
            &mut self.aside
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
    pub fn ordered(&self) -> impl Iterator<Item = &Ticket> {
        self.ordered.keys()
    }

    /// Returns the candidate below `rank` with the least loss.
    pub fn below(&self, rank: u8, to_save_refusal: bool) -> Option<ParkKey> {
        let range = first_key(u8::MAX)..first_key(rank);
        let aside = to_save_refusal.then(|| self.aside.range(range.clone()).next()).flatten();
        self.candidates.range(range).next().or(aside).copied()
    }

    /// Moves a candidate to the orders.
    pub fn order(&mut self, now: Duration, key: ParkKey) {
        self.remove(key);
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
fn first_key(rank: u8) -> ParkKey {
    ParkKey { rank: Reverse(rank), loss_us: 0, ticket: Ticket(0) }
}
