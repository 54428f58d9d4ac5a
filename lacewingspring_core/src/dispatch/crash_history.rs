//! Remembers requests that crash the upstreams that run them, by fingerprint.

use std::{collections::HashMap, time::Duration};

/// Number of consecutive crashes after which a request is blocked.
const MAX_CONSECUTIVE_CRASHES: u32 = 2;

/// Time after the last crash for which a fingerprint stays blocked.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// Number of recorded fingerprints at which expired ones are removed; more are still recorded.
const CLEANUP_THRESHOLD: usize = 4_096;

/// Consecutive crashes of one fingerprint.
#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    count: u32,
    last: Duration,
}

/// Fingerprints whose latest runs all ended with a broken connection.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    records: HashMap<u64, CrashRecord>,
}

impl CrashHistory {
    /// Returns whether requests with this fingerprint are blocked.
    pub fn is_blocked(&self, now: Duration, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.count >= MAX_CONSECUTIVE_CRASHES
                && now.saturating_sub(record.last) < CRASH_RETENTION
        })
    }

    /// Counts a run that ended with a broken connection; returns the number of consecutive ones.
    pub fn record_crash(&mut self, now: Duration, fingerprint: u64) -> u32 {
        if self.records.len() >= CLEANUP_THRESHOLD {
            self.records.retain(|_, record| now.saturating_sub(record.last) < CRASH_RETENTION);
        }
        let record = self.records.entry(fingerprint).or_insert(CrashRecord { count: 0, last: now });
        record.count += 1;
        record.last = now;
        record.count
    }

    /// Forgets the crashes of a fingerprint, as a run of it has ended without one.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }
}
