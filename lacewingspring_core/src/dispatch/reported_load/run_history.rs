//! How many requests of this fleet were at an upstream lately.

use std::{collections::VecDeque, time::Duration};

/// Largest number of changes that are kept; reports are at most some 500 ms old, in which an
/// upstream gets some dozens of requests.
const MAX_CHANGES: usize = 64;

/// Numbers of requests of this fleet at an upstream, with the times from which on they held.
#[derive(Debug, Default)]
pub(super) struct RunHistory {
    changes: VecDeque<(Duration, u32)>,
}

impl RunHistory {
    /// Records the number of requests from `now` on.
    pub fn record(&mut self, now: Duration, running: u32) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, running));
    }

    /// Returns the largest number between `slack` before `at` and `slack` after; `None` if nothing
    /// is known of that time.
    pub fn most_around(&self, at: Duration, slack: Duration) -> Option<u32> {
        let from = at.saturating_sub(slack);
        let until = at + slack;
        let begun = self.changes.iter().rev().skip_while(|(since, _)| *since > until);
        let mut most = None;
        for (since, running) in begun {
            most = most.max(Some(*running));
            if *since <= from {
                break;
            }
        }
        most
    }
}
