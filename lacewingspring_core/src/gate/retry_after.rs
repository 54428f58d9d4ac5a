//! When refused callers are told to come back.

use std::time::Duration;

use super::work::Ticket;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time after which a refused caller is told to come back, before the spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// Work that was refused and is expected back, in slot seconds.
///
/// Without it, a burst that is refused within one moment would be told to come back within one
/// short moment too.
#[derive(Debug, Default)]
pub(super) struct RetryBacklog {
    expected_retries: f64,
    updated_at: Duration,
}

impl RetryBacklog {
    /// Returns when a refused caller is to come back and counts its work as expected then.
    ///
    /// `ahead` and `seconds` are slot seconds, `slots` is what drains in a second.
    pub fn schedule_retry(
        &mut self,
        now: Duration,
        ahead: f64,
        seconds: f64,
        slots: f64,
    ) -> Duration {
        let slots = slots.max(1.0);
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.expected_retries = (self.expected_retries - elapsed * slots).max(0.0);
        self.updated_at = now;
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        let wait = ((ahead + self.expected_retries) / slots).min(longest);
        self.expected_retries = (self.expected_retries + seconds).min(longest * slots);
        MIN_RETRY_AFTER + Duration::from_secs_f64(wait)
    }
}

/// Spreads a time over one more of the same length, by a hash of the ticket.
pub(super) fn add_jitter(after: Duration, ticket: Ticket) -> Duration {
    after + after.mul_f64(unit_hash(ticket.0))
}

/// Returns a value in `0.0..1.0` by the finaliser of splitmix64, the same on every instance.
fn unit_hash(value: u64) -> f64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
