//! Messages between an instance and the home of a workspace.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an instance asks of the home.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Number of the question, which grows with each that the instance asks.
    pub ask: u64,
    /// Requests a second that callers send, refused ones included.
    pub rate: f64,
    /// Requests that callers would have in progress, refused ones included.
    pub concurrency: u32,
    /// Requests in progress.
    pub in_use: u32,
    /// Share that the instance holds; none when it has run out.
    pub held: Option<Share>,
}

/// Part of a limit for one instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Number of the question that it answers.
    pub ask: u64,
    /// Requests a second.
    pub rate: f64,
    /// Requests in progress at once.
    pub concurrency: u32,
    /// Time for which the share holds, counted from when it was asked for.
    pub valid_for: Duration,
}
