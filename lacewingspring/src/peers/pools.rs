//! Messages from pool controllers to gates and to all instances.

use std::collections::BTreeSet;

use lacewingspring_core::{
    names::{InstanceName, PoolName, UpstreamName},
    pool_control::Status,
};
use serde::{Deserialize, Serialize};

use super::GateId;

/// Upstreams of a gate that get no new work; all others are open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseUpstreams {
    /// Gate of the upstreams.
    pub gate: GateId,
    /// Fencing number of the controller.
    pub fencing: u64,
    /// Upstreams that are closed.
    pub upstreams: BTreeSet<UpstreamName>,
}

/// Number of requests that run on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRuns {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Number of requests in progress, as the gate counts them.
    pub running: u32,
}

/// State of the roll-out of a pool, as its controller reports it to all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Engine pool.
    pub pool: PoolName,
    /// Instance that controls the pool.
    pub controller: InstanceName,
    /// Fencing number of the controller's lease.
    pub fencing: u64,
    /// Number of the report under this lease.
    pub number: u64,
    /// Time of the report, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// State of the roll-out.
    pub status: Status,
}

/// Call of a pool controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolCall {
    /// To the holder of a gate: the upstreams to close.
    Close(CloseUpstreams),
    /// To all instances: the state of the roll-out.
    Report(PoolReport),
}

/// Reply to a pool controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolReply {
    /// Requests that run on the closed upstreams; `None` while a new gate holder still collects the
    /// permits of its predecessor.
    Running(Option<Vec<UpstreamRuns>>),
    /// The report was received.
    Done,
}
