//! Judges whether the gate at the other end of a link has failed.
//!
//! A gate under load answers late. It has not failed, and the next one would get the same load
//! together with the reports of all instances. So a request without an acknowledgement counts only
//! if the gate sent nothing else either.

use std::time::Duration;

/// Time without a message from the gate after which it has failed. Pings make it send some.
const GATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// As [`GATE_TIMEOUT`], while a request waits for so long for its acknowledgement.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(300);

/// When the gate was last heard on a link.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    opened_at: Duration,
    /// Time of the last message; `None` before the first one.
    received_at: Option<Duration>,
}

impl Liveness {
    /// Creates the state of a link that is opened at `now`.
    pub fn new(now: Duration) -> Self {
        Self { opened_at: now, received_at: None }
    }

    /// Records a message from the gate.
    pub fn record_message(&mut self, now: Duration) {
        self.received_at = Some(now);
    }

    /// Returns the time since the gate was last heard.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at.unwrap_or(self.opened_at))
    }

    /// Returns whether the gate has failed, if the oldest request without an acknowledgement was
    /// sent at `unacknowledged_since`.
    ///
    /// Before its first message a new gate may be busy with the reports of all instances.
    pub fn has_failed(&self, now: Duration, unacknowledged_since: Option<Duration>) -> bool {
        let silence = self.silence(now);
        if silence >= GATE_TIMEOUT {
            return true;
        }
        let waited = unacknowledged_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.received_at.is_some() && silence.min(waited) > ACKNOWLEDGE_TIMEOUT
    }
}
