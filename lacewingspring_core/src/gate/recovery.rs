//! Learning window of a gate that was taken over from another holder.

use std::time::Duration;

/// Window in which a new holder learns the open permits of the previous one.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    until: Option<Duration>,
}

impl Recovery {
    /// Starts a window that ends at `until`.
    pub fn start(until: Duration) -> Self {
        Self { until: Some(until) }
    }

    /// Returns whether permits may exist that the gate does not know about.
    pub fn is_pending(&self) -> bool {
        self.until.is_some()
    }

    /// Ends the window if its time has passed; returns true if this call ends it.
    pub fn end(&mut self, now: Duration) -> bool {
        let ends = self.until.is_some_and(|until| now >= until);
        if ends {
            self.until = None;
        }
        ends
    }
}
