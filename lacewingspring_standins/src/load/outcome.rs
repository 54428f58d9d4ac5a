//! Outcome of a request as seen by its caller.

use std::time::Duration;

/// Final state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The complete, expected response arrived.
    Answered,
    /// A complete response arrived that does not match this request.
    Wrong,
    /// The request was refused and not run.
    Refused,
    /// The response was lost; the request may have run.
    MayHaveRun,
    /// The caller gave up at its deadline.
    Abandoned,
}

/// Outcome of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Sequence number of the arrival.
    pub number: usize,
    /// Final state.
    pub verdict: Verdict,
    /// Time from arrival to the first token, or to the response of a plain call; `None` without a
    /// complete response.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

impl Outcome {
    /// Creates the outcome of a request without a complete response.
    pub fn without_answer(number: usize, verdict: Verdict) -> Self {
        Self { number, verdict, first_token: None, gaps: Vec::new() }
    }
}
