//! What the gate tells of itself, for metrics, reported state and entries that sweep gates.

use serde::{Deserialize, Serialize};

use super::Gate;
use crate::names::UpstreamName;

/// State of a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GateSummary {
    /// Tiers that wait or run, highest first.
    pub tiers: Vec<TierSummary>,
    /// Upstreams in the order of declaration.
    pub upstreams: Vec<UpstreamSummary>,
    /// Seconds of work that waits.
    pub queue_seconds: f64,
    /// Slots that drain the queue.
    pub draining_slots: u32,
    /// Slots kept for the top tier.
    pub reserved_slots: u32,
    /// Runs that were told to park and still hold their slot.
    pub parking: usize,
    /// Requests refused as overloaded while lower work waited or ran.
    pub violations: u64,
    /// Requests whose deadline passed in the queue while lower work ran that could be parked.
    pub late_beside_lower: u64,
}

/// Requests of one tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierSummary {
    /// Rank of the tier.
    pub rank: u8,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: u32,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSummary {
    /// Its name.
    pub name: UpstreamName,
    /// Requests that run.
    pub running: u32,
    /// KV tokens counted.
    pub kv_tokens: u64,
    /// Long prefills in flight.
    pub long_prefills: u32,
    /// How many times slower than normal it is.
    pub score: f64,
    /// Whether it takes work beyond probes.
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
            draining_slots: self.fleet.draining_slots(),
            reserved_slots: self.reserve.slots(),
            parking: self.parks.pending_len(),
            violations: self.violations,
            late_beside_lower: self.late_beside_lower,
        }
    }

    /// Returns how many requests were refused as overloaded while lower work waited or ran.
    pub fn violations(&self) -> u64 {
        self.violations
    }
}
