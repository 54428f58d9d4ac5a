//! Histograms by workspace and tier, bounded in number.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use lacewingspring_core::names::{TierName, WorkspaceName};
use serde::Serialize;

use super::{Series, TierReport, Timer};

/// Most series that are kept apart; the rest is counted together.
const MAX_SERIES: usize = 2_048;

/// Name of the workspace under which further series are counted.
const OTHER: &str = "(other)";

/// Largest time recorded, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Significant decimal digits kept of a value.
const PRECISION: u8 = 1;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// What is measured, for whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SeriesTimer {
    timer: Timer,
    series: Series,
}

/// Histograms by timer, workspace and tier.
#[derive(Debug, Default)]
pub struct Histograms {
    all: Mutex<HashMap<SeriesTimer, Histogram<u32>>>,
}

/// All metrics of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct MetricsReport {
    /// Instance that measured.
    pub instance: String,
    /// Counts by tier.
    pub tiers: BTreeMap<TierName, TierReport>,
    /// Histograms by metric, workspace and tier.
    pub histograms: Vec<HistogramReport>,
}

/// Percentiles of one timer for one workspace and tier.
#[derive(Clone, Debug, Serialize)]
pub struct HistogramReport {
    /// Name of the timer.
    pub metric: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Workspace that was measured.
    pub workspace: WorkspaceName,
    /// Tier that was measured.
    pub tier: TierName,
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl Histograms {
    /// Records a time; times beyond ten minutes count as ten minutes.
    pub fn record(&self, timer: Timer, series: &Series, value: Duration) {
        let micros = (value.as_micros() as u64).clamp(1, MAX_MICROS);
        let mut key = SeriesTimer { timer, series: series.clone() };
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() >= MAX_SERIES && !all.contains_key(&key) {
            key.series.workspace = WorkspaceName::from(OTHER);
        }
        if let Some(histogram) = all.get_mut(&key) {
            histogram.saturating_record(micros);
            return;
        }
        let Ok(mut histogram) = Histogram::new_with_bounds(1, MAX_MICROS, PRECISION) else {
            return;
        };
        histogram.saturating_record(micros);
        all.insert(key, histogram);
    }

    /// Reports all histograms by name.
    pub fn report(&self) -> Vec<HistogramReport> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let sorted: BTreeMap<_, _> = all.iter().collect();
        sorted.into_iter().map(|(key, histogram)| report(key, histogram)).collect()
    }
}

fn report(key: &SeriesTimer, histogram: &Histogram<u32>) -> HistogramReport {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
    HistogramReport {
        metric: key.timer.name(),
        unit: "ms",
        workspace: key.series.workspace.clone(),
        tier: key.series.tier.clone(),
        count: histogram.len(),
        p50: at(0.50),
        p90: at(0.90),
        p95: at(0.95),
        p99: at(0.99),
        max: histogram.max() as f64 / MICROS_PER_MS,
    }
}
