//! Permit requests and the decisions of the gate on them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    error::ErrorKind,
    names::{UpstreamName, WorkspaceName},
};

/// Maximum wait of a permit request that sets none.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(30);

/// Identifies one request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Size of one request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
}

/// Leading part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of the tokens from the start of the prompt.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// State of a parked request that is to resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Whether the KV cache was exported, so that no prefill is needed.
    pub kv_exported: bool,
    /// Number of output tokens generated before.
    pub generated_tokens: u32,
}

/// Request for a permit to run on an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Rank of the tier; 0 is served first.
    pub rank: u8,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// Weight of the workspace within its tier.
    pub weight: u32,
    /// Size of the request.
    pub cost: Cost,
    /// Maximum wait in the queue.
    pub max_wait: Duration,
    /// Whether the run can be parked.
    pub parkable: bool,
    /// Leading parts of the prompt, shortest first; empty if unknown.
    #[serde(default)]
    pub prefixes: Vec<Prefix>,
    /// State of a parked request; `None` for a new one.
    #[serde(default)]
    pub resume: Option<Resume>,
    /// Time within which the whole answer is of use; `None` if it always is.
    #[serde(default)]
    pub answer_within: Option<Duration>,
    /// Where the request may run.
    #[serde(default)]
    pub placement: Placement,
}

/// Where a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// On any upstream.
    #[default]
    Any,
    /// On this upstream only.
    On(UpstreamName),
    /// On an upstream that runs nothing else until the request ends.
    Alone,
}

impl PermitRequest {
    /// Creates a permit request of weight 1 that cannot be parked.
    pub fn new(rank: u8, workspace: WorkspaceName, cost: Cost) -> Self {
        Self {
            rank,
            workspace,
            weight: 1,
            cost,
            max_wait: DEFAULT_MAX_WAIT,
            parkable: false,
            prefixes: Vec::new(),
            resume: None,
            answer_within: None,
            placement: Placement::Any,
        }
    }

    /// Returns the number of tokens to prefill before the next output token.
    pub fn prefill_tokens(&self) -> u32 {
        match self.resume {
            Some(resume) if resume.kv_exported => 0,
            Some(resume) => self.cost.prompt_tokens.saturating_add(resume.generated_tokens),
            None => self.cost.prompt_tokens,
        }
    }

    /// Returns the number of output tokens still to generate.
    pub fn decode_tokens(&self) -> u32 {
        let generated = self.resume.map_or(0, |resume| resume.generated_tokens);
        self.cost.output_tokens.saturating_sub(generated)
    }

    /// Returns the number of KV tokens held at the end of the run.
    pub fn kv_tokens(&self) -> u64 {
        let generated = self.resume.map_or(0, |resume| resume.generated_tokens);
        u64::from(self.cost.prompt_tokens) + u64::from(self.cost.output_tokens.max(generated))
    }
}

/// Decision of the gate on a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may run on the upstream.
    Granted(Ticket, UpstreamName),
    /// The request is refused; the caller is to retry after this time.
    Refused(Ticket, ErrorKind, Duration),
    /// The run is to be parked and to request a permit again.
    Park(Ticket),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer is complete, with the number of output tokens of this run.
    Finished(u32),
    /// The caller disconnected or the run was cancelled.
    Cancelled,
    /// The run failed on its upstream.
    Failed,
}

/// Load that an upstream reports about itself; it lags and may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the upstream.
    pub queued: u32,
    /// Number of KV tokens in use by running requests.
    pub kv_tokens_used: u64,
}

/// Numbered change of an upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, without gaps at its source.
    pub sequence: u64,
    /// Change that happened.
    pub change: CacheChange,
}

/// Change of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// The prefix with this hash was stored.
    Stored(Prefix),
    /// The prefix with this hash was evicted.
    Evicted(u64),
    /// The cache was emptied.
    Cleared,
}
