//! Intervals and time limits.

use std::time::Duration;

use serde::Deserialize;

use super::InvalidValue;

/// Intervals and time limits, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "an object")]
pub struct TimingSettings {
    /// Interval between two rounds of heartbeats.
    pub heartbeat_ms: u64,
    /// Interval between two reads of the instance list.
    pub instance_list_ms: u64,
    /// Time for which callers may cache a list of addresses.
    pub address_ttl_ms: u64,
    /// Time for which a run without a caller is kept for a retry to join.
    pub orphan_ms: u64,
    /// Time for which the response of a finished run is kept for a retry to fetch.
    pub answer_retention_ms: u64,
    /// Timeout for receiving a request head or body from a caller.
    pub request_read_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            instance_list_ms: 1_000,
            address_ttl_ms: 3_000,
            orphan_ms: 5_000,
            answer_retention_ms: 60_000,
            request_read_ms: 5_000,
        }
    }
}

impl TimingSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        check_ms("timing.heartbeat_ms", self.heartbeat_ms)?;
        check_ms("timing.instance_list_ms", self.instance_list_ms)?;
        check_ms("timing.address_ttl_ms", self.address_ttl_ms)?;
        check_ms("timing.orphan_ms", self.orphan_ms)?;
        check_ms("timing.answer_retention_ms", self.answer_retention_ms)?;
        check_ms("timing.request_read_ms", self.request_read_ms)
    }

    /// Returns the time for which callers may cache a list of addresses.
    pub fn address_ttl(&self) -> Duration {
        Duration::from_millis(self.address_ttl_ms)
    }

    /// Returns the time for which a run without a caller is kept.
    pub fn orphan_retention(&self) -> Duration {
        Duration::from_millis(self.orphan_ms)
    }

    /// Returns the time for which the response of a finished run is kept.
    pub fn answer_retention(&self) -> Duration {
        Duration::from_millis(self.answer_retention_ms)
    }
}

fn check_ms(key: &'static str, value: u64) -> Result<(), InvalidValue> {
    let valid = (10..=3_600_000).contains(&value);
    InvalidValue::check(valid, key, value.to_string(), "10 to 3600000 milliseconds")
}
