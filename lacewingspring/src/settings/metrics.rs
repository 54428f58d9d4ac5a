//! Where metrics are sent.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{Fault, check_port};

/// Where metrics are sent.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "an object")]
pub struct MetricsSettings {
    /// UDP address of a statsd server; none keeps metrics to the histograms.
    pub statsd: Option<SocketAddr>,
}

impl MetricsSettings {
    pub(super) fn check(&self) -> Result<(), Fault> {
        self.statsd.map_or(Ok(()), |address| check_port("metrics.statsd", address))
    }
}
