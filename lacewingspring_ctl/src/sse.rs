//! Incremental parser for server-sent events.

use std::mem;

use crate::error::StreamError;

/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_LEN: usize = 1024 * 1024;

/// One event of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `event` field; empty if the event has none.
    pub name: String,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// Parser that buffers incomplete lines and events between calls.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    event: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Parses the next bytes of the stream and returns the events that they complete.
    pub fn feed(&mut self, buf: &[u8]) -> Result<Vec<SseEvent>, StreamError> {
        let mut events = Vec::new();
        for chunk in buf.split_inclusive(|&byte| byte == b'\n') {
            self.line.extend_from_slice(chunk);
            if self.line.len() > MAX_LINE_LEN {
                return Err(StreamError::LineTooLong);
            }
            if self.line.ends_with(b"\n") {
                events.extend(self.end_line());
            }
        }
        Ok(events)
    }

    fn end_line(&mut self) -> Option<SseEvent> {
        let bytes = mem::take(&mut self.line);
        let text = String::from_utf8_lossy(&bytes);
        let line = text.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        self.apply_field(field, value.strip_prefix(' ').unwrap_or(value));
        None
    }

    fn end_event(&mut self) -> Option<SseEvent> {
        let event = mem::take(&mut self.event);
        mem::take(&mut self.has_data).then_some(event)
    }

    fn apply_field(&mut self, field: &str, value: &str) {
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            // Comments (keep-alives) have an empty field name. `id` and `retry` only matter to
            // clients that reconnect.
            _ => {}
        }
    }
}
