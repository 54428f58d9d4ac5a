//! Invariants that hold whatever fails: counted and logged when broken, fatal under test.

use lacewingspring_core::key_index::KeyId;

use crate::metrics::Metrics;

/// What must hold for each run of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A run is dispatched once, unless no byte went out.
    DispatchedOnce,
    /// A run that was dispatched is not refused as "not run".
    TruthfulRefusal,
}

impl Invariant {
    /// Returns the name of the counter.
    pub const fn name(self) -> &'static str {
        match self {
            Self::DispatchedOnce => "invariants.dispatched_once",
            Self::TruthfulRefusal => "invariants.truthful_refusal",
        }
    }

    /// Counts and logs a violation when the invariant does not hold; ends the process under test.
    pub fn check(self, holds: bool, metrics: &Metrics, id: &KeyId) {
        if holds {
            return;
        }
        metrics.violated(self.name());
        log::error!(key:% = id.key, invariant = self.name(); "An invariant is broken.");
        if cfg!(debug_assertions) {
            std::process::abort();
        }
    }
}
