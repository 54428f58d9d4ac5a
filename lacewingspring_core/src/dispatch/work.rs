//! Requests for a slot at an upstream, and the decisions on them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName};

/// A part of a prompt that an upstream may still hold in its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Digest that identifies the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Work that a request causes at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A call to a plain service, which runs no inference engine.
    Plain,
    /// A generation by an inference engine.
    Generation {
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Expected length of the output in tokens.
        output_tokens: u32,
        /// Parts of the prompt, from its beginning.
        parts: Vec<PromptPart>,
    },
}

impl Work {
    /// Returns the tokens of memory that it needs at the upstream.
    pub fn memory_tokens(&self) -> u64 {
        match self {
            Self::Plain => 0,
            Self::Generation { prompt_tokens, output_tokens, .. } => {
                u64::from(*prompt_tokens) + u64::from(*output_tokens)
            }
        }
    }

    /// Returns the ids of the prompt parts that other requests may share: all but the last one,
    /// which belongs to the request or its session.
    pub fn shared_parts(&self) -> Vec<u64> {
        let Self::Generation { parts, .. } = self else { return Vec::new() };
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }
}

/// A stream, over all requests of its caller for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRef {
    /// Digest of the id of the request whose response brought its first event, or may bring it.
    pub id: u64,
    /// Whether its caller has received events of it, so that it may go on only at the software
    /// version that wrote them.
    pub is_resumed: bool,
    /// Number of the attempt to get a slot for it, which grows at the instance of the request. Only
    /// the upstream of the last slot can have written events.
    pub attempt: u64,
    /// Time within which its caller may take it up again.
    pub lifetime: Duration,
}

/// A request for a slot at an upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Request class; the classes of a service are served evenly under overload.
    pub class: Arc<str>,
    /// Urgency of the class; 0 is the most urgent.
    pub rank: u8,
    /// Data centre of the instance that sends the request.
    pub data_centre: DataCentreName,
    /// Workspace that the request belongs to; `None` on routes that need no credential.
    pub workspace: Option<WorkspaceName>,
    /// Work that the request causes at the upstream.
    pub work: Work,
    /// Time left until the latency target passes and the answer is late; zero if it has passed.
    #[serde(rename = "aim_left")]
    pub target_left: Duration,
    /// Time left until the request times out.
    pub time_left: Duration,
    /// Time left until the caller leaves unless it has received the first output.
    #[serde(rename = "first_left")]
    pub first_output_left: Duration,
    /// Units that the request takes from the limit of its workspace; tokens in the proxy.
    pub charge: u64,
    /// Number of earlier sends of this request.
    pub sends: u32,
    /// Upstreams to which it must not be sent.
    pub avoid: Vec<UpstreamName>,
    /// Digest of method, path, workspace and body.
    pub fingerprint: u64,
    /// Stream that the request is for; `None` if its response is no stream.
    pub stream: Option<StreamRef>,
    /// Software version that must run it, which the gate sets; `None` if any may.
    pub software: Option<SoftwareVersion>,
}

impl SlotRequest {
    /// Returns whether its caller has received events of its stream.
    pub fn is_resumed(&self) -> bool {
        self.stream.is_some_and(|stream| stream.is_resumed)
    }

    /// Sets the number of the attempt to get a slot for its stream.
    pub fn number_attempt(&mut self, number: u64) {
        if let Some(stream) = &mut self.stream {
            stream.attempt = number;
        }
    }

    /// Shortens the times that are left by one that has passed.
    pub fn shorten_times(&mut self, passed: Duration) {
        self.target_left = self.target_left.saturating_sub(passed);
        self.time_left = self.time_left.saturating_sub(passed);
        self.first_output_left = self.first_output_left.saturating_sub(passed);
    }
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Its workspace has reached its limit.
    Limit,
    /// The request can't be served in the time it has left.
    Overload,
    /// No upstream of the service is known to be usable for the request.
    NoUpstream,
    /// Earlier runs of the request crashed upstreams.
    Crashes,
    /// The fleet has used up its budget of repeated sends.
    RetryBudget,
    /// The request resumes a stream, and it is not known which software version began it.
    UnknownSoftware,
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
            Self::UnknownSoftware => "unknown_software",
        }
    }
}

/// Refusal of a request that was not sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Number of requests that waited for the service.
    pub waiting: u32,
    /// Expected wait for a slot.
    pub expected_wait: Duration,
}

impl Refusal {
    /// Creates a refusal that does not depend on the queue.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after, waiting: 0, expected_wait: Duration::ZERO }
    }
}

/// Identifies a slot request by the link (connection of an instance to the gate) and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Connection to the gate of the instance that requested the slot.
    pub link: u64,
    /// Number of the slot request, unique on the link.
    pub number: u64,
}

/// Permission to send a request to an upstream, where it takes a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Upstream to send the request to.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Version of the upstream's software.
    pub software: SoftwareVersion,
    /// Start of the upstream's process in Unix milliseconds.
    pub started_at_ms: u64,
    /// Whether the upstream has named a limit, so that the gate must know if its response does not.
    pub is_limited: bool,
}

/// A decision on a slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted(Ticket, Grant),
    /// The request is refused and no longer waits.
    Refused(Ticket, Refusal),
}

/// How a request ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The answer is complete.
    Finished {
        /// Time from the send to the end.
        took: Duration,
        /// Output tokens received after the first event.
        output_tokens: u32,
        /// Time from the first event to the end.
        decode: Duration,
        /// Whether the answer marked its end; otherwise it ended with its connection.
        is_framed: bool,
    },
    /// The upstream answered with an error of its own.
    Failed,
    /// The connection broke after the request was sent.
    Broken,
    /// The upstream reported that it did not run the request.
    Declined,
    /// No connection could be established.
    Unreachable,
    /// Another upstream answers at the address.
    Misdirected,
    /// The instance knows that the upstream is draining; nothing was sent.
    Leaving,
    /// The caller left or the request timed out.
    Cancelled,
    /// The instance may not use the upstream at present; nothing was sent.
    Unused,
}
