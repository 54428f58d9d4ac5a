//! Times after which refused callers are to retry.

use std::time::Duration;

use super::work::Ticket;

/// Shortest time after which a refused caller is to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time that is added to [`MIN_RETRY_AFTER`], before jitter.
const MAX_ADDED_WAIT: Duration = Duration::from_secs(120);

/// Refused work that is expected to be retried, in slot seconds.
///
/// Without it, the callers of a burst that is refused at once would all be sent back at about the
/// same time.
#[derive(Debug, Default)]
pub(super) struct RetryBacklog {
    /// Slot seconds of the refused requests that are expected to be retried.
    expected_retry_seconds: f64,
    updated_at: Duration,
}

impl RetryBacklog {
    /// Returns the time after which a refused caller is to retry, and counts its work as expected.
    ///
    /// `ahead` and `seconds` are slot seconds; `slots` is the number of slot seconds served per
    /// second.
    pub fn schedule_retry(
        &mut self,
        now: Duration,
        ahead: f64,
        seconds: f64,
        slots: f64,
    ) -> Duration {
        let slots = slots.max(1.0);
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.expected_retry_seconds = (self.expected_retry_seconds - elapsed * slots).max(0.0);
        self.updated_at = now;
        let longest = MAX_ADDED_WAIT.as_secs_f64();
        let wait = ((ahead + self.expected_retry_seconds) / slots).min(longest);
        self.expected_retry_seconds = (self.expected_retry_seconds + seconds).min(longest * slots);
        MIN_RETRY_AFTER + Duration::from_secs_f64(wait)
    }
}

/// Adds jitter of up to the same time again, derived from a hash of the ticket.
pub(super) fn add_jitter(after: Duration, ticket: Ticket) -> Duration {
    after + after.mul_f64(unit_hash(ticket.0))
}

/// Hashes a value to `0.0..1.0` with the finaliser of splitmix64, equal on every instance.
fn unit_hash(value: u64) -> f64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
