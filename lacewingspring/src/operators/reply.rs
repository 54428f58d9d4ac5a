//! Replies to operators.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::problem::{Failure, Problem};

/// Media type of successful replies.
const JSON: &str = "application/json";

/// Media type of problem details.
const PROBLEM_JSON: &str = "application/problem+json";

/// Reply to an operator call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorReply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Value of the `Retry-After` header; `None` if the header is left out.
    pub retry_after: Option<Duration>,
    /// Complete body.
    pub body: Bytes,
}

impl OperatorReply {
    /// Creates the reply to a successful call.
    pub(super) fn json<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        Self { status: 200, content_type: JSON, retry_after: None, body: to_body(value) }
    }

    /// Creates a reply with the problem details of a failure.
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
    // Serialization can't fail: the messages have string keys only.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}
