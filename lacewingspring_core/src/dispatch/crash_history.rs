//! Requests that crash the upstreams that run them, told by their fingerprint.

use std::{collections::HashMap, time::Duration};

/// Breaks in a row after which a request is held back.
const MOST_BREAKS: u32 = 2;

/// Time for which breaks are remembered.
const MEMORY: Duration = Duration::from_secs(120);

/// Fingerprints above which old ones are dropped.
const MOST_KNOWN: usize = 4_096;

/// Breaks of one fingerprint.
#[derive(Clone, Copy, Debug)]
struct Breaks {
    count: u32,
    last: Duration,
}

/// Fingerprints whose last runs all ended with a broken connection.
#[derive(Debug, Default)]
pub(super) struct Crashers {
    known: HashMap<u64, Breaks>,
}

impl Crashers {
    /// Returns whether a request is held back.
    pub fn is_held(&self, now: Duration, fingerprint: u64) -> bool {
        self.known.get(&fingerprint).is_some_and(|breaks| {
            breaks.count >= MOST_BREAKS && now.saturating_sub(breaks.last) < MEMORY
        })
    }

    /// Counts a run that ended with a broken connection.
    pub fn broke(&mut self, now: Duration, fingerprint: u64) {
        if self.known.len() >= MOST_KNOWN {
            self.known.retain(|_, breaks| now.saturating_sub(breaks.last) < MEMORY);
        }
        let breaks = self.known.entry(fingerprint).or_insert(Breaks { count: 0, last: now });
        breaks.count += 1;
        breaks.last = now;
    }

    /// Forgets a fingerprint that ran to its end.
    pub fn ran(&mut self, fingerprint: u64) {
        self.known.remove(&fingerprint);
    }
}
