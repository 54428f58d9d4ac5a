//! Counters of the declared state at this instance.

use std::sync::atomic::{AtomicU64, Ordering};

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclaredCounts {
    /// Generations installed.
    pub installed: u64,
    /// Reads, events or offers of a state older than the present one, which were ignored.
    pub older: u64,
    /// Commits that a watch did not bring whole.
    pub gaps: u64,
    /// Reads of the whole state.
    pub loads: u64,
    /// Watches that were cut.
    pub cuts: u64,
    /// Lower generations that came into force; always zero.
    pub reverted: u64,
    /// States of the present generation with another digest; always zero.
    pub divergent: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) installed: AtomicU64,
    pub(super) older: AtomicU64,
    pub(super) gaps: AtomicU64,
    pub(super) loads: AtomicU64,
    pub(super) cuts: AtomicU64,
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
            cuts: read(&self.cuts),
            reverted: read(&self.reverted),
            divergent: read(&self.divergent),
        }
    }
}

/// Adds one to a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
