//! Settings of one instance, read once at its start.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use lacewingspring_core::{
    dispatch::RetryBound,
    names::{DataCentreName, InstanceName},
};
use serde::Deserialize;
use thiserror::Error;

/// Largest duration that a setting may have, in seconds.
const MAX_TIME_S: f64 = 86_400.0;

/// Bytes in one megabit.
const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

/// Largest count or ratio that a setting may have.
const MAX_NUMBER: f64 = 1_000_000.0;

/// A setting whose value is out of its range.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{key} is {value}, expected a value from {min} to {max}")]
pub struct SettingsError {
    /// Path of the setting.
    pub key: &'static str,
    /// Value found.
    pub value: f64,
    /// Smallest value allowed.
    pub min: f64,
    /// Largest value allowed.
    pub max: f64,
}

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// Resources of the machine that the instance runs on.
    #[serde(default)]
    pub machine: Machine,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Limits that hold for the whole fleet.
    pub bounds: Bounds,
}

impl Settings {
    /// Checks that each number is in its range, which its type does not ensure.
    ///
    /// # Errors
    ///
    /// Fails with the first setting that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Machine { cores, speed, link_mbps } = self.machine;
        let bounds = &self.bounds;
        let count = 0.0..=MAX_NUMBER;
        let time = 0.0..=MAX_TIME_S;
        let checks = [
            ("machine.cores", cores, &count),
            ("machine.speed", speed, &count),
            ("machine.link_mbps", link_mbps, &count),
            ("bounds.grace_s", bounds.grace_s, &time),
            ("bounds.retry_ratio", bounds.retry_ratio, &count),
            ("bounds.retry_slack", bounds.retry_slack, &count),
            ("bounds.retry_window_s", bounds.retry_window_s, &time),
            ("bounds.quota_window_s", bounds.quota_window_s, &time),
            ("bounds.directory_ttl_s", bounds.directory_ttl_s, &time),
        ];
        checks.into_iter().try_for_each(|(key, value, range)| in_range(key, value, range))
    }
}

fn in_range(
    key: &'static str,
    value: f64,
    range: &RangeInclusive<f64>,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError { key, value, min: *range.start(), max: *range.end() })
}

/// Resources of the machine that an instance runs on.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Processor cores that the instance may use, also a fraction of one; 0 if not known.
    pub cores: f64,
    /// Speed of a core relative to a standard core, which has 1.
    pub speed: f64,
    /// Bandwidth of the network link, in megabits per second; 0 if not known.
    #[serde(default)]
    pub link_mbps: f64,
}

impl Machine {
    /// Returns the processor capacity, in thousandths of a standard core.
    pub fn millicores(&self) -> u32 {
        (self.cores * self.speed * 1_000.0) as u32
    }

    /// Returns the bandwidth of the network link in bytes per second; `None` if not known.
    pub fn link_bytes_per_s(&self) -> Option<f64> {
        (self.link_mbps > 0.0).then_some(self.link_mbps * BYTES_PER_MEGABIT)
    }
}

/// Addresses that an instance listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for the requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Address for queries of callers for the addresses of instances.
    pub directory: SocketAddr,
    /// Address for the requests of other instances for slots.
    pub peers: SocketAddr,
    /// Address for reading metrics.
    pub metrics: SocketAddr,
}

/// Limits that hold for the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from SIGTERM until the platform kills the process, in seconds.
    pub grace_s: f64,
    /// Retries allowed per request in the window.
    pub retry_ratio: f64,
    /// Retries allowed in the window in addition to the ratio.
    pub retry_slack: f64,
    /// Window over which retries and requests are counted, in seconds.
    pub retry_window_s: f64,
    /// Window over which the limits of workspaces apply, in seconds.
    pub quota_window_s: f64,
    /// Largest TTL of the addresses that callers are given, in seconds.
    pub directory_ttl_s: f64,
    /// Shortest lease that the key-value service grants, in milliseconds.
    pub min_lease_ms: u64,
}

impl Bounds {
    /// Returns the time from SIGTERM until the platform kills the process.
    pub fn grace(&self) -> Duration {
        seconds(self.grace_s)
    }

    /// Returns the window over which the limits of workspaces apply.
    pub fn quota_window(&self) -> Duration {
        seconds(self.quota_window_s)
    }

    /// Returns the retry budget.
    pub fn retries(&self) -> RetryBound {
        RetryBound {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: seconds(self.retry_window_s),
        }
    }
}

/// Converts a number of seconds; yields zero for a number that [`Settings::check`] rejects.
fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number).unwrap_or_default()
}
