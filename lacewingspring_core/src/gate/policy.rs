//! Switches of the gate's mechanisms, so that tests can show what each one is for.

/// Mechanisms of a gate; all are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatePolicy {
    /// Park running work of lower tiers for waiting work of higher ones.
    pub parking: bool,
    /// Evict waiting work of the lowest tier first instead of the newest.
    pub eviction_order: bool,
    /// Deficit round robin over workspaces instead of first come, first served.
    pub fair_share: bool,
    /// Keep room for the top tier.
    pub reserve: bool,
    /// Count KV tokens before a grant.
    pub kv_accounting: bool,
    /// Give stragglers less work, then only probes.
    pub probation: bool,
    /// Bound the long prefills in flight beside short or higher work.
    pub long_prefill_limit: bool,
    /// Weigh cached prefixes in the choice of an upstream.
    pub affinity: bool,
    /// Refuse work of the lowest tier at once when it cannot meet its deadline.
    pub early_refusal: bool,
    /// Spread the times at which refused callers are told to come back.
    pub retry_jitter: bool,
}

impl Default for GatePolicy {
    fn default() -> Self {
        Self {
            parking: true,
            eviction_order: true,
            fair_share: true,
            reserve: true,
            kv_accounting: true,
            probation: true,
            long_prefill_limit: true,
            affinity: true,
            early_refusal: true,
            retry_jitter: true,
        }
    }
}
