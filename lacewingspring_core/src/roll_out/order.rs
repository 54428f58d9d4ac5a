//! Orders of roll-outs, their bounds and the numbers that are stored for each.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, SoftwareVersion};

/// Identifies an order by the revision of its key in the key-value service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OrderId {
    /// Era of the store that acknowledged the order.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// Order to move the traffic of a service to the upstreams of one software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version to which it moves.
    pub target: SoftwareVersion,
    /// Time at which the order is known to have been acknowledged, or an earlier one.
    pub received_at: Duration,
    /// Time by which the roll-out is to be completed.
    pub deadline: Duration,
    /// Identifies the order.
    pub id: OrderId,
}

/// Bounds on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the requests of the service that a bad version may get, from 0 to 1.
    pub share: f64,
    /// Requests that it may get beyond the share.
    pub tolerance: f64,
    /// Time after its fiftieth bad response from which on it may get no request. No decision
    /// depends on it: certain evidence rolls the version back at once.
    pub rollback_timeout: Duration,
}

/// Responses of the upstreams of one version, or of all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tally {
    /// Responses that tell whether the version fails.
    pub responses: u64,
    /// Those that failed.
    pub failed: u64,
    /// Responses that tell whether the version is slow.
    pub timed: u64,
    /// Those that took a multiple of the usual time.
    pub slow: u64,
}

impl Tally {
    pub(super) fn add(&mut self, other: Self) {
        self.responses += other.responses;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slow += other.slow;
    }

    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            responses: self.responses.saturating_sub(earlier.responses),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Numbers of a roll-out that are stored, so that a successor continues from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests of the service since the order, each counted at its first grant.
    pub requests: u64,
    /// Requests granted to the target, or reserved for it, repeated ones included.
    pub target_requests: u64,
    /// Bad responses of the target, failed or slow.
    pub bad: u64,
    /// Responses of the target by which it is judged.
    pub target: Tally,
    /// Responses of the other versions by which it is judged.
    pub old: Tally,
}

impl Counts {
    /// Returns what was counted after an earlier record.
    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            target_requests: self.target_requests.saturating_sub(earlier.target_requests),
            bad: self.bad.saturating_sub(earlier.bad),
            target: self.target.since(earlier.target),
            old: self.old.since(earlier.old),
        }
    }
}

/// Requests to the target that were reserved in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Number of requests.
    pub size: u64,
    /// Time from which on none of them may be sent.
    pub expires_at: Duration,
}
