//! Switches for the mechanisms of the gate, so that tests can show the effect of each one.

/// Enabled mechanisms of a gate; all are enabled by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatePolicy {
    /// Park runs of lower tiers for queued requests of higher ones.
    pub parking: bool,
    /// Evict queued requests of the lowest tier first instead of the newest.
    pub eviction_order: bool,
    /// Serve workspaces by deficit round robin instead of first come, first served.
    pub fair_share: bool,
    /// Reserve slots for the top tier.
    pub reserve: bool,
    /// Check the free KV memory before a grant.
    pub kv_accounting: bool,
    /// Give slow upstreams fewer requests, and very slow ones only probes.
    pub probation: bool,
    /// Limit the long prefills in flight while short or higher-tier requests are present.
    pub long_prefill_limit: bool,
    /// Consider cached prefixes in the selection of an upstream.
    pub affinity: bool,
    /// Refuse a request of the lowest tier at once if it cannot meet its deadline.
    pub early_refusal: bool,
    /// Add jitter to the times after which refused callers are to retry.
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
