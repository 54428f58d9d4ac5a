//! Parser of server-sent events (HTML standard, section 9.2), restricted to what engines send:
//! lines end with LF, and only the fields `id` and `data` are read.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Id of the event; `None` if it has none or it isn't a number.
    pub id: Option<u64>,
    /// Data of the event; several `data` lines are joined without a separator.
    pub data: String,
}

/// The event exceeds the size limit or is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEvent;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
}

impl EventParser {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &Bytes) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if the buffer holds no complete one.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds the size limit or is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>, BadEvent> {
        let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(BadEvent) } else { Ok(None) };
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
