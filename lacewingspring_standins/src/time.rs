//! Process-relative clock and sleep in milliseconds.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the first call of this function in the process.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Sleeps for `ms` milliseconds; returns at once, without yielding, if `ms` is 0.
pub async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
