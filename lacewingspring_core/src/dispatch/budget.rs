//! Budget of repeated sends over the whole fleet, for each service.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::names::ServiceName;

/// Part of the budget that is used, as windows of others begin elsewhere.
const USED_PART: f64 = 0.7;

/// Declared bound of repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beside the ratio.
    pub slack: f64,
    /// Length of the window in which both are counted.
    pub window: Duration,
}

impl Default for RetryBound {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) }
    }
}

#[derive(Debug, Default)]
struct Window {
    fresh: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Repeated sends to all services.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets {
    /// Declared bound.
    pub bound: RetryBound,
    windows: HashMap<ServiceName, Window>,
}

impl RetryBudgets {
    /// Counts a request that is sent for the first time.
    pub fn count_fresh(&mut self, now: Duration, service: &ServiceName) {
        let window = self.bound.window;
        let counts = self.windows.entry(service.clone()).or_default();
        forget(&mut counts.fresh, now, window);
        counts.fresh.push_back(now);
    }

    /// Takes one repeated send; false when the budget is used up.
    pub fn take(&mut self, now: Duration, part: f64, service: &ServiceName) -> bool {
        let RetryBound { ratio, slack, window } = self.bound;
        let counts = self.windows.entry(service.clone()).or_default();
        forget(&mut counts.fresh, now, window);
        forget(&mut counts.repeats, now, window);
        let allowed = (counts.fresh.len() as f64 * ratio + slack * part) * USED_PART;
        if counts.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_sub(*at) >= window) {
        times.pop_front();
    }
}
