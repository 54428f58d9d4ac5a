//! Summary of a gate for metrics, reported state, and entries that query several gates.

use serde::{Deserialize, Serialize};

use super::Gate;
use crate::names::UpstreamName;

/// State of a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GateSummary {
    /// Tiers with queued or running requests, highest first.
    pub tiers: Vec<TierSummary>,
    /// Upstreams in the order of declaration.
    pub upstreams: Vec<UpstreamSummary>,
    /// Expected service seconds of the queued requests.
    pub queue_seconds: f64,
    /// Number of slots that serve the queue.
    pub draining_slots: u32,
    /// Number of slots reserved for the top tier.
    pub reserved_slots: u32,
    /// Number of runs that were ordered to park and still hold their slot.
    pub parking: usize,
    /// Number of requests refused as overloaded while work of a lower tier was queued or could be
    /// parked.
    pub violations: u64,
    /// Number of requests whose deadline passed in the queue while a run of a lower tier could be
    /// parked.
    pub late_beside_lower: u64,
}

/// Requests of one tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierSummary {
    /// Rank of the tier.
    pub rank: u8,
    /// Number of queued requests.
    pub waiting: usize,
    /// Number of running requests.
    pub running: u32,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSummary {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Number of running requests.
    pub running: u32,
    /// Number of KV tokens in use by the gate's own runs.
    pub kv_tokens: u64,
    /// Number of long prefills in flight.
    pub long_prefills: u32,
    /// How many times slower than normal the upstream is.
    pub score: f64,
    /// Whether the upstream takes regular work, not only probes.
    pub healthy: bool,
}

impl Gate {
    /// Returns the state of the gate.
    pub fn summary(&self) -> GateSummary {
        let mut ranks = self.queue.ranks();
        ranks.extend(self.runs.values().map(|run| run.request.rank));
        ranks.sort_unstable();
        ranks.dedup();
        let tiers = ranks.into_iter().map(|rank| TierSummary {
            rank,
            waiting: self.queue.tier_len(rank),
            running: self.reserve.running(rank),
        });
        let upstreams = self.fleet.upstreams().iter().map(|upstream| UpstreamSummary {
            name: upstream.spec.name.clone(),
            running: upstream.running,
            kv_tokens: upstream.kv_used(),
            long_prefills: upstream.long_prefills(),
            score: upstream.score(),
            healthy: upstream.is_healthy(),
        });
        GateSummary {
            tiers: tiers.collect(),
            upstreams: upstreams.collect(),
            queue_seconds: self.queue.seconds(),
            draining_slots: self.fleet.serving_slots(),
            reserved_slots: self.reserve.slots(),
            parking: self.parks.pending_len(),
            violations: self.violations,
            late_beside_lower: self.late_beside_lower,
        }
    }

    /// Returns the number of requests refused as overloaded while work of a lower tier was queued
    /// or could be parked.
    pub fn violations(&self) -> u64 {
        self.violations
    }
}
