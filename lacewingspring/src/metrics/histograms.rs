//! Histograms by workspace and tier, limited in number.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use lacewingspring_core::names::{TierName, WorkspaceName};
use serde::Serialize;

use super::{Series, TierReport, Timer};

/// Number of histograms above which values of new series are recorded under [`OTHER_WORKSPACE`].
const MAX_HISTOGRAMS: usize = 2_048;

/// Name under which values of further workspaces are recorded.
const OTHER_WORKSPACE: &str = "(other)";

/// Largest time recorded, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Number of significant decimal digits that a histogram keeps of a value.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Key of a histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct HistogramKey {
    timer: Timer,
    series: Series,
}

/// Histograms by timer, workspace and tier.
#[derive(Debug, Default)]
pub struct Histograms {
    all: Mutex<HashMap<HistogramKey, Histogram<u32>>>,
}

/// All metrics of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct MetricsReport {
    /// Name of the instance.
    pub instance: String,
    /// Counts by tier.
    pub tiers: BTreeMap<TierName, TierReport>,
    /// Histograms by metric, workspace and tier.
    pub histograms: Vec<HistogramReport>,
}

/// Percentiles of one timer for one workspace and tier.
#[derive(Clone, Debug, Serialize)]
pub struct HistogramReport {
    /// Name of the metric.
    pub metric: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Workspace of the requests; `(other)` for workspaces beyond the limit.
    pub workspace: WorkspaceName,
    /// Tier of the requests.
    pub tier: TierName,
    /// Number of recorded values.
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
    /// Records a duration; one above ten minutes counts as ten minutes.
    pub fn record(&self, timer: Timer, series: &Series, value: Duration) {
        let micros = (value.as_micros() as u64).clamp(1, MAX_MICROS);
        let mut key = HistogramKey { timer, series: series.clone() };
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() >= MAX_HISTOGRAMS && !all.contains_key(&key) {
            key.series.workspace = WorkspaceName::from(OTHER_WORKSPACE);
        }
        if let Some(histogram) = all.get_mut(&key) {
            histogram.saturating_record(micros);
            return;
        }
        let Ok(mut histogram) = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        else {
            return;
        };
        histogram.saturating_record(micros);
        all.insert(key, histogram);
    }

    /// Returns all histograms, sorted by metric, workspace and tier.
    pub fn report(&self) -> Vec<HistogramReport> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let sorted: BTreeMap<_, _> = all.iter().collect();
        sorted.into_iter().map(|(key, histogram)| report(key, histogram)).collect()
    }
}

fn report(key: &HistogramKey, histogram: &Histogram<u32>) -> HistogramReport {
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
