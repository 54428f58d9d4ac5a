//! Fingerprints that have run whole.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{FingerprintId, PoisonConfig};

/// Fingerprints that have run whole lately.
#[derive(Debug)]
pub(super) struct Proven {
    keep: Duration,
    max: usize,
    until: HashMap<FingerprintId, Duration>,
    order: VecDeque<(Duration, FingerprintId)>,
}

impl Proven {
    pub(super) fn new(cfg: &PoisonConfig) -> Self {
        let (keep, max) = (cfg.proven_ttl, cfg.max_proven);
        Self { keep, max, until: HashMap::new(), order: VecDeque::new() }
    }

    pub(super) fn insert(&mut self, now: Duration, id: FingerprintId) {
        let until = now + self.keep;
        self.until.insert(id, until);
        self.order.push_back((until, id));
        while self.order.len() > self.max || self.is_oldest_due(now) {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, id: FingerprintId) {
        self.until.remove(&id);
    }

    pub(super) fn contains(&self, now: Duration, id: FingerprintId) -> bool {
        self.until.get(&id).is_some_and(|until| *until > now)
    }

    fn is_oldest_due(&self, now: Duration) -> bool {
        self.order.front().is_some_and(|(until, _)| *until <= now)
    }

    /// Drops the oldest insertion, unless the fingerprint has been inserted again since.
    fn drop_oldest(&mut self) {
        let Some((until, id)) = self.order.pop_front() else { return };
        if self.until.get(&id) == Some(&until) {
            self.until.remove(&id);
        }
    }
}
