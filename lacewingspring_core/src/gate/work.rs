//! Requests for permits and what the gate decides about them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    error::ErrorKind,
    names::{UpstreamName, WorkspaceName},
};

/// Longest wait of an ask that names none.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(30);

/// Names one request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Work of one request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens expected.
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

/// State of a parked request that asks to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Whether the KV cache was exported, so that no prefill is due.
    pub kv_exported: bool,
    /// Output tokens already generated.
    pub generated_tokens: u32,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Rank of the tier; 0 is served first.
    pub rank: u8,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// Weight of the workspace within its tier.
    pub weight: u32,
    /// Work of the request.
    pub cost: Cost,
    /// Longest wait in the queue.
    pub max_wait: Duration,
    /// Whether the run can be parked.
    pub parkable: bool,
    /// Leading parts of the prompt, shortest first; empty when unknown.
    #[serde(default)]
    pub prefixes: Vec<Prefix>,
    /// State of a parked request; none for a new one.
    #[serde(default)]
    pub resume: Option<Resume>,
    /// Time within which the whole answer is of use; none when it always is.
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
    /// Creates an ask of weight 1 that cannot be parked.
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

    /// Returns the tokens to prefill before the next token.
    pub fn prefill_tokens(&self) -> u32 {
        match self.resume {
            Some(resume) if resume.kv_exported => 0,
            Some(resume) => self.cost.prompt_tokens.saturating_add(resume.generated_tokens),
            None => self.cost.prompt_tokens,
        }
    }

    /// Returns the output tokens still to come.
    pub fn decode_tokens(&self) -> u32 {
        let generated = self.resume.map_or(0, |resume| resume.generated_tokens);
        self.cost.output_tokens.saturating_sub(generated)
    }

    /// Returns the KV tokens held at the end of the run.
    pub fn kv_tokens(&self) -> u64 {
        let generated = self.resume.map_or(0, |resume| resume.generated_tokens);
        u64::from(self.cost.prompt_tokens) + u64::from(self.cost.output_tokens.max(generated))
    }
}

/// What the gate decided for a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may run on the upstream.
    Granted(Ticket, UpstreamName),
    /// The request is given up, with when to come back.
    Refused(Ticket, ErrorKind, Duration),
    /// The running request is to be parked and asked for again.
    Park(Ticket),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer is whole, with the output tokens of this run.
    Finished(u32),
    /// The caller went away or the run was cancelled.
    Cancelled,
    /// The upstream failed the run.
    Failed,
}

/// Load that an upstream reports of itself; it lags and may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the upstream.
    pub queued: u32,
    /// KV tokens in use by running requests.
    pub kv_tokens_used: u64,
}

/// Change of an upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, without gaps at its source.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// The prefix with this hash was stored.
    Stored(Prefix),
    /// The prefix with this hash was evicted.
    Evicted(u64),
    /// The cache was emptied.
    Cleared,
}
