//! Remembers refused requests, to recognise them when their callers retry.
//!
//! The time of a caller counts from its first attempt. A retry whose latency target has passed is
//! served only if there is room beside the requests that can still be on time.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Largest number of requests that are remembered.
const MAX_REMEMBERED: usize = 8_192;

/// Time from its first refusal until a request may be forgotten, which happens when the next
/// request is refused.
const REFUSAL_RETENTION: Duration = Duration::from_secs(15);

/// Refused requests by fingerprint.
#[derive(Debug, Default)]
pub(super) struct RefusalHistory {
    /// Time at which the latency target of each request passes.
    late_at: HashMap<u64, Duration>,
    /// Time of the first refusal and fingerprint of each request, oldest first.
    order: VecDeque<(Duration, u64)>,
}

impl RefusalHistory {
    /// Remembers a refused request whose latency target passes at `late_at`.
    pub fn record(&mut self, now: Duration, fingerprint: u64, late_at: Duration) {
        self.remove_expired(now);
        if self.late_at.insert(fingerprint, late_at).is_none() {
            self.order.push_back((now, fingerprint));
        }
    }

    /// Returns the time at which the latency target of a request passes, if it was refused before.
    pub fn late_at(&self, fingerprint: u64) -> Option<Duration> {
        self.late_at.get(&fingerprint).copied()
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some((at, fingerprint)) = self.order.front() {
            if self.order.len() < MAX_REMEMBERED && *at + REFUSAL_RETENTION > now {
                return;
            }
            self.late_at.remove(fingerprint);
            self.order.pop_front();
        }
    }
}
