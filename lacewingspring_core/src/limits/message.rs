//! Messages between an instance and the home of a workspace.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Demand of an instance for a share, sent to the home.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Sequence number of the demand, which increases with each one of the instance.
    pub ask: u64,
    /// Requests per second that callers send, including refused ones.
    pub rate: f64,
    /// Requests that callers would have in progress, including refused ones.
    pub concurrency: u32,
    /// Requests in progress.
    pub in_use: u32,
    /// Share that the instance holds; `None` if it has none or it has expired.
    pub held: Option<Share>,
}

/// Share of a limit, granted to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Sequence number of the demand that it answers.
    pub ask: u64,
    /// Admitted requests per second.
    pub rate: f64,
    /// Requests in progress at the same time.
    pub concurrency: u32,
    /// Validity of the share, counted from when its demand was sent.
    pub valid_for: Duration,
}
