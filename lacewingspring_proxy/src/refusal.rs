//! Answers that the system gives itself: a closed list of kinds and the table from kind to answer.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use lacewingspring_core::dispatch::{Reason, Refusal};
use serde_json::json;

/// Why the system answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The request can't be read.
    Malformed,
    /// The credential is unknown.
    Unauthenticated,
    /// No route leads on.
    NotFound,
    /// The body is larger than allowed.
    TooLarge,
    /// Nothing is declared yet.
    NotConfigured,
    /// The request got no slot.
    Refused(Reason),
    /// An upstream declined the request.
    Declined,
    /// No upstream could be reached.
    Unreachable,
    /// Time ran out before the request was sent.
    TimeOut,
    /// Time ran out after the request was sent.
    TimeOutSent,
    /// The upstream gave no whole answer.
    AnswerLost,
}

/// How a failure is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Status.
    pub status: StatusCode,
    /// Name in logs, metrics and bodies.
    pub name: &'static str,
    /// Whether the request has not run and never will.
    pub is_not_run: bool,
}

impl Failure {
    /// Returns the row of the table for this kind.
    pub const fn row(self) -> Row {
        let (status, name, is_not_run) = match self {
            Self::Malformed => (StatusCode::BAD_REQUEST, "malformed", true),
            Self::Unauthenticated => (StatusCode::UNAUTHORIZED, "unauthenticated", true),
            Self::NotFound => (StatusCode::NOT_FOUND, "not_found", true),
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too_large", true),
            Self::NotConfigured => (StatusCode::SERVICE_UNAVAILABLE, "not_configured", true),
            Self::Refused(Reason::Limit) => (StatusCode::TOO_MANY_REQUESTS, "limit", true),
            Self::Refused(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason.name(), true),
            Self::Declined => (StatusCode::SERVICE_UNAVAILABLE, "declined", true),
            Self::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "unreachable", true),
            Self::TimeOut => (StatusCode::SERVICE_UNAVAILABLE, "time_out", true),
            Self::TimeOutSent => (StatusCode::GATEWAY_TIMEOUT, "time_out_sent", false),
            Self::AnswerLost => (StatusCode::BAD_GATEWAY, "answer_lost", false),
        };
        Row { status, name, is_not_run }
    }
}

/// An answer that the system gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Why.
    pub failure: Failure,
    /// Time after which it is worth to come back.
    pub retry_after: Option<Duration>,
    /// Requests that waited for the service.
    pub waiting: u32,
    /// Wait that was expected.
    pub expected_wait: Duration,
}

impl From<Failure> for Denial {
    fn from(failure: Failure) -> Self {
        Self { failure, retry_after: None, waiting: 0, expected_wait: Duration::ZERO }
    }
}

impl From<Refusal> for Denial {
    fn from(refusal: Refusal) -> Self {
        let Refusal { reason, retry_after, waiting, expected_wait } = refusal;
        let retry_after = Some(retry_after);
        Self { failure: Failure::Refused(reason), retry_after, waiting, expected_wait }
    }
}

impl Denial {
    /// Returns the answer.
    pub fn into_response(self) -> Response<Bytes> {
        let row = self.failure.row();
        let body = json!({"error": row.name, "not_run": row.is_not_run}).to_string();
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = row.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after {
            let text = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if matches!(self.failure, Failure::Malformed | Failure::TooLarge) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
