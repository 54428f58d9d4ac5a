//! Requests and their runs in an engine.

use std::sync::Arc;

use serde_json::{Map, Value};
use tokio::sync::watch;

/// Progress of a run, as published to the replies that stream it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Number of tokens generated so far, including those of an earlier engine.
    pub generated: u64,
    /// Number of tokens found in the prefix cache at admission.
    pub cached_tokens: u64,
    /// How the run ended; `None` until it ends.
    pub end: Option<RunEnd>,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// The run was cancelled.
    Cancelled,
    /// The run was exported to continue on another engine.
    Exported,
    /// The engine crashed.
    Lost,
}

/// Validated completion request.
#[derive(Debug)]
pub struct Request {
    /// Identifier of the request.
    pub id: String,
    /// Name of the model.
    pub model: String,
    pub prompt: String,
    /// First 8 hexadecimal digits of the SHA-256 of the prompt.
    pub prompt_sha8: String,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of the complete answer.
    pub max_tokens: u64,
    /// Index of the first token to generate.
    pub resume_from: u64,
    /// Whether the request continues an earlier run.
    pub resumed: bool,
    /// Number of tokens that the imported run still has to prefill; `None` without an import.
    pub import_prefill_left: Option<u64>,
    /// Sampling parameters and other unknown fields of the request.
    pub sampling: Map<String, Value>,
}

/// One run of a request.
pub struct Run {
    /// Request of the run.
    pub req: Arc<Request>,
    /// Chained hashes of the full blocks of the prompt.
    pub hashes: Vec<String>,
    /// Number of tokens still to prefill before the next one is generated.
    pub prefill_left: u64,
    /// Whether the time of an import has not been added to a step yet.
    pub import_pending: bool,
    /// Publishes the progress.
    pub progress: watch::Sender<Progress>,
    /// End time, in milliseconds of the process clock; `None` until the run ends.
    pub ended_ms: Option<u64>,
}

impl Run {
    /// Number of tokens that the run holds in memory while it is running.
    pub fn held_tokens(&self) -> u64 {
        self.req.prompt_tokens + self.generated()
    }

    /// Number of tokens generated so far, including those of an earlier engine.
    pub fn generated(&self) -> u64 {
        self.progress.borrow().generated
    }

    /// Returns whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }
}
