//! Limits repeated sends over the whole fleet, for each service.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::names::ServiceName;

/// Fraction of the declared budget that is spent. The rest is a margin, since repeated sends may be
/// counted elsewhere in windows that begin at other times.
const SPENDABLE_FRACTION: f64 = 0.7;

/// Declared limit on repeated sends of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeated sends allowed for each request that is sent for the first time.
    pub ratio: f64,
    /// Repeated sends allowed in a window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window in which first and repeated sends are counted.
    pub window: Duration,
}

impl Default for RetryBound {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) }
    }
}

/// Times of the sends of one service, oldest first.
#[derive(Debug, Default)]
struct SendTimes {
    first_sends: VecDeque<Duration>,
    repeated_sends: VecDeque<Duration>,
}

/// Retry budgets of all services.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets {
    /// Declared limit, which applies to each service separately.
    pub bound: RetryBound,
    sends: HashMap<ServiceName, SendTimes>,
}

impl RetryBudgets {
    /// Counts the first send of a request, which adds to the budget.
    pub fn count_first_send(&mut self, now: Duration, service: &ServiceName) {
        let window = self.bound.window;
        let sends = self.sends.entry(service.clone()).or_default();
        remove_expired(&mut sends.first_sends, now, window);
        sends.first_sends.push_back(now);
    }

    /// Takes one repeated send from the budget; returns false if the budget is used up.
    ///
    /// Only `fleet_fraction` of the slack is available here.
    pub fn take_repeated_send(
        &mut self,
        now: Duration,
        fleet_fraction: f64,
        service: &ServiceName,
    ) -> bool {
        let RetryBound { ratio, slack, window } = self.bound;
        let sends = self.sends.entry(service.clone()).or_default();
        remove_expired(&mut sends.first_sends, now, window);
        remove_expired(&mut sends.repeated_sends, now, window);
        let allowed =
            (sends.first_sends.len() as f64 * ratio + slack * fleet_fraction) * SPENDABLE_FRACTION;
        if sends.repeated_sends.len() as f64 + 1.0 > allowed {
            return false;
        }
        sends.repeated_sends.push_back(now);
        true
    }
}

fn remove_expired(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_sub(*at) >= window) {
        times.pop_front();
    }
}
