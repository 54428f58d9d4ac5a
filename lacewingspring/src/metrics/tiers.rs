//! Counts of each tier, such as goodput and wasted prefill.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use lacewingspring_core::names::TierName;
use serde::Serialize;

/// Counts of one tier since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TierReport {
    /// Accepted requests.
    pub accepted: u64,
    /// Requests whose response is complete: the goodput.
    pub answered: u64,
    /// Refused requests.
    pub refused: u64,
    /// Parked runs.
    pub parked: u64,
    /// Prompt tokens that engines have prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens prefilled for responses that no caller received in full.
    pub wasted_prefill_tokens: u64,
}

/// Counts of all tiers.
#[derive(Debug, Default)]
pub struct TierCounts {
    counts: Mutex<BTreeMap<TierName, TierReport>>,
}

impl TierCounts {
    /// Updates the counts of a tier, which start at zero.
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

    /// Returns the counts of all tiers.
    pub fn report(&self) -> BTreeMap<TierName, TierReport> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
