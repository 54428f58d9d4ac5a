//! Bandwidth budget of the gate for sending replica updates to other instances.

use std::time::Duration;

/// Share of the machine's bandwidth that updates may take; the rest is for requests.
const UPDATE_BANDWIDTH_SHARE: f64 = 0.25;

/// Time over which unused bandwidth accumulates.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// Token bucket of bytes.
#[derive(Debug)]
pub struct Allowance {
    /// Refill rate in bytes per second; `None` if unlimited.
    rate: Option<f64>,
    /// Bytes that may be sent now; unused if unlimited.
    available: f64,
    refilled_at: Duration,
}

impl Allowance {
    /// Creates a full bucket for a machine with a bandwidth of `link_bytes_per_s`; `None` means
    /// unlimited.
    pub fn new(link_bytes_per_s: Option<f64>) -> Self {
        let rate = link_bytes_per_s.map(|bytes| bytes * UPDATE_BANDWIDTH_SHARE);
        let available = rate.unwrap_or_default() * BURST_WINDOW.as_secs_f64();
        Self { rate, available, refilled_at: Duration::ZERO }
    }

    /// Takes bytes from the bucket; returns `false` and takes none if too few are available.
    pub fn try_spend(&mut self, now: Duration, bytes: usize) -> bool {
        let Some(rate) = self.rate else { return true };
        let passed = now.saturating_sub(self.refilled_at).min(BURST_WINDOW);
        self.refilled_at = now;
        self.available =
            (self.available + rate * passed.as_secs_f64()).min(rate * BURST_WINDOW.as_secs_f64());
        let is_enough = self.available >= bytes as f64;
        if is_enough {
            self.available -= bytes as f64;
        }
        is_enough
    }
}
