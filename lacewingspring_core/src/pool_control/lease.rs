//! Validity of a controller's lease by the controller's own clock.

use std::time::Duration;

/// A lease on the control of a pool as its holder sees it, with its fencing number.
///
/// The key-value service counts the time to live from when it received the request, the holder from
/// when it sent the request. So the holder stops before the lease expires, as long as both clocks
/// run at the same rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerLease {
    /// Fencing number; each later holder has a higher one.
    pub fencing: u64,
    valid_until: Duration,
}

impl ControllerLease {
    /// Time before the expiry of the lease at which the holder stops sending orders, in case the
    /// clocks run at different rates.
    pub const STOP_MARGIN: Duration = Duration::from_millis(500);

    /// Starts a lease that was requested at `sent`.
    pub fn new(fencing: u64, sent: Duration, ttl: Duration) -> Self {
        Self { fencing, valid_until: valid_until(sent, ttl) }
    }

    /// Extends the lease after a successful renewal that was requested at `sent`.
    pub fn renew(&mut self, sent: Duration, ttl: Duration) {
        self.valid_until = self.valid_until.max(valid_until(sent, ttl));
    }

    /// Returns whether the holder may send an order at `now`.
    pub fn may_order(&self, now: Duration) -> bool {
        now < self.valid_until
    }
}

fn valid_until(sent: Duration, ttl: Duration) -> Duration {
    sent + ttl.saturating_sub(ControllerLease::STOP_MARGIN)
}
