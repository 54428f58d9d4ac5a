//! Index of the runs that can be parked, least loss first.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::work::Ticket;

/// Time after which an unanswered order to park is repeated.
const PARK_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Divisor of the loss by parking once the KV cache of the run can be exported.
const EXPORT_LOSS_DIVISOR: u64 = 20;

/// Sort key of the runs that can be parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkKey {
    /// Rank of the tier; the lowest tier sorts first.
    pub rank: Reverse<u8>,
    /// Prefill time that parking would lose, in microseconds on its upstream.
    pub loss_us: u64,
    /// Ticket of the run.
    pub ticket: Ticket,
}

impl ParkKey {
    /// Returns the key of the run after its prefill, when its KV cache can be exported.
    pub fn after_prefill(self) -> Self {
        Self { loss_us: self.loss_us / EXPORT_LOSS_DIVISOR, ..self }
    }
}

/// Runs that can be parked, and orders to park that are still pending.
#[derive(Debug, Default)]
pub(super) struct ParkIndex {
    candidates: BTreeSet<ParkKey>,
    last_resort: BTreeSet<ParkKey>,
    pending: HashMap<Ticket, Duration>,
}

impl ParkIndex {
    /// Adds a run. A last-resort run is parked only to avoid a refusal.
    pub fn insert(&mut self, key: ParkKey, last_resort: bool) {
        let set = if last_resort { &mut self.last_resort } else { &mut self.candidates };
        set.insert(key);
    }

    /// Removes a run that ended.
    pub fn remove(&mut self, key: ParkKey) {
        self.candidates.remove(&key);
        self.last_resort.remove(&key);
        self.pending.remove(&key.ticket);
    }

    /// Makes a candidate a last resort, or a regular candidate again.
    pub fn set_last_resort(&mut self, key: ParkKey, last_resort: bool) {
        if self.candidates.remove(&key) || self.last_resort.remove(&key) {
            self.insert(key, last_resort);
        }
    }

    /// Replaces the key of a candidate; returns false if it is not one.
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

    /// Returns the regular candidates below `rank`, least loss first.
    pub fn all_below(&self, rank: u8) -> impl Iterator<Item = &ParkKey> {
        self.candidates.range(first_key(u8::MAX)..first_key(rank))
    }

    /// Returns the runs with a pending order to park.
    pub fn pending(&self) -> impl Iterator<Item = &Ticket> {
        self.pending.keys()
    }

    /// Returns the candidate below `rank` with the least loss; last-resort ones only if allowed.
    pub fn first_below(&self, rank: u8, with_last_resort: bool) -> Option<ParkKey> {
        let range = first_key(u8::MAX)..first_key(rank);
        let last_resort =
            with_last_resort.then(|| self.last_resort.range(range.clone()).next()).flatten();
        self.candidates.range(range).next().or(last_resort).copied()
    }

    /// Removes a candidate and records a pending order to park it.
    pub fn mark_pending(&mut self, now: Duration, key: ParkKey) {
        self.remove(key);
        self.pending.insert(key.ticket, now);
    }

    /// Returns the number of pending orders to park.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an order to park the ticket is pending.
    pub fn is_pending(&self, ticket: Ticket) -> bool {
        self.pending.contains_key(&ticket)
    }

    /// Returns the tickets whose order to park is to be sent again, since a message may be lost.
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

/// Returns the smallest key of a rank.
fn first_key(rank: u8) -> ParkKey {
    ParkKey { rank: Reverse(rank), loss_us: 0, ticket: Ticket(0) }
}
