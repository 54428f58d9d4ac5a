//! Retry-after times of refused callers.

use std::{collections::VecDeque, time::Duration};

use crate::{names::RequestKey, rendezvous};

/// Length of the sliding window in which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// Number of distinct positions within a spread.
const FRACTION_STEPS: u64 = 1 << 20;

/// Spreads the retry-after times of refused callers.
///
/// The more callers are refused in a window, the wider the spread, so that they return at a rate
/// for which there is capacity. The position within the spread depends on the request key alone, so
/// another instance gives the same key a similar time.
#[derive(Clone, Debug)]
pub struct RetrySpread {
    min_spread: Duration,
    max_spread: Duration,
    refused_at: VecDeque<Duration>,
}

impl RetrySpread {
    /// Creates a spread whose width stays between `min_spread` and `max_spread`.
    pub fn new(min_spread: Duration, max_spread: Duration) -> Self {
        Self { min_spread, max_spread, refused_at: VecDeque::new() }
    }

    /// Returns the retry-after time of one refused caller.
    ///
    /// `earliest` is the time until there may be capacity, and `rate` the requests per second for
    /// which there is capacity from then on.
    pub fn retry_after(
        &mut self,
        now: Duration,
        key: &RequestKey,
        earliest: Duration,
        rate: f64,
    ) -> Duration {
        while self.refused_at.front().is_some_and(|at| now.saturating_sub(*at) >= REFUSAL_WINDOW) {
            self.refused_at.pop_front();
        }
        self.refused_at.push_back(now);
        let seconds = self.refused_at.len() as f64 / rate.max(f64::MIN_POSITIVE);
        let seconds = seconds.min(self.max_spread.as_secs_f64());
        let spread = Duration::from_secs_f64(seconds).max(self.min_spread);
        earliest + spread.mul_f64(fraction(key))
    }
}

/// Returns a number from 0 to 1, excluding 1, that depends on the key alone.
fn fraction(key: &RequestKey) -> f64 {
    (rendezvous::weight(&"come-back", key) % FRACTION_STEPS) as f64 / FRACTION_STEPS as f64
}
