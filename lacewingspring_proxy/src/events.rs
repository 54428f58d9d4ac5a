//! Boundaries of server-sent events (HTML standard, section 9.2) in bytes that arrive in parts.

/// Position in a stream of events, after the last byte that was pushed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// At the start of the stream or after the blank line that ends an event.
    #[default]
    BetweenEvents,
    /// In a line of an event.
    InLine,
    /// After the end of a line of an event; another line end completes the event.
    AfterLine,
}

/// Counts the complete events of a stream, whose lines end with LF, CR or CRLF.
///
/// A comment counts as a part of the event that follows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventScanner {
    complete: u32,
    position: Position,
    /// Bytes since the last complete event.
    event_bytes: usize,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    is_after_cr: bool,
}

impl EventScanner {
    /// Reads the next bytes of the stream.
    pub fn push(&mut self, data: &[u8]) {
        for byte in data {
            self.event_bytes = self.event_bytes.saturating_add(1);
            match byte {
                b'\n' if self.is_after_cr => {}
                b'\n' | b'\r' => self.end_line(),
                _ => self.position = Position::InLine,
            }
            self.is_after_cr = *byte == b'\r';
        }
    }

    fn end_line(&mut self) {
        self.position = match self.position {
            Position::BetweenEvents => Position::BetweenEvents,
            Position::InLine => Position::AfterLine,
            Position::AfterLine => {
                self.complete = self.complete.saturating_add(1);
                self.event_bytes = 0;
                Position::BetweenEvents
            }
        };
    }

    /// Returns the number of complete events.
    pub fn complete(&self) -> u32 {
        self.complete
    }

    /// Returns the number of bytes since the last complete event.
    pub fn event_bytes(&self) -> usize {
        self.event_bytes
    }

    /// Returns whether an event has begun whose end has not been read.
    pub fn is_inside_event(&self) -> bool {
        self.position != Position::BetweenEvents
    }
}
