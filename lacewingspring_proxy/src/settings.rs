//! Settings of one instance.

use std::{net::SocketAddr, time::Duration};

use lacewingspring_core::{
    dispatch::RetryBound,
    names::{DataCentreName, InstanceName},
};
use serde::Deserialize;

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
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

/// What the machine of an instance gives it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Machine {
    /// Part of a core that the instance may use; 0 when it isn't known.
    pub cores: f64,
    /// Speed of the core, as a multiple of the usual one.
    pub speed: f64,
}

impl Machine {
    /// Returns the processor time that it gives, in thousandths of a usual core.
    pub fn millicores(&self) -> u32 {
        (self.cores * self.speed * 1_000.0) as u32
    }
}

/// Addresses that an instance listens on.
#[derive(Clone, Debug, Deserialize)]
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

/// Returns a time from a number of seconds; what is no time is none at all.
fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number).unwrap_or_default()
}
