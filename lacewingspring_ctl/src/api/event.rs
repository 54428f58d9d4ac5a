//! Events and decisions.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::output::time::Utc;

/// Something that happened to a resource.
#[derive(Debug, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub at: Timestamp,
    /// Reason, one word.
    pub reason: String,
    /// Reason, in a sentence.
    #[serde(default)]
    pub message: String,
}

/// Time as the server writes it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Timestamp {
    /// Milliseconds since the Unix epoch.
    Millis(u64),
    /// Date and time as text.
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

/// What was decided about a request, and why.
#[derive(Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Workspace of the request.
    pub workspace: String,
    /// Idempotency key.
    pub key: String,
    /// Decisions, oldest first.
    pub steps: Vec<Event>,
}
