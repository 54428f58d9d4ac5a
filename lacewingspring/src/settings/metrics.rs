//! Destination of the metrics.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{InvalidValue, check_port};

/// Destination of the metrics.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "an object")]
pub struct MetricsSettings {
    /// UDP address of a statsd server; if it is absent, metrics are only kept for operators.
    pub statsd: Option<SocketAddr>,
}

impl MetricsSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        self.statsd.map_or(Ok(()), |address| check_port("metrics.statsd", address))
    }
}
