//! Requests for a slot at an upstream, and what is decided about them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::names::{DataCentreName, ServiceName, UpstreamName, WorkspaceName};

/// A part of a prompt that an upstream may still hold in its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What an upstream has to do for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A call to a plain service.
    Plain,
    /// A generation at a model engine.
    Generation {
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Output tokens expected.
        output_tokens: u32,
        /// Parts of the prompt in order.
        parts: Vec<PromptPart>,
    },
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Kind of request; kinds of one service share it evenly under overload.
    pub class: Arc<str>,
    /// Urgency of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Data centre of the instance that sends it.
    pub data_centre: DataCentreName,
    /// Workspace that sent the request; none on routes that need no credential.
    pub workspace: Option<WorkspaceName>,
    /// What the upstream has to do.
    pub work: Work,
    /// Time left until the answer is late; zero when it is late already.
    #[serde(rename = "aim_left")]
    pub target_left: Duration,
    /// Time left until the answer is of no use.
    pub time_left: Duration,
    /// Time left in which the caller must have the first part of the answer, or it leaves.
    #[serde(rename = "first_left")]
    pub first_output_left: Duration,
    /// Units that the request takes from its workspace's limit.
    pub charge: u64,
    /// Sends of this request before this one.
    pub sends: u32,
    /// Upstreams that it must not be sent to.
    pub avoid: Vec<UpstreamName>,
    /// Digest of method, path, workspace and body.
    pub fingerprint: u64,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Its workspace is at its limit.
    Limit,
    /// It can't be served in the time it has left.
    Overload,
    /// No upstream of the service is known to be usable.
    NoUpstream,
    /// Requests like it have crashed upstreams.
    Crashes,
    /// The fleet has sent too many requests more than once.
    RetryBudget,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Overload => "overload",
            Self::NoUpstream => "no_upstream",
            Self::Crashes => "crashes",
            Self::RetryBudget => "retry_budget",
        }
    }
}

/// A refusal of a request that was not sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Time after which it is worth to come back.
    pub retry_after: Duration,
    /// Requests that waited for the service.
    pub waiting: u32,
    /// Wait that was expected.
    pub expected_wait: Duration,
}

impl Refusal {
    /// Creates a refusal that no queue led to.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after, waiting: 0, expected_wait: Duration::ZERO }
    }
}

/// Names one ask: the instance's link and the number of the ask on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Link of the instance that asked.
    pub link: u64,
    /// Number of the ask, unique on the link.
    pub number: u64,
}

/// A slot at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
}

/// A decision about an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted(Ticket, Grant),
    /// The request is given up.
    Refused(Ticket, Refusal),
}

/// How a request ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The answer is whole.
    Finished {
        /// Time from the send to the end.
        took: Duration,
        /// Output tokens received after the first event.
        output_tokens: u32,
        /// Time from the first event to the end.
        decode: Duration,
    },
    /// The upstream answered with an error of its own.
    Failed,
    /// The connection broke after the request was sent.
    Broken,
    /// The upstream said that it did not run the request.
    Declined,
    /// No connection could be made.
    Unreachable,
    /// Another upstream answers at the address.
    Misdirected,
    /// The instance knows that the upstream takes no new work; nothing was sent.
    Leaving,
    /// The caller left or the time ran out.
    Cancelled,
}
