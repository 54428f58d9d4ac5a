//! Messages for callers.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::api::Problem;

/// Addresses that callers should use.
#[derive(Debug, Serialize, Deserialize)]
pub struct AddressList {
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Addresses with their weights.
    pub addresses: Vec<WeightedAddress>,
}

/// An address and its share of the callers.
#[derive(Debug, Serialize, Deserialize)]
pub struct WeightedAddress {
    /// Address as `IP:port`.
    pub address: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Share relative to the other addresses.
    pub weight: f64,
}

/// Status of an idempotency key.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Idempotency key.
    pub key: String,
    /// What became of the request.
    pub state: KeyState,
}

/// What became of the request of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// It was not run.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It was dispatched and its end is unknown.
    MayHaveRun,
    /// It waits or runs now.
    InProgress,
}

impl Display for KeyState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may have run",
            Self::InProgress => "in progress",
        })
    }
}

/// Completion request in the OpenAI format.
#[derive(Debug, Serialize)]
pub struct CompletionRequest<'a> {
    /// Name of the service.
    pub model: &'a str,
    /// Prompt text.
    pub prompt: &'a str,
    /// Most tokens to answer with; none leaves it to the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer; the tool always does.
    pub stream: bool,
}

/// One message of a completion stream.
#[derive(Debug, Deserialize)]
pub struct CompletionChunk {
    /// Pieces of the answer.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Problem that ends the stream.
    #[serde(default)]
    pub error: Option<Problem>,
}

/// A piece of the answer.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// Text of the piece.
    #[serde(default)]
    pub text: String,
    /// Why the answer ends here; none when it goes on.
    #[serde(default)]
    pub finish_reason: Option<String>,
}
