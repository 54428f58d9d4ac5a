//! Jittered exponential backoff.

use std::time::Duration;

use rand::RngExt;

/// Waits that double with each failure; jitter shortens each wait by up to one half.
#[derive(Debug)]
pub(super) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(super) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, next: min }
    }

    /// Returns how long to wait after one more failure, and doubles the next wait up to the maximum.
    pub(super) fn next_wait(&mut self) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(self.max);
        jittered(wait)
    }

    /// Returns to the shortest wait after a success.
    pub(super) fn reset(&mut self) {
        self.next = self.min;
    }
}

/// Returns a random duration from 50 % to 100 % of `wait`.
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..=1.0))
}
