//! Problem details (RFC 9457) with the server's extensions.

use std::fmt::{self, Display, Formatter};

use lacewingspring_core::error::{ErrorKind, RunState};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// Lowest HTTP status code of the class of server errors.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Problem details (RFC 9457) with the server's extensions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Type URI of the problem.
    #[serde(rename = "type")]
    pub problem_type: String,
    /// Short summary of the kind of problem.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation specific to this occurrence.
    #[serde(alias = "message")]
    pub detail: String,
    /// Kind of the error; `None` if absent or unknown to this version of the tool.
    #[serde(alias = "error", deserialize_with = "known_kind")]
    pub kind: Option<ErrorKind>,
    /// Whether the request ran.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run: Option<RunState>,
    /// Time after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Constraints that the request violates.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub violations: Vec<Violation>,
    /// Earlier change that the request conflicts with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
}

impl Problem {
    /// Creates the problem details of a response that carries none.
    pub fn from_status(status: u16) -> Self {
        Self {
            title: format!("The server responded with status {status}."),
            status,
            ..Self::default()
        }
    }

    /// Returns the title that the server sent, else the one of the error kind.
    fn title(&self) -> &str {
        match self.kind {
            _ if !self.title.is_empty() => &self.title,
            Some(kind) => kind.answer().title,
            None => "The server refused the request.",
        }
    }

    /// Returns whether the request ran according to the server; `None` if neither the response nor
    /// its error kind states it.
    pub fn reported_run_state(&self) -> Option<RunState> {
        self.run.or(self.kind.map(|kind| kind.answer().run))
    }

    /// Returns whether the request ran; if the server does not state it, only a 4xx status counts
    /// as not run.
    pub fn run_state(&self) -> RunState {
        self.reported_run_state().unwrap_or(match self.status {
            400..MIN_SERVER_ERROR_STATUS => RunState::NotRun,
            _ => RunState::MayHaveRun,
        })
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.title())?;
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        if let Some(conflict) = &self.conflict {
            write!(f, "\n  {conflict}")?;
        }
        match self.retry_after_ms {
            Some(ms) => write!(f, "\n  retry after {ms} ms"),
            None => Ok(()),
        }
    }
}

/// A violated constraint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Violation {
    /// Resource that violates it.
    pub resource: String,
    /// Field that violates it; empty if the constraint is on the whole resource.
    #[serde(default)]
    pub field: String,
    /// Description of the constraint.
    pub rule: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.resource)?;
        if !self.field.is_empty() {
            write!(f, " {}", self.field)?;
        }
        write!(f, ": {}", self.rule)
    }
}

/// An earlier change that a request conflicts with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// Generation in force.
    pub generation: u64,
    /// Resources that the earlier change affected.
    #[serde(default)]
    pub changed: Vec<String>,
}

impl Display for Conflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "generation {} changed {}", self.generation, self.changed.join(", "))
    }
}

/// Deserializes an error kind. A kind of a later server version becomes `None`, and the exit code
/// then follows from the status.
fn known_kind<'de, D>(deserializer: D) -> Result<Option<ErrorKind>, D::Error>
where
    D: Deserializer<'de>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(serde_json::from_value(value).ok())
}
