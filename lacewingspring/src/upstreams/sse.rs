//! Server-sent events as read from an upstream (HTML standard, section 9.2).

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes.
const MAX_EVENT_LEN: usize = 256 * 1024;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Identifier of the event, when given.
    pub id: Option<u64>,
    /// Data of the event.
    pub data: String,
}

/// The event is too long or not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEvent;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
}

impl EventParser {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &Bytes) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or none until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Fails when an event is too long or not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>, BadEvent> {
        let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.buf.len() > MAX_EVENT_LEN { Err(BadEvent) } else { Ok(None) };
        };
        let frame = self.buf.split_to(end + 2);
        let text = std::str::from_utf8(&frame).map_err(|_| BadEvent)?;
        Ok(Some(parse(text)))
    }
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id:") {
            event.id = id.trim().parse().ok();
        } else if let Some(data) = line.strip_prefix("data:") {
            event.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
    event
}
