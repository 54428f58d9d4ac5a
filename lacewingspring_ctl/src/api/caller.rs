//! Messages of the callers' interface.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::api::Problem;

/// Addresses that callers should use, with the lifetime of the list.
#[derive(Debug, Serialize, Deserialize)]
pub struct AddressList {
    /// How long the list may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// Addresses with their weights.
    pub addresses: Vec<WeightedAddress>,
}

/// An address and its load-balancing weight.
#[derive(Debug, Serialize, Deserialize)]
pub struct WeightedAddress {
    /// Address as `IP:port`.
    pub address: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Share of the callers that should use it, relative to the other weights.
    pub weight: f64,
}

/// Idempotency key with the state of its request.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Idempotency key.
    pub key: String,
    /// State of the request.
    pub state: KeyState,
}

/// State of the request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// The request was not run.
    NotRun,
    /// The request ran to completion.
    Ran,
    /// The request was dispatched, but its outcome is unknown.
    MayHaveRun,
    /// The request is queued or running.
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
    /// Maximum number of tokens to generate; `None` for the default of the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the response; always true in this tool.
    pub stream: bool,
}

/// Data of one event of a completion stream.
#[derive(Debug, Deserialize)]
pub struct CompletionChunk {
    /// Text increments.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Error that ends the stream.
    #[serde(default)]
    pub error: Option<Problem>,
}

/// A text increment of the response.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// Text to append to the output.
    #[serde(default)]
    pub text: String,
    /// Why text generation ended; `None` if it continues.
    #[serde(default)]
    pub finish_reason: Option<String>,
}
