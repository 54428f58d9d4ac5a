//! What became of a request from its caller's view.

use std::time::Duration;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer arrived.
    Answered,
    /// An answer arrived that is not the one to this request.
    Wrong,
    /// The request was refused and not run.
    Refused,
    /// The answer was lost; the request may have run.
    MayHaveRun,
    /// The caller gave up at its deadline.
    Abandoned,
}

/// Outcome of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of the arrival.
    pub number: usize,
    /// What became of it.
    pub verdict: Verdict,
    /// Time from arrival to the first token, or to the answer of a plain call.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl Outcome {
    /// Makes the outcome of a request without an answer.
    pub fn without_answer(number: usize, verdict: Verdict) -> Self {
        Self { number, verdict, first_token: None, gaps: Vec::new() }
    }
}
