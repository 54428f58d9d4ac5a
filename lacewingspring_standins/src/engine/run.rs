//! Run of a request in an engine.

use std::sync::Arc;

use serde_json::{Map, Value};
use tokio::sync::watch;

/// What the readers of a run see of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Tokens generated so far, those of an earlier engine included.
    pub generated: u64,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: u64,
    /// How the run ended, if it has.
    pub end: Option<End>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were generated.
    Finished,
    /// The run was cancelled.
    Cancelled,
    /// The run was exported.
    Exported,
    /// The engine crashed.
    Lost,
}

/// What was asked for.
#[derive(Debug)]
pub struct Request {
    /// Identifier of the request.
    pub id: String,
    /// Model named in the request.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// First 8 hexadecimal digits of the SHA-256 of the prompt.
    pub prompt_sha8: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub max_tokens: u64,
    /// First token to generate.
    pub resume_from: u64,
    /// Whether the request goes on with an earlier run.
    pub resumed: bool,
    /// Tokens left to compute of an imported run; none when nothing is imported.
    pub import_left: Option<u64>,
    /// How tokens are to be sampled.
    pub sampling: Map<String, Value>,
}

/// Run of a request.
pub struct Run {
    /// Request that runs.
    pub req: Arc<Request>,
    /// Hashes of the full blocks of the prompt.
    pub hashes: Vec<String>,
    /// Tokens left to compute before the next one is generated.
    pub prefill_left: u64,
    /// Whether an import is still to be paid for.
    pub import_due: bool,
    /// Progress, for the readers.
    pub progress: watch::Sender<Progress>,
    /// Time of the end, in milliseconds since process start.
    pub ended_ms: Option<u64>,
}

impl Run {
    /// Tokens that the run holds in memory.
    pub fn held_tokens(&self) -> u64 {
        self.req.prompt_tokens + self.generated()
    }

    /// Tokens generated so far, those of an earlier engine included.
    pub fn generated(&self) -> u64 {
        self.progress.borrow().generated
    }

    /// Tells whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }
}
