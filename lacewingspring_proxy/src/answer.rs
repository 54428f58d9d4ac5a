//! Bodies of the responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use lacewingspring_core::dispatch::End;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{
    attempt::Attempt,
    clock,
    exchange::{ConnectionGuard, UpstreamResponse},
    framing::BodyProgress,
    memory_budget::{body::HeldMessage, flow::FlowShare},
    pass_on::PassedBody,
};

/// Why a response body ends before it is complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection to the upstream failed.
    #[error("the connection to the upstream failed in the response body: {0}")]
    Upstream(#[from] hyper::Error),
    /// The framing of the body ended, but the upstream had not sent all of it.
    #[error("the upstream broke off the stream of events in its response body")]
    Truncated,
    /// An event of the stream has no end.
    #[error("the upstream sent an event that is too long in its response body")]
    EventTooLong,
    /// There is too little memory for the response.
    #[error("there is too little memory to pass the response on")]
    Memory,
    /// The deadline of the request passed.
    #[error("the deadline of the request passed before its response was complete")]
    Timeout,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is complete in memory.
    Buffered(Full<Bytes>),
    /// A body that is complete in memory, in parts.
    Held(HeldMessage),
    /// A body that is passed on as the upstream sends it.
    Streamed(Box<StreamedBody>),
    /// A body that another instance sends.
    PassedOn(Box<PassedBody>),
}

/// Body that is passed on as the upstream sends it, and that ends its [`Attempt`].
#[derive(Debug)]
pub struct StreamedBody {
    /// Bytes that were read from `body` already and are passed on first.
    start: Option<Bytes>,
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
    attempt: Option<Attempt>,
    first_output_at: Option<Duration>,
    progress: BodyProgress,
    tokens_per_event: u32,
    status: u16,
    share: FlowShare,
    _connection: ConnectionGuard,
}

impl StreamedBody {
    /// Creates the body of a response that must be complete by `deadline` and of which nothing was
    /// read.
    pub fn new(
        response: UpstreamResponse,
        progress: BodyProgress,
        attempt: Attempt,
        deadline: Instant,
        share: FlowShare,
    ) -> Self {
        Self {
            share,
            status: response.head.status.as_u16(),
            start: None,
            body: response.body,
            deadline: Box::pin(sleep_until(deadline)),
            attempt: Some(attempt),
            first_output_at: None,
            progress,
            tokens_per_event: 0,
            _connection: response.connection,
        }
    }

    /// Counts each event after the first as so many output tokens.
    pub fn with_tokens_per_event(mut self, tokens_per_event: u32) -> Self {
        self.tokens_per_event = tokens_per_event;
        self
    }

    /// Passes on bytes that were read from the body already.
    pub fn with_start(mut self, start: Bytes) -> Self {
        self.start = Some(start);
        self
    }

    fn record_data(&mut self, now: Duration, data: &Bytes) {
        if self.first_output_at.is_none() {
            self.first_output_at = Some(now);
            if let Some(attempt) = &mut self.attempt {
                attempt.first_output(now);
            }
        }
        self.progress.push(data);
        self.share.record(data);
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.body.is_end_stream()
    }

    fn finish(&mut self, now: Duration) {
        let Some(attempt) = self.attempt.take() else { return };
        let decode = now.saturating_sub(self.first_output_at.unwrap_or(now));
        let output_tokens =
            self.progress.complete_events().saturating_sub(1) * self.tokens_per_event;
        attempt.finish(now, self.status, &self.progress, output_tokens, decode);
    }

    fn fail(&mut self, now: Duration, end: End, reason: &str) {
        let Some(attempt) = self.attempt.take() else { return };
        attempt.cut_short(now, end, reason, &self.progress);
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.fail(clock::now(), End::Cancelled, "time");
            return Poll::Ready(Some(Err(BodyError::Timeout)));
        }
        if !ready!(self.share.poll_ready(cx)) {
            self.fail(clock::now(), End::Cancelled, "memory");
            return Poll::Ready(Some(Err(BodyError::Memory)));
        }
        let next = match self.start.take() {
            Some(data) => Some(Ok(Frame::data(data))),
            None => ready!(Pin::new(&mut self.body).poll_frame(cx)),
        };
        let now = clock::now();
        let is_last = match &next {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.record_data(now, data);
                }
                self.is_end_stream()
            }
            Some(Err(_)) => {
                self.fail(now, End::Broken, "upstream");
                false
            }
            None => true,
        };
        if self.progress.is_event_too_long() {
            self.fail(now, End::Broken, "event_too_long");
            return Poll::Ready(Some(Err(BodyError::EventTooLong)));
        }
        if is_last && self.progress.is_truncated() {
            // A last frame is withheld, as it would complete a response that has a length.
            self.fail(now, End::Broken, "truncated");
            return Poll::Ready(Some(Err(BodyError::Truncated)));
        }
        if is_last {
            self.finish(now);
        }
        Poll::Ready(next.map(|frame| frame.map_err(BodyError::from)))
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if self.is_end_stream() {
            self.finish(clock::now());
        } else {
            self.fail(clock::now(), End::Cancelled, "caller");
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(body) => {
                let next = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(next.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Held(body) => {
                let next = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(next.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Streamed(body) => body.poll(cx),
            Self::PassedOn(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Held(body) => body.is_end_stream(),
            Self::Streamed(body) => body.is_end_stream(),
            Self::PassedOn(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Held(body) => body.size_hint(),
            Self::Streamed(body) => body.body.size_hint(),
            Self::PassedOn(body) => body.size_hint(),
        }
    }
}
