//! Replies to callers, with refusals as problem details (RFC 9457).

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_core::Stream;
use http::{HeaderName, HeaderValue, StatusCode, header};
use lacewingspring_core::{
    error::{ErrorKind, RunState},
    key_index::KeyId,
};
use serde::Serialize;
use xitca_web::{
    body::{ResponseBody, StreamDataBody},
    http::WebResponse,
};

use super::auth::IDEMPOTENCY_KEY;
use crate::entry::Refusal;

/// URN prefix of problem types.
const PROBLEM_PREFIX: &str = "urn:lacewingspring:problem:";

/// Header with the time until a retry, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Maximum length of a detail, in bytes; a detail may contain names that the caller chose.
const MAX_DETAIL_LEN: usize = 400;

/// Chunks of a streamed body.
type ByteStream = Pin<Box<dyn Stream<Item = Bytes>>>;

/// Body of a reply.
enum Content {
    Whole(Bytes),
    Streamed(ByteStream),
}

/// Reply to a caller.
pub struct Reply {
    status: StatusCode,
    content_type: HeaderValue,
    headers: Vec<(HeaderName, HeaderValue)>,
    content: Content,
}

/// Problem details of a refusal.
#[derive(Serialize)]
struct Problem {
    #[serde(rename = "type")]
    problem: String,
    title: &'static str,
    status: u16,
    kind: ErrorKind,
    run: RunState,
    #[serde(skip_serializing_if = "String::is_empty")]
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    addresses: Vec<SocketAddr>,
}

struct InfallibleStream(ByteStream);

impl Stream for InfallibleStream {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(cx).map(|item| item.map(Ok))
    }
}

impl Reply {
    /// Creates a reply with a whole body.
    pub fn whole(status: u16, content_type: &str, body: Bytes) -> Self {
        Self::new(status, content_type, Content::Whole(body))
    }

    /// Creates a reply with a JSON body.
    pub fn json<T>(status: u16, value: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", body.into())
    }

    /// Creates a reply with a stream of server-sent events.
    pub fn events<S>(events: S) -> Self
    where
        S: Stream<Item = Bytes> + 'static,
    {
        Self::new(200, "text/event-stream", Content::Streamed(Box::pin(events)))
    }

    /// Creates the problem details of a malformed body, with the reason.
    pub fn malformed(mut detail: String) -> Self {
        detail.truncate(detail.floor_char_boundary(MAX_DETAIL_LEN));
        Self::refused(Refusal::permanent(ErrorKind::Malformed), Vec::new(), detail)
    }

    /// Creates the problem details of a refusal, with the time until a retry and the addresses of
    /// other instances.
    pub fn problem(refusal: Refusal, addresses: Vec<SocketAddr>) -> Self {
        Self::refused(refusal, addresses, String::new())
    }

    fn refused(refusal: Refusal, addresses: Vec<SocketAddr>, detail: String) -> Self {
        let answer = refusal.kind.answer();
        let retry_after_ms = answer.retry.then_some(refusal.retry_after.as_millis() as u64);
        let problem = Problem {
            problem: format!("{PROBLEM_PREFIX}{}", answer.problem),
            title: answer.title,
            status: answer.status,
            kind: refusal.kind,
            run: answer.run,
            detail,
            retry_after_ms,
            addresses,
        };
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let reply = Self::whole(answer.status, "application/problem+json", body.into());
        if answer.retry { reply.with_retry_after(refusal.retry_after) } else { reply }
    }

    /// Adds the time until a retry, in seconds and in milliseconds.
    pub fn with_retry_after(self, after: Duration) -> Self {
        let ms = after.as_millis() as u64;
        self.with_numeric_header(header::RETRY_AFTER, ms.div_ceil(1_000))
            .with_numeric_header(HeaderName::from_static(RETRY_AFTER_MS), ms)
    }

    /// Adds the idempotency key of the request.
    pub fn with_key(mut self, id: &KeyId) -> Self {
        if let Ok(value) = HeaderValue::from_str(id.key.as_str()) {
            self.headers.push((HeaderName::from_static(IDEMPOTENCY_KEY), value));
        }
        self
    }

    /// Converts the reply to the HTTP server's response.
    pub fn into_response(self) -> WebResponse {
        let body = match self.content {
            Content::Whole(bytes) => ResponseBody::bytes(bytes),
            Content::Streamed(stream) => {
                ResponseBody::boxed(StreamDataBody::new(InfallibleStream(stream)))
            }
        };
        let mut response = WebResponse::new(body);
        *response.status_mut() = self.status;
        response.headers_mut().insert(header::CONTENT_TYPE, self.content_type);
        response.headers_mut().extend(self.headers);
        response
    }

    fn new(status: u16, content_type: &str, content: Content) -> Self {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let content_type = HeaderValue::from_str(content_type);
        let unknown = HeaderValue::from_static("application/octet-stream");
        let content_type = content_type.unwrap_or(unknown);
        Self { status, content_type, headers: Vec::new(), content }
    }

    fn with_numeric_header(mut self, name: HeaderName, number: u64) -> Self {
        self.headers.push((name, HeaderValue::from(number)));
        self
    }
}
