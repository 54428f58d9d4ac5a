//! Learning window of a gate whose role came from another holder.

use std::time::Duration;

/// Time in which a new holder learns the open permits of its predecessor.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    until: Option<Duration>,
}

impl Recovery {
    /// Starts a window that ends at `until`.
    pub fn start(until: Duration) -> Self {
        Self { until: Some(until) }
    }

    /// Returns whether permits may exist that the gate does not know of.
    pub fn is_pending(&self) -> bool {
        self.until.is_some()
    }

    /// Ends the window once its time has passed; true when it ends now.
    pub fn end(&mut self, now: Duration) -> bool {
        let ends = self.until.is_some_and(|until| now >= until);
        if ends {
            self.until = None;
        }
        ends
    }
}
