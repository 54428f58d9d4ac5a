//! Requests that were refused, so that they are known when their callers come back.
//!
//! A caller counts its time from its first attempt. One that comes back late is served when there
//! is room beside those that can still be on time.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Requests that are remembered at most.
const MOST_KNOWN: usize = 8_192;

/// Time for which a refused request is remembered after it may come back.
const MEMORY: Duration = Duration::from_secs(15);

/// Refused requests by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// Time from which each is late.
    late_at: HashMap<u64, Duration>,
    order: VecDeque<(Duration, u64)>,
}

impl Returns {
    /// Remembers a refused request that is late from `late_at` on.
    pub fn refused(&mut self, now: Duration, fingerprint: u64, late_at: Duration) {
        self.forget(now);
        if self.late_at.insert(fingerprint, late_at).is_none() {
            self.order.push_back((now, fingerprint));
        }
    }

    /// Returns from when on a request is late, if it was refused before.
    pub fn late_at(&self, fingerprint: u64) -> Option<Duration> {
        self.late_at.get(&fingerprint).copied()
    }

    fn forget(&mut self, now: Duration) {
        while let Some((at, fingerprint)) = self.order.front() {
            if self.order.len() < MOST_KNOWN && *at + MEMORY > now {
                return;
            }
            self.late_at.remove(fingerprint);
            self.order.pop_front();
        }
    }
}
