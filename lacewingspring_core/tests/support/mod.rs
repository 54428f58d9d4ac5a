//! Simulated network in virtual time, with message loss, delay and one-way cuts.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// SplitMix64 random number generator, for reproducible schedules.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A message in flight.
pub struct Delivery<M> {
    pub at: Duration,
    pub from: usize,
    pub to: usize,
    pub message: M,
}

/// Network between numbered nodes.
pub struct Wire<M> {
    pub rng: Rng,
    pub loss_percent: u64,
    pub delay: Duration,
    /// Upper bound of the random delay added to `delay`.
    pub jitter: Duration,
    /// Pairs of sender and receiver whose messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Duration, u64), Delivery<M>>,
    sent: u64,
}

impl<M> Wire<M> {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng(seed),
            loss_percent: 0,
            delay: Duration::from_millis(2),
            jitter: Duration::from_millis(2),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
        }
    }

    pub fn send(&mut self, now: Duration, from: usize, to: usize, message: M) {
        if self.cuts.contains(&(from, to)) || self.rng.chance(self.loss_percent) {
            return;
        }
        self.sent += 1;
        let jitter = self.rng.below(self.jitter.as_micros() as u64 + 1);
        let at = now + self.delay + Duration::from_micros(jitter);
        self.queue.insert((at, self.sent), Delivery { at, from, to, message });
    }

    /// Removes and returns the next message that is due at `until` or earlier.
    pub fn next_until(&mut self, until: Duration) -> Option<Delivery<M>> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= until).then(|| entry.remove())
    }
}
