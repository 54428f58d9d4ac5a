//! A request that waits or runs.

use std::time::Duration;

use super::work::{SlotRequest, StreamRef, Ticket};
use crate::names::{ServiceName, WorkspaceName};

/// Time from the first event of an answer after which its request is not the cause of a crash:
/// those that crash upstreams do so when the answer begins.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// State of a request that waits or runs.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub service: ServiceName,
    pub fingerprint: u64,
    /// Prompt parts that other requests may share.
    pub parts: Vec<u64>,
    /// Stream that it is for.
    pub stream: Option<StreamRef>,
    /// Time at which it was granted a slot here; `None` while it waits, and if an earlier gate
    /// granted it.
    pub granted_at: Option<Duration>,
    /// Time of the first event of its answer.
    pub first_output_at: Option<Duration>,
    /// Time at which its latency target passes.
    pub late_at: Duration,
    /// Units taken from the limit of its workspace; refunded if the request is not sent.
    pub charge: Option<Charge>,
}

impl OpenRequest {
    /// Creates the state of a request that was received at `now`.
    pub fn new(now: Duration, request: &SlotRequest, charge: Option<Charge>) -> Self {
        Self {
            service: request.service.clone(),
            fingerprint: request.fingerprint,
            parts: request.work.shared_parts(),
            stream: request.stream,
            granted_at: None,
            first_output_at: None,
            late_at: now + request.target_left,
            charge,
        }
    }

    /// Returns whether its upstream has written the answer for so long that the request does not
    /// crash it.
    pub fn is_survived(&self, now: Duration) -> bool {
        self.first_output_at.is_some_and(|at| now.saturating_sub(at) >= SURVIVAL_TIME)
    }
}

/// Units that a request took from the limit of its workspace.
#[derive(Debug)]
pub(super) struct Charge {
    pub ticket: Ticket,
    pub workspace: WorkspaceName,
    pub units: u64,
}

impl Charge {
    /// Returns what a request takes; `None` if it has no workspace.
    pub fn of(ticket: Ticket, request: &SlotRequest) -> Option<Self> {
        let workspace = request.workspace.clone()?;
        Some(Self { ticket, workspace, units: request.charge })
    }
}
