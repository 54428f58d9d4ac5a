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
        for it in &self.histograms {
            table.row([
                &it.metric,
                &it.unit,
                &it.workspace,
                &it.tier,
                &it.count,
                &rounded(it.p50),
                &rounded(it.p90),
                &rounded(it.p99),
                &rounded(it.max),
            ]);
        }
        write!(f, "{table}")
    }
}

/// Rounds a value to one decimal place.
fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
