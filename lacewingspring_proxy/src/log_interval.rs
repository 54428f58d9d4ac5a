//! Bounds the number of log lines about callers and other peers outside the limits.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use log::warn;

use crate::clock;

/// Shortest time between two lines of one source.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Counts events and logs at most one line for them in [`MIN_INTERVAL`].
#[derive(Debug, Default)]
pub struct LogInterval {
    /// Time of the last line, in milliseconds of the clock; 0 before the first.
    logged_at_ms: AtomicU64,
    count: AtomicU64,
}

impl LogInterval {
    /// Counts an event; returns the number of events since the last line if a line is due.
    pub fn count(&self, now: Duration) -> Option<u64> {
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let now_ms = now.as_millis() as u64;
        let logged_at_ms = self.logged_at_ms.load(Ordering::Relaxed);
        // Events of several threads are counted in any order.
        let passed_ms = now_ms.saturating_sub(logged_at_ms);
        if logged_at_ms > 0 && passed_ms < MIN_INTERVAL.as_millis() as u64 {
            return None;
        }
        self.logged_at_ms.store(now_ms, Ordering::Relaxed);
        self.count.store(0, Ordering::Relaxed);
        Some(count)
    }

    /// Counts a refusal for lack of memory; logs it if a line is due.
    pub fn warn_of_refusal(&self, kind: &'static str, held_bytes: u64) {
        let Some(count) = self.count(clock::now()) else { return };
        warn!(kind, held_bytes, count; "Memory is short; a request is refused.");
    }

    /// Counts a connection that was refused or closed by a limit; logs it if a line is due.
    pub fn warn_of_connection(&self, server: &'static str, limit: &'static str, open: usize) {
        let Some(count) = self.count(clock::now()) else { return };
        warn!(
            server, limit, open, count;
            "Too many connections are open; idle ones are closed or new ones refused."
        );
    }

    /// Counts keys of a topic that were not taken for lack of memory; logs it if a line is due.
    pub fn warn_of_topic(&self, topic: &'static str, held_bytes: usize, max_bytes: usize) {
        let Some(count) = self.count(clock::now()) else { return };
        warn!(
            topic, held_bytes, max_bytes, count;
            "The keys of a topic need too much memory; the older copy stays in force."
        );
    }

    /// Counts a request body that was given up; logs it if a line is due.
    pub fn warn_of_body(&self, cause: &'static str) {
        let Some(count) = self.count(clock::now()) else { return };
        warn!(cause, count; "A request body is given up before its end.");
    }
}
