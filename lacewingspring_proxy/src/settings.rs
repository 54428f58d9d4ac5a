//! Settings of one instance.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use lacewingspring_core::{
    dispatch::RetryBound,
    names::{DataCentreName, InstanceName},
};
use serde::Deserialize;
use thiserror::Error;

/// Longest time that a setting may name, in seconds.
const LONGEST_S: f64 = 86_400.0;

/// Bytes in a megabit.
const BYTES_A_MEGABIT: f64 = 1_000_000.0 / 8.0;

/// Largest count or ratio that a setting may name.
const LARGEST: f64 = 1_000_000.0;

/// A setting whose value can't be.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{key} is {value}, not from {least} to {most}")]
pub struct SettingsError {
    /// Path of the setting.
    pub key: &'static str,
    /// Its value.
    pub value: f64,
    /// Least value that is taken.
    pub least: f64,
    /// Largest value that is taken.
    pub most: f64,
}

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Machine that it runs on.
    #[serde(default)]
    pub machine: Machine,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Bounds that the fleet keeps.
    pub bounds: Bounds,
}

impl Settings {
    /// Checks the values that have a type but no sense.
    ///
    /// # Errors
    ///
    /// Fails with the first setting that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Machine { cores, speed, link_mbps } = self.machine;
        let bounds = &self.bounds;
        let count = 0.0..=LARGEST;
        let time = 0.0..=LONGEST_S;
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
    Err(SettingsError { key, value, least: *range.start(), most: *range.end() })
}

/// What the machine of an instance gives it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Part of a core that the instance may use; 0 when it isn't known.
    pub cores: f64,
    /// Speed of the core, as a multiple of the usual one.
    pub speed: f64,
    /// Bandwidth of its link, in megabits a second; 0 when it isn't known.
    #[serde(default)]
    pub link_mbps: f64,
}

impl Machine {
    /// Returns the processor time that it gives, in thousandths of a usual core.
    pub fn millicores(&self) -> u32 {
        (self.cores * self.speed * 1_000.0) as u32
    }

    /// Returns the bytes a second that its link carries; none when it isn't known.
    pub fn link_bytes(&self) -> Option<f64> {
        (self.link_mbps > 0.0).then_some(self.link_mbps * BYTES_A_MEGABIT)
    }
}

/// Addresses that an instance listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Questions whether the instance is ready.
    pub readiness: SocketAddr,
    /// Questions which addresses callers are to use.
    pub directory: SocketAddr,
    /// Other instances that ask for slots.
    pub peers: SocketAddr,
    /// Readers of metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the fleet keeps.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from the request to stop to the kill, in seconds.
    pub grace_s: f64,
    /// Repeated sends for each request.
    pub retry_ratio: f64,
    /// Repeated sends beside the ratio.
    pub retry_slack: f64,
    /// Window in which both are counted, in seconds.
    pub retry_window_s: f64,
    /// Window in which the limits of workspaces are counted, in seconds.
    pub quota_window_s: f64,
    /// Longest time for which callers keep the addresses, in seconds.
    pub directory_ttl_s: f64,
    /// Shortest lease of the key-value service, in milliseconds.
    pub min_lease_ms: u64,
}

impl Bounds {
    /// Returns the time from the request to stop to the kill.
    pub fn grace(&self) -> Duration {
        seconds(self.grace_s)
    }

    /// Returns the window in which the limits of workspaces are counted.
    pub fn quota_window(&self) -> Duration {
        seconds(self.quota_window_s)
    }

    /// Returns the bound of repeated sends.
    pub fn retries(&self) -> RetryBound {
        RetryBound {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: seconds(self.retry_window_s),
        }
    }
}

/// Returns a time from a number of seconds; what is no time is refused by [`Settings::check`].
fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number).unwrap_or_default()
}
