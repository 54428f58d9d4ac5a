//! How long a controller may order under its lease.

use std::time::Duration;

/// A lease as its holder knows it, with the fencing number of the tenure.
///
/// The service counts the time to live from when it took the request, which is not before it was
/// sent. So the holder stops first, as long as the two clocks run equally fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerLease {
    /// Fencing number; each later tenure has a higher one.
    pub fencing: u64,
    until: Duration,
}

impl ControllerLease {
    /// Time before the end of the lease at which the holder stops, for clocks that differ.
    pub const STOP_MARGIN: Duration = Duration::from_millis(500);

    /// Starts a tenure whose lease was asked for at `sent`.
    pub fn new(fencing: u64, sent: Duration, ttl: Duration) -> Self {
        Self { fencing, until: end(sent, ttl) }
    }

    /// Takes a renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Duration, ttl: Duration) {
        self.until = self.until.max(end(sent, ttl));
    }

    /// Returns whether an order may go out at `now`.
    pub fn may_order(&self, now: Duration) -> bool {
        now < self.until
    }
}

fn end(sent: Duration, ttl: Duration) -> Duration {
    sent + ttl.saturating_sub(ControllerLease::STOP_MARGIN)
}
