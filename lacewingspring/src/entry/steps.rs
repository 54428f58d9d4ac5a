//! Steps in the handling of a request, reported by `explain`.

use std::time::Duration;

use lacewingspring_core::{error::ErrorKind, names::UpstreamName};
use serde::Serialize;

/// One step in the handling of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request was accepted and waits for a permit.
    Accepted,
    /// Another caller sent the same request and follows the run.
    Joined,
    /// A gate granted a permit.
    Permitted(UpstreamName),
    /// This instance claimed the request in the key-value service.
    Claimed,
    /// An earlier claim of the key or act decided the answer.
    ClaimFound,
    /// Another instance drives the run and is followed.
    Followed,
    /// The runner died and this instance resumes the run at the upstream.
    TakenOver(UpstreamName),
    /// The upstream could not be reached; no byte was sent.
    Unsent(UpstreamName),
    /// The stream from the upstream failed.
    Interrupted,
    /// The run was parked in favour of a higher tier.
    Parked,
    /// The run was cancelled because no caller followed it any more.
    Cancelled,
    /// The request was refused.
    Refused(ErrorKind),
    /// The whole answer arrived.
    Answered,
}

/// A step with its time, as it is reported.
#[derive(Clone, Debug, Serialize)]
pub struct StepReport {
    /// Time since the Unix epoch, in milliseconds.
    pub at: u64,
    /// Reason, as one word in snake case.
    pub reason: &'static str,
    /// Reason, as a sentence.
    pub message: String,
}

impl Step {
    /// Returns the report of the step, taken at time `at`.
    pub fn report(&self, at: Duration) -> StepReport {
        StepReport { at: at.as_millis() as u64, reason: self.reason(), message: self.message() }
    }

    const fn reason(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Joined => "joined",
            Self::Permitted(_) => "permitted",
            Self::Claimed => "claimed",
            Self::ClaimFound => "claim_found",
            Self::Followed => "followed",
            Self::TakenOver(_) => "taken_over",
            Self::Unsent(_) => "unsent",
            Self::Interrupted => "cut",
            Self::Parked => "parked",
            Self::Cancelled => "cancelled",
            Self::Refused(_) => "refused",
            Self::Answered => "answered",
        }
    }

    fn message(&self) -> String {
        match self {
            Self::Accepted => "The request waits for a permit.".into(),
            Self::Joined => "A repeat of the request follows the run.".into(),
            Self::Permitted(upstream) => format!("A gate permits the request on {upstream}."),
            Self::Claimed => "The claim in the key-value service was won.".into(),
            Self::ClaimFound => "An earlier claim of the key or act decides the answer.".into(),
            Self::Followed => "Another instance drives the run.".into(),
            Self::TakenOver(upstream) => {
                format!("Its runner died; the run goes on from {upstream} here.")
            }
            Self::Unsent(upstream) => format!("{upstream} can't be reached; nothing was sent."),
            Self::Interrupted => "The exchange with the upstream was cut and is resumed.".into(),
            Self::Parked => "The run gave way to a higher tier.".into(),
            Self::Cancelled => "Nobody waited any more.".into(),
            Self::Refused(kind) => kind.answer().title.into(),
            Self::Answered => "The answer went out whole.".into(),
        }
    }
}
