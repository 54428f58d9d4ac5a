//! Failures of operator calls and their problem details (RFC 9457).

use std::time::Duration;

use lacewingspring_core::{
    config::Violation,
    error::{ErrorKind, RunState},
};
use serde::Serialize;

use crate::declared::{CommitError, Conflict};

/// Prefix of the URNs in the `type` field.
const PROBLEM_PREFIX: &str = "urn:lacewingspring:problem:";

/// Time after which an operator should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why an operator call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the error, which determines status and title.
    pub kind: ErrorKind,
    /// Details of this occurrence; may be empty.
    pub detail: String,
    /// Constraints that the transaction violates.
    pub violations: Vec<Violation>,
    /// Commits that the transaction conflicts with.
    pub conflict: Option<Conflict>,
}

impl Failure {
    pub(super) fn new(kind: ErrorKind) -> Self {
        Self { kind, detail: String::new(), violations: Vec::new(), conflict: None }
    }

    pub(super) fn with_detail<D>(self, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self { detail: detail.into(), ..self }
    }

    /// Returns the time after which to retry; `None` if a retry is pointless.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        self.kind.answer().retry.then_some(RETRY_AFTER)
    }
}

impl From<CommitError> for Failure {
    fn from(err: CommitError) -> Self {
        let detail = err.to_string();
        match err {
            CommitError::Invalid(violations) => {
                Self { violations, ..Self::new(ErrorKind::Invalid) }
            }
            CommitError::Conflict(conflict) => {
                Self { conflict: Some(conflict), ..Self::new(ErrorKind::ChangeConflict) }
            }
            CommitError::Unavailable(_) => {
                Self::new(ErrorKind::StoreUnavailable).with_detail(detail)
            }
            CommitError::Unknown(_) => Self::new(ErrorKind::OutcomeUnknown).with_detail(detail),
        }
    }
}

/// Problem details of a failure.
#[derive(Serialize)]
pub(super) struct Problem<'a> {
    #[serde(rename = "type")]
    problem: String,
    title: &'static str,
    status: u16,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    kind: ErrorKind,
    run: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    violations: &'a [Violation],
    #[serde(skip_serializing_if = "Option::is_none")]
    conflict: Option<ConflictMessage>,
}

#[derive(Serialize)]
struct ConflictMessage {
    generation: u64,
    changed: Vec<String>,
}

impl<'a> From<&'a Failure> for Problem<'a> {
    fn from(failure: &'a Failure) -> Self {
        let answer = failure.kind.answer();
        let conflict = failure.conflict.as_ref().map(|conflict| ConflictMessage {
            generation: conflict.generation,
            changed: conflict.changed.iter().map(ToString::to_string).collect(),
        });
        Self {
            problem: format!("{PROBLEM_PREFIX}{}", answer.problem),
            title: answer.title,
            status: answer.status,
            detail: &failure.detail,
            kind: failure.kind,
            run: answer.run,
            retry_after_ms: failure.retry_after().map(|wait| wait.as_millis() as u64),
            violations: &failure.violations,
            conflict,
        }
    }
}
