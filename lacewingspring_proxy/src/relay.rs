//! Passes the response of an upstream on to the caller, in one piece or as it arrives.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header::RETRY_AFTER, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use lacewingspring_core::{dispatch::End, names::UpstreamName};
use tokio::time::{Instant, timeout_at};

use crate::{
    answer::{ResponseBody, StreamedBody},
    attempt::Attempt,
    clock,
    exchange::UpstreamResponse,
    framing::{BodyProgress, Framing, is_event_stream},
    memory_budget::flow::FlowShare,
    protocol::{Protocol, RateLimit, ResponseHead},
    refusal::Failure,
    retry_after::parse_retry_after,
    unavailable::UnavailableUpstreams,
};

/// Largest response body, in bytes, that is buffered in full before it is passed on.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Result of one attempt at an upstream.
pub enum Outcome {
    /// A response to pass on to the caller.
    Answered(Response<ResponseBody>),
    /// The upstream did not run the request, so that it may be sent to another one.
    NotRun(Failure),
    /// The upstream may have run the request; holds its error response if it sent a complete one.
    MayHaveRun(Option<UpstreamError>),
    /// The deadline of the request passed.
    Timeout,
}

/// A complete error response of an upstream.
pub struct UpstreamError {
    /// Response to pass on if no later attempt succeeds.
    pub response: Response<ResponseBody>,
    /// Upstream that sent it.
    pub upstream: UpstreamName,
    /// What was read of its body.
    pub progress: BodyProgress,
}

/// Why a response is not passed on.
struct Rejection {
    /// End of its attempt.
    end: End,
    /// Reason for the log.
    reason: &'static str,
    /// What follows for the request.
    outcome: Outcome,
}

/// What decides how the response to a request is passed on.
pub struct Relay<'a, P> {
    /// Headers that upstreams use.
    pub protocol: &'a P,
    /// Records the upstreams that leave or want a pause.
    pub unavailable: &'a UnavailableUpstreams,
    /// Id of the request, which its response must have if it has one.
    pub id: &'a str,
    /// Whether successful responses are streams.
    pub is_stream_route: bool,
    /// Output tokens in each event of a stream.
    pub tokens_per_event: u32,
    /// Time by which the response must be complete.
    pub deadline: Instant,
}

impl<P> Relay<'_, P>
where
    P: Protocol,
{
    /// Validates the head of a response and passes the response on, unless it is not an answer to
    /// the request.
    pub async fn pass_on(
        &self,
        mut attempt: Attempt,
        received: UpstreamResponse,
        share: FlowShare,
    ) -> Outcome {
        let status = received.head.status;
        let upstream_head = self.protocol.response_head(status.as_u16(), &received.head.headers);
        let now = clock::now();
        let is_own = upstream_head.id.as_deref().is_none_or(|id| id == self.id);
        if is_own && !upstream_head.is_misdirected {
            self.record_announcements(now, &attempt, &received.head, &upstream_head);
            record_load(now, &mut attempt, &upstream_head);
        }
        if let Some(rejection) = self.rejection(status, &upstream_head) {
            let Rejection { end, reason, outcome } = rejection;
            attempt.fail(now, end, reason);
            return outcome;
        }
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = self.protocol.response_headers(&received.head.headers);
        let is_stream = self.is_stream_route && status.is_success();
        let is_event_stream = is_event_stream(&received.head.headers, is_stream);
        let progress = BodyProgress::new(received.framing, is_event_stream);
        if is_stream {
            let body = StreamedBody::new(received, progress, attempt, self.deadline, share)
                .with_tokens_per_event(self.tokens_per_event);
            return streamed(response, body);
        }
        let has_short_length = received.framing == Framing::Length
            && received.body.size_hint().lower() <= MAX_BUFFERED_BODY_BYTES as u64;
        let may_be_short = received.framing != Framing::Length && !is_event_stream;
        if has_short_length || may_be_short {
            return self.buffer(attempt, received, progress, response, share).await;
        }
        streamed(response, StreamedBody::new(received, progress, attempt, self.deadline, share))
    }

    /// Returns why a response is not passed on by its head; `None` if it may be.
    fn rejection(&self, status: StatusCode, head: &ResponseHead) -> Option<Rejection> {
        let (end, reason, outcome) = if head.id.as_deref().is_some_and(|id| id != self.id) {
            let reason = "response has the id of another request";
            (End::Broken, reason, Outcome::MayHaveRun(None))
        } else if head.is_misdirected {
            (End::Misdirected, "misdirected", Outcome::NotRun(Failure::Unreachable))
        } else if head.is_declined {
            (End::Declined, "declined", Outcome::NotRun(Failure::Declined))
        } else if status.is_success() && !head.is_signed {
            (End::Broken, "response has no signature", Outcome::MayHaveRun(None))
        } else {
            return None;
        };
        Some(Rejection { end, reason, outcome })
    }

    /// Records whether the upstream leaves, names a limit or wants a pause.
    fn record_announcements(
        &self,
        now: Duration,
        attempt: &Attempt,
        head: &Parts,
        upstream_head: &ResponseHead,
    ) {
        let upstream = &attempt.grant().upstream;
        if upstream_head.is_leaving && self.unavailable.record_leaving(upstream) {
            attempt.upstream_leaves();
        }
        if let Some(max_declined) = upstream_head.max_declined {
            attempt.upstream_is_brittle(max_declined);
        }
        match &upstream_head.rate_limit {
            // A response that is not the upstream's own says nothing of it.
            RateLimit::None if upstream_head.is_signed || upstream_head.is_declined => {
                attempt.upstream_has_no_limit();
            }
            RateLimit::None => {}
            RateLimit::PerSecond(rate) => attempt.upstream_limits(*rate),
            RateLimit::Invalid(value) => attempt.invalid_rate_limit(value),
        }
        if head.status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some(value) = head.headers.get(RETRY_AFTER) else { return };
        let value = value.to_str().unwrap_or_default();
        match parse_retry_after(clock::wall(), value) {
            Ok(pause) => {
                self.unavailable.record_pause(now, upstream, pause);
                attempt.upstream_pauses(pause);
            }
            Err(e) => attempt.invalid_retry_after(value, &e),
        }
    }

    /// Buffers a response, so that an incomplete one is never passed on; one that turns out to be
    /// long is passed on as it arrives from then on.
    async fn buffer(
        &self,
        attempt: Attempt,
        mut received: UpstreamResponse,
        mut progress: BodyProgress,
        response: Response<()>,
        mut share: FlowShare,
    ) -> Outcome {
        let read = read_start(&mut received.body, &mut share);
        let read = timeout_at(self.deadline, read).await;
        let now = clock::now();
        let data = match read {
            Ok(Ok(BodyStart::Complete(data))) => data,
            Ok(Ok(BodyStart::Long(data))) => {
                let body = StreamedBody::new(received, progress, attempt, self.deadline, share);
                return streamed(response, body.with_start(data));
            }
            Ok(Err(e)) => {
                attempt.fail(now, End::Broken, &format!("response body broke off: {e}"));
                return Outcome::MayHaveRun(None);
            }
            Err(_) => {
                attempt.fail(now, End::Cancelled, "time");
                return Outcome::Timeout;
            }
        };
        progress.push(&data);
        if progress.is_truncated() {
            attempt.fail(now, End::Broken, "response body is truncated");
            return Outcome::MayHaveRun(None);
        }
        let status = response.status();
        let response = response.map(|()| ResponseBody::Buffered(Full::new(share.attach(data))));
        if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
            let upstream = attempt.grant().upstream.clone();
            attempt.fail(now, End::Failed, status.as_str());
            return Outcome::MayHaveRun(Some(UpstreamError { response, upstream, progress }));
        }
        attempt.finish(now, status.as_u16(), &progress, 0, Duration::ZERO);
        Outcome::Answered(response)
    }
}

/// Records the load that the upstream reports if its report has a pace (four figures).
fn record_load(now: Duration, attempt: &mut Attempt, head: &ResponseHead) {
    // A response that is not the upstream's own says nothing of it.
    let is_of_upstream = head.is_signed || head.is_declined;
    if let Some(load) = head.load.filter(|load| is_of_upstream && load.pace.is_some()) {
        attempt.upstream_load(now, load);
    }
}

fn streamed(response: Response<()>, body: StreamedBody) -> Outcome {
    Outcome::Answered(response.map(|()| ResponseBody::Streamed(Box::new(body))))
}

/// Start of a response body.
enum BodyStart {
    /// All of the body.
    Complete(Bytes),
    /// More than [`MAX_BUFFERED_BODY_BYTES`], or more than there is memory for; the rest has not
    /// been read.
    Long(Bytes),
}

async fn read_start(body: &mut Incoming, share: &mut FlowShare) -> Result<BodyStart, hyper::Error> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_BUFFERED_BODY_BYTES || !share.grow(buf.len()).await {
            return Ok(BodyStart::Long(buf.freeze()));
        }
    }
    Ok(BodyStart::Complete(buf.freeze()))
}
