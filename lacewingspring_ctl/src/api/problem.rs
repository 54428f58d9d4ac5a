//! Problem details (RFC 9457) with the server's extensions.

use std::fmt::{self, Display, Formatter};

use lacewingspring_core::error::{ErrorKind, RunState};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// Lowest status code of a server error.
const SERVER_ERROR: u16 = 500;

/// Problem details (RFC 9457) with the server's extensions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Type URI of the problem.
    #[serde(rename = "type")]
    pub problem_type: String,
    /// Short text for people.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What went wrong this time.
    #[serde(alias = "message")]
    pub detail: String,
    /// Kind of the error; none when this tool does not know it.
    #[serde(alias = "error", deserialize_with = "known_kind")]
    pub kind: Option<ErrorKind>,
    /// What became of the work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run: Option<RunState>,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Constraints that were broken.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub violations: Vec<Violation>,
    /// The change that came first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
}

impl Problem {
    /// Returns a problem for an answer that carries none.
    pub fn from_status(status: u16) -> Self {
        Self {
            title: format!("The server answered with status {status}."),
            status,
            ..Self::default()
        }
    }

    /// Returns the title, of the kind when the server sends none.
    fn title(&self) -> &str {
        match self.kind {
            _ if !self.title.is_empty() => &self.title,
            Some(kind) => kind.answer().title,
            None => "The server refused.",
        }
    }

    /// Returns what became of the work as far as the server says.
    pub fn said_run(&self) -> Option<RunState> {
        self.run.or(self.kind.map(|kind| kind.answer().run))
    }

    /// Returns what became of the work, by the status when the server does not say.
    pub fn run(&self) -> RunState {
        self.said_run().unwrap_or(match self.status {
            400..SERVER_ERROR => RunState::NotRun,
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
            Some(ms) => write!(f, "\n  come back in {ms} ms"),
            None => Ok(()),
        }
    }
}

/// A broken constraint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Violation {
    /// Resource that breaks it.
    pub resource: String,
    /// Field that breaks it.
    #[serde(default)]
    pub field: String,
    /// The constraint.
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

/// The change that came first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// Generation in force.
    pub generation: u64,
    /// Resources that the other change touched.
    #[serde(default)]
    pub changed: Vec<String>,
}

impl Display for Conflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "generation {} changed {}", self.generation, self.changed.join(", "))
    }
}

/// Reads a kind; one that this tool does not know yet falls back to the status.
fn known_kind<'de, D>(deserializer: D) -> Result<Option<ErrorKind>, D::Error>
where
    D: Deserializer<'de>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(serde_json::from_value(value).ok())
}
