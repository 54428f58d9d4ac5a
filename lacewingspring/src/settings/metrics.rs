//! Where metrics are sent.

use std::net::SocketAddr;

use serde::Deserialize;

/// Where metrics are sent.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of a statsd server; none keeps metrics to the histograms.
    pub statsd: Option<SocketAddr>,
}
