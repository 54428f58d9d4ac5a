//! Times at which refused callers are told to come back.

use std::{collections::VecDeque, time::Duration};

use crate::{names::RequestKey, rendezvous};

/// Time over which refusals count as one wave.
const WAVE: Duration = Duration::from_secs(1);

/// Steps in which a spread is divided.
const STEPS: u64 = 1 << 20;

/// Chooses times to come back that are spread out.
///
/// The more callers are refused at a time, the wider the spread, so that they return at a rate that
/// there is room for. The time within the spread follows from the request key alone, so another
/// instance gives the same key a like answer.
#[derive(Clone, Debug)]
pub struct RetrySpread {
    shortest: Duration,
    longest: Duration,
    refused: VecDeque<Duration>,
}

impl RetrySpread {
    /// Creates the choice between a shortest and a longest spread.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self { shortest, longest, refused: VecDeque::new() }
    }

    /// Returns the time for one refused caller.
    ///
    /// `base` is the time until there may be room, and `room` the requests a second that there is
    /// room for from then on.
    pub fn retry_after(
        &mut self,
        now: Duration,
        key: &RequestKey,
        base: Duration,
        room: f64,
    ) -> Duration {
        while self.refused.front().is_some_and(|at| now.saturating_sub(*at) >= WAVE) {
            self.refused.pop_front();
        }
        self.refused.push_back(now);
        let seconds = self.refused.len() as f64 / room.max(f64::MIN_POSITIVE);
        let seconds = seconds.min(self.longest.as_secs_f64());
        let spread = Duration::from_secs_f64(seconds).max(self.shortest);
        base + spread.mul_f64(fraction(key))
    }
}

/// Returns a number from 0 to 1 that follows from the key.
fn fraction(key: &RequestKey) -> f64 {
    (rendezvous::weight(&"come-back", key) % STEPS) as f64 / STEPS as f64
}
