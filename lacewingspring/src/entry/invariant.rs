//! Invariants that hold whatever fails. A violation is counted and logged; in builds with debug
//! assertions it aborts the process.

use lacewingspring_core::key_index::KeyId;

use crate::metrics::Metrics;

/// Invariant of each run of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A run is dispatched at most once, unless no byte was sent.
    DispatchedOnce,
    /// A dispatched run is not refused as "not run".
    TruthfulRefusal,
}

impl Invariant {
    /// Returns the name of the counter of violations.
    pub const fn name(self) -> &'static str {
        match self {
            Self::DispatchedOnce => "invariants.dispatched_once",
            Self::TruthfulRefusal => "invariants.truthful_refusal",
        }
    }

    /// Counts and logs a violation unless `holds`; aborts if debug assertions are on.
    pub fn check(self, holds: bool, metrics: &Metrics, id: &KeyId) {
        if holds {
            return;
        }
        metrics.violated(self.name());
        log::error!(
            key:% = id.key, invariant = self.name();
            "Invariant is violated; aborts if debug assertions are on."
        );
        if cfg!(debug_assertions) {
            std::process::abort();
        }
    }
}
