//! Retry budget of one workspace.

use std::time::Duration;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed for each fresh request, one that is not a retry.
    pub fraction: f64,
    /// Retries per second that the whole fleet may admit without any fresh request.
    pub floor_per_second: f64,
    /// Largest number of unused retries that accumulate.
    pub max_saved: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { fraction: 0.1, floor_per_second: 1.0, max_saved: 10.0 }
    }
}

/// Retries by callers of one workspace that one instance may still admit, as a token bucket.
///
/// Fresh requests add retries at the instance where they arrive, so the fraction holds over the
/// fleet. The floor is divided by the fraction of the workspace's rate that each instance holds.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    rate_fraction: f64,
    tokens: f64,
    filled_at: Duration,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(cfg: RetryBudgetConfig, now: Duration) -> Self {
        Self { cfg, rate_fraction: 0.0, tokens: 0.0, filled_at: now }
    }

    /// Sets the fraction of the workspace's rate that the instance holds: its share divided by the
    /// declared limit.
    pub fn set_rate_fraction(&mut self, now: Duration, fraction: f64) {
        self.refill(now);
        self.rate_fraction = fraction.clamp(0.0, 1.0);
    }

    /// Counts a fresh request, which adds to the budget.
    pub fn count_request(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = (self.tokens + self.cfg.fraction).min(self.cfg.max_saved);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn take_retry(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Duration) {
        let start = std::mem::replace(&mut self.filled_at, now);
        let seconds = now.saturating_sub(start).as_secs_f64();
        let tokens = self.tokens + seconds * self.cfg.floor_per_second * self.rate_fraction;
        self.tokens = tokens.min(self.cfg.max_saved);
    }
}
