//! Counts of each tier: goodput and wasted prefill before all.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use lacewingspring_core::names::TierName;
use serde::Serialize;

/// Counts of one tier since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TierReport {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests answered whole: the goodput.
    pub answered: u64,
    /// Requests given up.
    pub refused: u64,
    /// Runs parked.
    pub parked: u64,
    /// Prompt tokens that engines computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed for answers that nobody got whole.
    pub wasted_prefill_tokens: u64,
}

/// Counts of all tiers.
#[derive(Debug, Default)]
pub struct TierCounts {
    counts: Mutex<BTreeMap<TierName, TierReport>>,
}

impl TierCounts {
    /// Changes the counts of a tier.
    pub fn update<F>(&self, tier: &TierName, change: F)
    where
        F: FnOnce(&mut TierReport),
    {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(counts) = counts.get_mut(tier) {
            return change(counts);
        }
        change(counts.entry(tier.clone()).or_default());
    }

    /// Returns the counts by tier.
    pub fn report(&self) -> BTreeMap<TierName, TierReport> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
