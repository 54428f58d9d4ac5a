//! Prompt parts that were part of a completed run lately.

use std::{collections::HashSet, time::Duration};

/// Time after which a new set of parts is begun; the set before it is kept as well.
const SET_DURATION: Duration = Duration::from_secs(30);

/// Largest number of parts in one set.
const MAX_PARTS: usize = 8_192;

/// Prompt parts of the runs that completed within [`SET_DURATION`], and of some of those before.
#[derive(Debug, Default)]
pub(super) struct RecentParts {
    latest: HashSet<u64>,
    earlier: HashSet<u64>,
    /// Start of the latest set.
    since: Duration,
}

impl RecentParts {
    /// Adds a part.
    pub fn insert(&mut self, now: Duration, part: u64) {
        self.rotate(now);
        self.latest.insert(part);
    }

    /// Returns whether a part was added lately.
    pub fn contains(&self, part: u64) -> bool {
        self.latest.contains(&part) || self.earlier.contains(&part)
    }

    fn rotate(&mut self, now: Duration) {
        let is_due = now.saturating_sub(self.since) >= SET_DURATION;
        if is_due || self.latest.len() >= MAX_PARTS {
            self.earlier = std::mem::take(&mut self.latest);
            self.since = now;
        }
    }
}
