//! Error responses that the proxy generates itself: the kinds of failure, and the status, name and
//! body of each.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use lacewingspring_core::dispatch::{Reason, Refusal};
use serde_json::json;

/// Why the proxy responds with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The request can't be parsed.
    Malformed,
    /// The credential is missing or unknown.
    Unauthenticated,
    /// No route matches the request, or the route has no service.
    NotFound,
    /// The request body exceeds the size limit.
    TooLarge,
    /// No byte of the request body came for too long.
    BodyStalled,
    /// There is too little memory for the request, or its body was given up for others.
    NoMemory,
    /// The declared configuration has not been read yet.
    NotConfigured,
    /// The gate is at this instance, which is not registered and knows no other one.
    NotRegistered,
    /// Another instance, which this one does not know, passed the request on and has admitted it
    /// under a later version of the configuration than this one has.
    Outdated,
    /// The gate refused the request a slot.
    Refused(Reason),
    /// An upstream declined to run the request.
    Declined,
    /// No connection could be made to the upstreams that were tried.
    Unreachable,
    /// The deadline passed before the request was sent.
    TimeoutBeforeSend,
    /// The deadline passed after the request was sent.
    TimeoutAfterSend,
    /// The request may have run, but no complete response came from the upstream.
    ResponseLost,
}

/// How a failure is reported to the caller and to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureSpec {
    /// Status of the response.
    pub status: StatusCode,
    /// Name in logs, metrics and response bodies.
    pub name: &'static str,
    /// Whether it is certain that the request has not run and never will.
    pub is_not_run: bool,
}

impl Failure {
    /// Returns how this failure is reported.
    pub const fn spec(self) -> FailureSpec {
        let (status, name, is_not_run) = match self {
            Self::Malformed => (StatusCode::BAD_REQUEST, "malformed", true),
            Self::Unauthenticated => (StatusCode::UNAUTHORIZED, "unauthenticated", true),
            Self::NotFound => (StatusCode::NOT_FOUND, "not_found", true),
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too_large", true),
            Self::BodyStalled => (StatusCode::REQUEST_TIMEOUT, "body_stalled", true),
            Self::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "memory", true),
            Self::NotConfigured => (StatusCode::SERVICE_UNAVAILABLE, "not_configured", true),
            Self::NotRegistered => (StatusCode::SERVICE_UNAVAILABLE, "not_registered", true),
            Self::Outdated => (StatusCode::SERVICE_UNAVAILABLE, "outdated", true),
            Self::Refused(Reason::Limit) => (StatusCode::TOO_MANY_REQUESTS, "limit", true),
            Self::Refused(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason.name(), true),
            Self::Declined => (StatusCode::SERVICE_UNAVAILABLE, "declined", true),
            Self::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "unreachable", true),
            Self::TimeoutBeforeSend => (StatusCode::SERVICE_UNAVAILABLE, "time_out", true),
            Self::TimeoutAfterSend => (StatusCode::GATEWAY_TIMEOUT, "time_out_sent", false),
            Self::ResponseLost => (StatusCode::BAD_GATEWAY, "answer_lost", false),
        };
        FailureSpec { status, name, is_not_run }
    }
}

/// An error response that the proxy generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Reason for the response.
    pub failure: Failure,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Queue length of the service at the time of the refusal.
    pub waiting: u32,
    /// Expected wait in the queue at the time of the refusal.
    pub expected_wait: Duration,
}

impl From<Failure> for ErrorResponse {
    fn from(failure: Failure) -> Self {
        Self { failure, retry_after: None, waiting: 0, expected_wait: Duration::ZERO }
    }
}

impl From<Refusal> for ErrorResponse {
    fn from(refusal: Refusal) -> Self {
        let Refusal { reason, retry_after, waiting, expected_wait } = refusal;
        let retry_after = Some(retry_after);
        Self { failure: Failure::Refused(reason), retry_after, waiting, expected_wait }
    }
}

impl ErrorResponse {
    /// Builds the HTTP response: a JSON body, `Retry-After` in fractional seconds, and
    /// `Connection: close` if the request could not be read in full.
    pub fn into_response(self) -> Response<Bytes> {
        let spec = self.failure.spec();
        let body = json!({"error": spec.name, "not_run": spec.is_not_run}).to_string();
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = spec.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after) = self.retry_after {
            let text = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        let is_unread = matches!(
            self.failure,
            Failure::Malformed | Failure::TooLarge | Failure::BodyStalled | Failure::NoMemory
        );
        if is_unread {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
