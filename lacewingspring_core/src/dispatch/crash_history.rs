//! Remembers requests that crash the upstreams that run them, by fingerprint.

use std::{collections::HashMap, time::Duration};

use super::{
    broken_runs::BrokenRuns,
    crash_events::CRASH_DURATION,
    hand_over::{BlockedRequest, MAX_ENTRIES},
};
use crate::names::UpstreamName;

/// Number of consecutive crashes after which a request is blocked.
const MAX_CONSECUTIVE_CRASHES: u32 = 2;

/// Time after the last crash for which a fingerprint stays blocked.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// Number of recorded fingerprints at which expired ones are removed; more are still recorded.
const CLEANUP_THRESHOLD: usize = 4_096;

/// Consecutive crashes of one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    count: u32,
    last: Duration,
    /// Upstream of the last crash; `None` if an earlier gate counted it.
    upstream: Option<UpstreamName>,
}

impl CrashRecord {
    /// Returns the time for which the request stays blocked; `None` if it is not blocked.
    fn blocked_left(&self, now: Duration) -> Option<Duration> {
        let left = CRASH_RETENTION.saturating_sub(now.saturating_sub(self.last));
        (self.count >= MAX_CONSECUTIVE_CRASHES && !left.is_zero()).then_some(left)
    }
}

/// Fingerprints whose latest runs all ended with a broken connection.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    records: HashMap<u64, CrashRecord>,
    /// Number of changes of the blocked requests.
    version: u64,
}

impl CrashHistory {
    /// Returns whether requests with this fingerprint are blocked.
    pub fn is_blocked(&self, now: Duration, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| record.blocked_left(now).is_some())
    }

    /// Counts a run that ended with a broken connection; returns the number of consecutive crashes.
    ///
    /// A run is not counted if its upstream broke one of the same request less than
    /// [`CRASH_DURATION`] before and one of another request since: it breaks sound requests, too.
    pub fn record_crash(
        &mut self,
        now: Duration,
        fingerprint: u64,
        upstream: &UpstreamName,
        broken_runs: &BrokenRuns,
    ) -> u32 {
        if self.records.len() >= CLEANUP_THRESHOLD {
            self.records.retain(|_, record| now.saturating_sub(record.last) < CRASH_RETENTION);
        }
        let new = CrashRecord { count: 0, last: now, upstream: None };
        let record = self.records.entry(fingerprint).or_insert(new);
        let is_same_upstream = record.upstream.as_ref() == Some(upstream);
        if is_same_upstream
            && now.saturating_sub(record.last) < CRASH_DURATION
            && broken_runs.broke_other_since(record.last, upstream, fingerprint)
        {
            return record.count;
        }
        record.upstream = Some(upstream.clone());
        record.count += 1;
        record.last = now;
        if record.count >= MAX_CONSECUTIVE_CRASHES {
            self.version += 1;
        }
        record.count
    }

    /// Forgets the crashes of a fingerprint, as a run of it has ended without one.
    pub fn clear(&mut self, fingerprint: u64) {
        let removed = self.records.remove(&fingerprint);
        if removed.is_some_and(|record| record.count >= MAX_CONSECUTIVE_CRASHES) {
            self.version += 1;
        }
    }

    /// Returns the number of changes of the blocked requests.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the blocked requests, those first that stay blocked the longest.
    pub fn export(&self, now: Duration) -> Vec<BlockedRequest> {
        let blocked = self.records.iter().filter_map(|(fingerprint, record)| {
            let left_ms = record.blocked_left(now)?.as_millis() as u64;
            Some(BlockedRequest { fingerprint: *fingerprint, left_ms })
        });
        let mut blocked: Vec<BlockedRequest> = blocked.collect();
        blocked.sort_unstable_by_key(|request| (u64::MAX - request.left_ms, request.fingerprint));
        blocked.truncate(MAX_ENTRIES);
        blocked
    }

    /// Blocks requests that an earlier gate blocked, of which `age` has passed since.
    pub fn import(&mut self, now: Duration, age: Duration, blocked: &[BlockedRequest]) {
        for request in blocked {
            let left = Duration::from_millis(request.left_ms).saturating_sub(age);
            let passed = CRASH_RETENTION.saturating_sub(left);
            let record = CrashRecord {
                count: MAX_CONSECUTIVE_CRASHES,
                last: now.saturating_sub(passed),
                upstream: None,
            };
            if record.blocked_left(now).is_some() && !self.is_blocked(now, request.fingerprint) {
                self.records.insert(request.fingerprint, record);
                self.version += 1;
            }
        }
    }
}
