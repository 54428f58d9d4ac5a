//! Events of resources and scheduling decisions about requests.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::output::time::Utc;

/// Something that happened to a resource, or a decision about a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub at: Timestamp,
    /// Reason as one word for programs.
    pub reason: String,
    /// Reason as a sentence for people.
    #[serde(default)]
    pub message: String,
}

/// Time in either of the formats that the server sends.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Timestamp {
    /// Milliseconds since the Unix epoch.
    Millis(u64),
    /// Date and time as text, shown unchanged.
    Text(String),
}

impl Display for Timestamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Millis(ms) => Utc(*ms).fmt(f),
            Self::Text(text) => f.write_str(text),
        }
    }
}

/// Scheduling decisions about a request and their reasons.
#[derive(Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Workspace of the request.
    pub workspace: String,
    /// Idempotency key.
    pub key: String,
    /// Decisions, oldest first.
    pub steps: Vec<Event>,
}
