//! Budget of retries of one workspace.

use std::time::Duration;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed for each fresh request.
    pub fraction: f64,
    /// Retries allowed a second over the fleet without any fresh request.
    pub floor_per_second: f64,
    /// Retries that may be saved up.
    pub depth: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { fraction: 0.1, floor_per_second: 1.0, depth: 10.0 }
    }
}

/// Retries of one workspace that one instance may still make.
///
/// Fresh requests bring retries where they arrive, so the fraction holds over the fleet. The floor
/// is split by the instance's part of the workspace's rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    part: f64,
    tokens: f64,
    filled_at: Duration,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(cfg: RetryBudgetConfig, now: Duration) -> Self {
        Self { cfg, part: 0.0, tokens: 0.0, filled_at: now }
    }

    /// Sets the instance's part of the workspace's rate: its share over the declared limit.
    pub fn set_part(&mut self, now: Duration, part: f64) {
        self.refill(now);
        self.part = part.clamp(0.0, 1.0);
    }

    /// Counts a fresh request.
    pub fn fresh(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = (self.tokens + self.cfg.fraction).min(self.cfg.depth);
    }

    /// Takes one retry from the budget; false when there is none left.
    pub fn retry(&mut self, now: Duration) -> bool {
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
        let tokens = self.tokens + seconds * self.cfg.floor_per_second * self.part;
        self.tokens = tokens.min(self.cfg.depth);
    }
}
