//! Proven fingerprints: those of which a run completed recently.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{FingerprintId, PoisonConfig};

/// Set of proven fingerprints, bounded in age and number.
#[derive(Debug)]
pub(super) struct Proven {
    ttl: Duration,
    max: usize,
    expires_at: HashMap<FingerprintId, Duration>,
    order: VecDeque<(Duration, FingerprintId)>,
}

impl Proven {
    pub(super) fn new(cfg: &PoisonConfig) -> Self {
        let (ttl, max) = (cfg.proven_ttl, cfg.max_proven);
        Self { ttl, max, expires_at: HashMap::new(), order: VecDeque::new() }
    }

    pub(super) fn insert(&mut self, now: Duration, id: FingerprintId) {
        let expires_at = now + self.ttl;
        self.expires_at.insert(id, expires_at);
        self.order.push_back((expires_at, id));
        while self.order.len() > self.max || self.is_oldest_expired(now) {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, id: FingerprintId) {
        self.expires_at.remove(&id);
    }

    pub(super) fn contains(&self, now: Duration, id: FingerprintId) -> bool {
        self.expires_at.get(&id).is_some_and(|expires_at| *expires_at > now)
    }

    fn is_oldest_expired(&self, now: Duration) -> bool {
        self.order.front().is_some_and(|(expires_at, _)| *expires_at <= now)
    }

    /// Drops the oldest insertion. The fingerprint stays if it has been inserted again since.
    fn drop_oldest(&mut self) {
        let Some((expires_at, id)) = self.order.pop_front() else { return };
        if self.expires_at.get(&id) == Some(&expires_at) {
            self.expires_at.remove(&id);
        }
    }
}
