//! `metrics`: shows histograms by workspace and tier.

use std::fmt::{self, Formatter};

use crate::{
    api::MetricsReport,
    output::{Render, table::Table},
};

impl Render for MetricsReport {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let titles = ["METRIC", "UNIT", "WORKSPACE", "TIER", "COUNT", "P50", "P90", "P99", "MAX"];
        let mut table = Table::new(&titles);
        for histogram in &self.histograms {
            table.row([
                &histogram.metric,
                &histogram.unit,
                &histogram.workspace,
                &histogram.tier,
                &histogram.count,
                &rounded(histogram.p50),
                &rounded(histogram.p90),
                &rounded(histogram.p99),
                &rounded(histogram.max),
            ]);
        }
        write!(f, "{table}")
    }
}

/// Rounds a value to one decimal place.
fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
