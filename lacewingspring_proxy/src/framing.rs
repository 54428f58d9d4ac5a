//! How a response delimits its body, and how much of the body was read.

use http::{
    HeaderMap,
    header::{CONTENT_TYPE, TRANSFER_ENCODING},
};
use hyper::body::{Body, Incoming};

use crate::events::EventScanner;

/// How a response delimits its body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// By a length that is known from the head; 0 for a response without a body.
    Length,
    /// By chunks, of which the last one is empty.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns the framing of a response whose body has not been read yet.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
        let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        if is_chunked { Self::Chunked } else { Self::Close }
    }

    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Largest size of an event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether a response is a stream of events; one without a media type is if its route
/// carries streams.
pub fn is_event_stream(headers: &HeaderMap, is_stream_route: bool) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else { return is_stream_route };
    let media_type = value.to_str().ok().and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// What was read of the body of a response.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    /// How the response delimits its body.
    pub framing: Framing,
    /// Bytes that were read.
    pub bytes: u64,
    /// Events in these bytes; `None` if the body is not a stream of events.
    pub events: Option<EventScanner>,
}

impl BodyProgress {
    /// Creates the progress of a body of which nothing was read.
    pub fn new(framing: Framing, is_event_stream: bool) -> Self {
        Self { framing, bytes: 0, events: is_event_stream.then(EventScanner::default) }
    }

    /// Records bytes that were read.
    pub fn push(&mut self, data: &[u8]) {
        self.bytes = self.bytes.saturating_add(data.len() as u64);
        if let Some(events) = &mut self.events {
            events.push(data);
        }
    }

    /// Returns whether the stream has more bytes without the end of an event than any event has.
    pub fn is_event_too_long(&self) -> bool {
        self.events.is_some_and(|events| events.event_bytes() > MAX_EVENT_BYTES)
    }

    /// Returns the number of complete events; 0 if the body is not a stream of events.
    pub fn complete_events(&self) -> u32 {
        self.events.map_or(0, |events| events.complete())
    }

    /// Returns whether the upstream broke the body off, although its framing ended here.
    ///
    /// The end of a connection alone does not make a stream without events complete: a crashed
    /// upstream ends its connection too.
    pub fn is_truncated(&self) -> bool {
        let Some(events) = self.events else { return false };
        events.is_inside_event() || (self.framing == Framing::Close && events.complete() == 0)
    }

    /// Returns whether the body is a stream of events and an event has begun whose end has not been
    /// read.
    pub fn is_inside_event(&self) -> bool {
        self.events.is_some_and(|events| events.is_inside_event())
    }
}
