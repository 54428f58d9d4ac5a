//! Messages of pool controllers to gates and to all instances.

use std::collections::BTreeSet;

use lacewingspring_core::{
    names::{InstanceName, PoolName, UpstreamName},
    pool_control::Status,
};
use serde::{Deserialize, Serialize};

use super::GateId;

/// Upstreams of a gate that are to get no new work; all others are open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseUpstreams {
    /// Gate of the upstreams.
    pub gate: GateId,
    /// Fencing number of the controller.
    pub fencing: u64,
    /// Upstreams that are closed.
    pub upstreams: BTreeSet<UpstreamName>,
}

/// Requests that run on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRuns {
    /// Upstream.
    pub upstream: UpstreamName,
    /// Requests that its gate counts on it.
    pub running: u32,
}

/// Where the roll-out of a pool stands, as its controller tells all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Pool.
    pub pool: PoolName,
    /// Instance that controls it.
    pub controller: InstanceName,
    /// Fencing number of its tenure.
    pub fencing: u64,
    /// Number of the report within the tenure.
    pub number: u64,
    /// Time of the report, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Where the roll-out stands.
    pub status: Status,
}

/// What a pool controller says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolCall {
    /// To the holder of a gate: which upstreams are out.
    Close(CloseUpstreams),
    /// To all: where the roll-out stands.
    Report(PoolReport),
}

/// The answer to a pool controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolReply {
    /// What runs on the closed upstreams; none while the gate learns it.
    Running(Option<Vec<UpstreamRuns>>),
    /// The report was taken.
    Done,
}
