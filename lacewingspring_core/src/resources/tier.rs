//! Priority tiers.

use serde::{Deserialize, Serialize};

/// A priority tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// Rank of the tier, unique; rank 0 is served first.
    pub rank: u8,
    /// Longest time that a request may wait for dispatch, in milliseconds.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u64,
}

const fn default_max_wait_ms() -> u64 {
    30_000
}
