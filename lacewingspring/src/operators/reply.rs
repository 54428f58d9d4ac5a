//! Answers to operators.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::problem::{Failure, Problem};

/// Media type of answers.
const JSON: &str = "application/json";

/// Media type of problem details.
const PROBLEM_JSON: &str = "application/problem+json";

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorReply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// When to come back, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Whole body.
    pub body: Bytes,
}

impl OperatorReply {
    /// Makes the answer to a call that succeeded.
    pub(super) fn json<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        Self { status: 200, content_type: JSON, retry_after: None, body: to_body(value) }
    }

    /// Makes the problem details of a failure.
    pub(super) fn problem(failure: &Failure) -> Self {
        Self {
            status: failure.kind.answer().status,
            content_type: PROBLEM_JSON,
            retry_after: failure.retry_after(),
            body: to_body(&Problem::from(failure)),
        }
    }
}

fn to_body<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    // The messages have string keys only, so they always have a JSON form.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}
