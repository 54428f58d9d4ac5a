//! Histograms of an instance.

use serde::{Deserialize, Serialize};

/// Histograms of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct MetricsReport {
    /// Instance that measured them.
    #[serde(default)]
    pub instance: String,
    /// Histograms by metric, workspace and tier.
    pub histograms: Vec<Histogram>,
}

/// Percentiles of one metric for one workspace and tier.
#[derive(Debug, Serialize, Deserialize)]
pub struct Histogram {
    /// Name of the metric.
    pub metric: String,
    /// Unit of the values.
    pub unit: String,
    /// Workspace of the measured requests.
    pub workspace: String,
    /// Tier of the measured requests.
    pub tier: String,
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}
