//! Body of an answer on its way to the caller.

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
    clock,
    exchange::{Answer, Connection},
    sent::Sent,
};

/// Why the body of an answer ends early.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The upstream broke off.
    #[error("the upstream broke off: {0}")]
    Upstream(#[from] hyper::Error),
    /// The time of the request is over.
    #[error("the time of the request is over")]
    TimeOut,
}

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body that is whole already.
    Whole(Full<Bytes>),
    /// A body that is passed on as it comes.
    Relayed(Box<Relayed>),
}

/// Body that is passed on as it comes.
#[derive(Debug)]
pub struct Relayed {
    body: Incoming,
    until: Pin<Box<Sleep>>,
    sent: Option<Sent>,
    first_at: Option<Duration>,
    events: u32,
    tokens_an_event: u32,
    status: u16,
    _connection: Connection,
}

impl Relayed {
    /// Creates the body of an answer that must end by `until`.
    pub fn new(answer: Answer, sent: Sent, until: Instant, tokens_an_event: u32) -> Self {
        Self {
            status: answer.head.status.as_u16(),
            body: answer.body,
            until: Box::pin(sleep_until(until)),
            sent: Some(sent),
            first_at: None,
            events: 0,
            tokens_an_event,
            _connection: answer.connection,
        }
    }

    fn count(&mut self, now: Duration, data: &Bytes) {
        if self.first_at.is_none() {
            self.first_at = Some(now);
            if let Some(sent) = &self.sent {
                sent.first_output(now);
            }
        }
        let ends = data.windows(2).filter(|pair| pair == b"\n\n").count();
        self.events = self.events.saturating_add(u32::try_from(ends).unwrap_or(u32::MAX));
    }

    fn finish(&mut self, now: Duration) {
        let Some(sent) = self.sent.take() else { return };
        let decode = now.saturating_sub(self.first_at.unwrap_or(now));
        let output_tokens = self.events.saturating_sub(1) * self.tokens_an_event;
        sent.finish(now, self.status, output_tokens, decode);
    }

    fn fail(&mut self, now: Duration, end: End, reason: &str) {
        let Some(sent) = self.sent.take() else { return };
        sent.break_off(now, end, reason, self.events);
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.until.as_mut().poll(cx).is_ready() {
            self.fail(clock::now(), End::Cancelled, "time");
            return Poll::Ready(Some(Err(BodyError::TimeOut)));
        }
        let next = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let now = clock::now();
        match &next {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.count(now, data);
                }
                if self.body.is_end_stream() {
                    self.finish(now);
                }
            }
            Some(Err(_)) => self.fail(now, End::Broken, "upstream"),
            None => self.finish(now),
        }
        Poll::Ready(next.map(|frame| frame.map_err(BodyError::from)))
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        let is_whole = self.body.is_end_stream();
        if is_whole {
            self.finish(clock::now());
        } else {
            self.fail(clock::now(), End::Cancelled, "caller");
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let next = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(next.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Relayed(relayed) => relayed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relayed(relayed) => relayed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relayed(relayed) => relayed.body.size_hint(),
        }
    }
}
