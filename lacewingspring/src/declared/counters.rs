//! Counters of how this instance follows the declared state.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclaredCounts {
    /// Generations installed.
    pub installed: u64,
    /// Ignored reads, events or offers of a state older than the one in force.
    pub older: u64,
    /// Commits of which a watch delivered only some events.
    pub gaps: u64,
    /// Reads of the whole state.
    pub loads: u64,
    /// Attempts to follow the key-value service that ended with an error: a failed first read, a
    /// failed or interrupted watch, or events that could not be applied.
    pub follow_errors: u64,
    /// Installed generations that were lower than an earlier one. Must stay 0.
    pub reverted: u64,
    /// States of the generation in force with another digest. Must stay 0.
    pub divergent: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) installed: AtomicU64,
    pub(super) older: AtomicU64,
    pub(super) gaps: AtomicU64,
    pub(super) loads: AtomicU64,
    pub(super) follow_errors: AtomicU64,
    pub(super) reverted: AtomicU64,
    pub(super) divergent: AtomicU64,
}

impl Counters {
    pub(super) fn snapshot(&self) -> DeclaredCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        DeclaredCounts {
            installed: read(&self.installed),
            older: read(&self.older),
            gaps: read(&self.gaps),
            loads: read(&self.loads),
            follow_errors: read(&self.follow_errors),
            reverted: read(&self.reverted),
            divergent: read(&self.divergent),
        }
    }
}

/// Increments a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
