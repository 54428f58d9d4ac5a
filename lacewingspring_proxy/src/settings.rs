//! Settings of one instance, read once at its start.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use lacewingspring_core::{
    dispatch::RetryBound,
    names::{DataCentreName, InstanceName},
    roll_out,
};
use serde::Deserialize;
use thiserror::Error;

/// Largest duration that a setting may have, in seconds.
const MAX_TIME_S: f64 = 86_400.0;

/// Bytes in one megabit.
const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

/// Bytes in one megabyte.
pub(crate) const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// One part in so many of the memory may be held for one topic, or for one answer of the store.
const TOPIC_DIVISOR: usize = 16;

/// Smallest bound on the memory of a topic, in bytes, so that the keys of a fleet of some hundred
/// upstreams can be read on any machine.
const MIN_TOPIC_BYTES: usize = 1_000_000;

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
    /// Bounds on roll-outs of software versions; `None` if roll-outs are not handled.
    #[serde(default)]
    pub roll_out: Option<RollOutBounds>,
    /// Whether workspaces have shares of all services, also of those whose upstreams do not report
    /// their load with a pace.
    #[serde(default)]
    pub shares: bool,
    /// Limits of connections that differ from the defaults.
    #[serde(default)]
    pub connections: ConnectionSettings,
}

impl Settings {
    /// Checks that each number is in its range, which its type does not ensure.
    ///
    /// # Errors
    ///
    /// Fails with the first setting that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Machine { cores, speed, link_mbps, memory_mb, descriptors } = self.machine;
        let memory_mb = memory_mb.unwrap_or_default();
        let bounds = &self.bounds;
        let count = 0.0..=MAX_NUMBER;
        let time = 0.0..=MAX_TIME_S;
        let checks = [
            ("machine.cores", cores, &count),
            ("machine.speed", speed, &count),
            ("machine.link_mbps", link_mbps, &count),
            ("machine.memory_mb", memory_mb, &count),
            ("machine.descriptors", descriptors.unwrap_or_default().into(), &count),
            ("bounds.grace_s", bounds.grace_s, &time),
            ("bounds.retry_ratio", bounds.retry_ratio, &count),
            ("bounds.retry_slack", bounds.retry_slack, &count),
            ("bounds.retry_window_s", bounds.retry_window_s, &time),
            ("bounds.quota_window_s", bounds.quota_window_s, &time),
            ("bounds.directory_ttl_s", bounds.directory_ttl_s, &time),
        ];
        checks.into_iter().try_for_each(|(key, value, range)| in_range(key, value, range))?;
        self.roll_out.map_or(Ok(()), |roll_out| roll_out.check())
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
    /// Memory that the process may use, in millions of bytes; `None` if it is not bounded.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open; `None` if they are not bounded.
    #[serde(default)]
    pub descriptors: Option<u32>,
}

impl Machine {
    /// Returns the processor capacity, in thousandths of a standard core.
    pub fn millicores(&self) -> u32 {
        (self.cores * self.speed * 1_000.0) as u32
    }

    /// Returns the largest size, in bytes, of all keys of a topic of the store, and of one of its
    /// answers; `usize::MAX` if memory is not bounded.
    pub fn max_topic_bytes(&self) -> usize {
        let bytes = self.memory_mb.map(|memory| (memory * BYTES_PER_MEGABYTE) as usize);
        bytes.map_or(usize::MAX, |bytes| (bytes / TOPIC_DIVISOR).max(MIN_TOPIC_BYTES))
    }

    /// Returns the bandwidth of the network link in bytes per second; `None` if not known.
    pub fn link_bytes_per_s(&self) -> Option<f64> {
        (self.link_mbps > 0.0).then_some(self.link_mbps * BYTES_PER_MEGABIT)
    }
}

/// Limits of connections; without a value, each is derived from the descriptors of the machine.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConnectionSettings {
    /// Largest number of connections of callers.
    #[serde(default)]
    pub callers: Option<usize>,
    /// Largest number of connections of callers from one address.
    #[serde(default)]
    pub callers_per_address: Option<usize>,
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

/// Bounds on what a bad software version may get in a roll-out.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollOutBounds {
    /// Largest part of a service's requests that the version may get, from 0 to 1.
    pub share: f64,
    /// Requests that it may get in addition.
    pub tolerance: f64,
    /// Time after its fiftieth bad response from which on it may get no request, in milliseconds.
    /// No decision depends on it: a bad version is rolled back as soon as the evidence is certain.
    pub rollback_timeout_ms: f64,
}

impl RollOutBounds {
    fn check(&self) -> Result<(), SettingsError> {
        let time_ms = 0.0..=MAX_TIME_S * 1_000.0;
        in_range("roll_out.share", self.share, &(0.0..=1.0))?;
        in_range("roll_out.tolerance", self.tolerance, &(0.0..=MAX_NUMBER))?;
        in_range("roll_out.rollback_timeout_ms", self.rollback_timeout_ms, &time_ms)
    }

    /// Returns the bounds by which a roll-out is decided.
    pub fn bounds(&self) -> roll_out::Bounds {
        roll_out::Bounds {
            share: self.share,
            tolerance: self.tolerance,
            rollback_timeout: seconds(self.rollback_timeout_ms / 1_000.0),
        }
    }
}

/// Converts a number of seconds; yields zero for a number that [`Settings::check`] rejects.
fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number).unwrap_or_default()
}
