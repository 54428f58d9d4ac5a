//! Slow responses that one stall of a machine delays together.

use std::{collections::VecDeque, time::Duration};

/// Longest time between the sends of slow responses that count once. Requests that wait while the
/// gate stands still are granted within 3 ms of each other.
const SAME_SEND: Duration = Duration::from_millis(5);

/// Longest time between their ends. The ends of responses that an instance had under way while it
/// stood still reach the gate within 0.2 ms. With a longer time, requests that are merely sent one
/// shortly after another to a slow version count once.
const SAME_END: Duration = Duration::from_millis(1);

/// Slow responses of one version.
#[derive(Debug, Default)]
pub(super) struct Stalls {
    /// Times at which the latest ones that counted were sent and ended.
    latest: VecDeque<(Duration, Duration)>,
}

impl Stalls {
    /// Returns whether a slow response counts: none that counted was sent and ended at about the
    /// same times.
    ///
    /// Those that ended later are kept, as a response that had no reference is judged after them.
    pub fn record(&mut self, ended_at: Duration, sent_at: Duration) -> bool {
        self.latest.retain(|(_, ended)| ended_at.saturating_sub(*ended) <= SAME_END);
        let is_same = |(sent, ended): &(Duration, Duration)| {
            sent.abs_diff(sent_at) <= SAME_SEND && ended.abs_diff(ended_at) <= SAME_END
        };
        if self.latest.iter().any(is_same) {
            return false;
        }
        self.latest.push_back((sent_at, ended_at));
        true
    }
}
