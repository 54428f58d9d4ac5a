//! How many bytes the gate may spend on telling others of changes.

use std::time::Duration;

/// Part of the machine's link that changes may take; the rest is for requests.
const LINK_PART: f64 = 0.25;

/// Time for which an unused allowance is saved up.
const SAVED: Duration = Duration::from_millis(500);

/// Bytes that may be spent, refilled over time.
#[derive(Debug)]
pub struct Allowance {
    /// Bytes a second; none without a bound.
    rate: Option<f64>,
    left: f64,
    refilled_at: Duration,
}

impl Allowance {
    /// Creates a full allowance on a link that carries so many bytes a second.
    pub fn new(link_bytes: Option<f64>) -> Self {
        let rate = link_bytes.map(|bytes| bytes * LINK_PART);
        let left = rate.unwrap_or_default() * SAVED.as_secs_f64();
        Self { rate, left, refilled_at: Duration::ZERO }
    }

    /// Spends bytes; false when there are too few.
    pub fn spend(&mut self, now: Duration, bytes: usize) -> bool {
        let Some(rate) = self.rate else { return true };
        let passed = now.saturating_sub(self.refilled_at).min(SAVED);
        self.refilled_at = now;
        self.left = (self.left + rate * passed.as_secs_f64()).min(rate * SAVED.as_secs_f64());
        let is_enough = self.left >= bytes as f64;
        if is_enough {
            self.left -= bytes as f64;
        }
        is_enough
    }
}
