//! Circuit breaker of an upstream that accepts connections and breaks each of them.
//!
//! Such an upstream always has free slots, as its runs end at once, and so would get most of the
//! requests that other upstreams have no room for.

use std::time::Duration;

/// Number of runs that broke one after the other from which on the circuit is open.
const MAX_BROKEN_RUNS: u32 = 3;

/// Counts the runs of an upstream that broke before they had output.
#[derive(Debug, Default)]
pub(super) struct CircuitBreaker {
    /// Number of broken runs since the last response, each granted after the one before broke.
    broken_runs: u32,
    broken_at: Duration,
}

impl CircuitBreaker {
    /// Records that a run broke before it had output. One that was granted before the last one
    /// broke does not count, as a single crash breaks all runs in progress.
    pub fn record_broken(&mut self, now: Duration, granted_at: Duration) {
        if self.broken_runs == 0 || granted_at > self.broken_at {
            self.broken_runs += 1;
            self.broken_at = now;
        }
    }

    /// Records that the upstream responded, which closes the circuit.
    pub fn record_response(&mut self) {
        self.broken_runs = 0;
    }

    /// Returns whether the upstream gets one request at a time, after a back-off.
    pub fn is_open(&self) -> bool {
        self.broken_runs >= MAX_BROKEN_RUNS
    }
}
