//! Metrics of the loads that upstreams report, at the gate.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use lacewingspring_core::dispatch::LoadReports;
use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Counter of seconds.
type Seconds = Counter<f64, AtomicU64>;

/// Counters of load reports; the dispatcher counts, so they are set and not incremented.
#[derive(Debug, Default)]
pub(super) struct LoadReportMetrics {
    received: Counter,
    ignored: Counter,
    used: Counter,
    age_at_use: Seconds,
    predicted: Counter,
    error: Seconds,
}

impl LoadReportMetrics {
    /// Registers all of them.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("load_reports", "Load reports with a pace", self.received.clone());
        registry.register(
            "ignored_load_reports",
            "Load reports with implausible figures",
            self.ignored.clone(),
        );
        registry.register(
            "load_report_uses",
            "Slots granted at upstreams with a load report",
            self.used.clone(),
        );
        registry.register(
            "load_report_age_seconds",
            "Sum of the ages of the reports at these grants",
            self.age_at_use.clone(),
        );
        registry.register(
            "load_predictions",
            "First outputs that were predicted with a load report",
            self.predicted.clone(),
        );
        registry.register(
            "load_prediction_error_seconds",
            "Sum of the absolute errors of these predictions",
            self.error.clone(),
        );
    }

    /// Sets the counters.
    pub fn set(&self, counts: &LoadReports) {
        let store = |counter: &Counter, count| counter.inner().store(count, Ordering::Relaxed);
        store(&self.received, counts.received);
        store(&self.ignored, counts.ignored);
        store(&self.used, counts.used);
        store(&self.predicted, counts.predicted);
        let store = |counter: &Seconds, time: Duration| {
            counter.inner().store(time.as_secs_f64().to_bits(), Ordering::Relaxed);
        };
        store(&self.age_at_use, counts.age_at_use);
        store(&self.error, counts.error);
    }
}
