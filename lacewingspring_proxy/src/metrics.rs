//! Counters and histograms of one instance, as text in the OpenMetrics format.
//!
//! Every name is listed in `docs/LOGS.md`.

use std::{
    collections::HashSet,
    fmt,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{dispatch::ServiceCounts, names::ServiceName};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{declared::RequestKind, logging};

/// Series of requests above which workspaces are counted together.
const MOST_SERIES: usize = 256;

/// Workspace of series beyond the bound.
const OTHER: &str = "other";

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0, 15.0];

/// Kind of request that a figure belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Series {
    /// Workspace; empty on routes that need no credential.
    pub workspace: String,
    /// Urgency; 0 is the most urgent.
    pub tier: u32,
    /// How often such a request may run.
    pub kind: &'static str,
}

impl Series {
    /// Creates a series.
    pub fn new(workspace: &str, tier: u8, kind: RequestKind) -> Self {
        let kind = match kind {
            RequestKind::Idempotent => "idempotent",
            RequestKind::NonIdempotent => "non_idempotent",
            RequestKind::Stream => "stream",
            RequestKind::ResumableStream => "resumable_stream",
        };
        Self { workspace: workspace.to_owned(), tier: tier.into(), kind }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    workspace: String,
    tier: u32,
    kind: &'static str,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabel {
    purpose: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Metrics of one instance.
pub struct Metrics {
    registry: Registry,
    seen: Mutex<HashSet<Series>>,
    requests: Family<Outcome, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    on_time: Family<Series, Counter>,
    repeats: Counter,
    wasted_tokens: Counter,
    first_output: Family<Series, Histogram>,
    wait: Family<Series, Histogram>,
    total: Family<Series, Histogram>,
    store_calls: Family<PurposeLabel, Counter>,
    waiting: Family<ServiceLabel, Gauge>,
    running: Family<ServiceLabel, Gauge>,
    version: Gauge,
    members: Gauge,
    view_age: Gauge<f64, AtomicU64>,
    dropped_lines: Gauge,
    reached_at_ms: AtomicU64,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("lacewingspring"),
            seen: Mutex::default(),
            requests: Family::default(),
            refusals: Family::default(),
            on_time: Family::default(),
            repeats: Counter::default(),
            wasted_tokens: Counter::default(),
            first_output: Family::new_with_constructor(histogram),
            wait: Family::new_with_constructor(histogram),
            total: Family::new_with_constructor(histogram),
            store_calls: Family::default(),
            waiting: Family::default(),
            running: Family::default(),
            version: Gauge::default(),
            members: Gauge::default(),
            view_age: Gauge::default(),
            dropped_lines: Gauge::default(),
            reached_at_ms: AtomicU64::new(0),
        };
        metrics.register();
        metrics
    }
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by their outcome", self.requests.clone());
        registry.register("refusals", "Refusals by their reason", self.refusals.clone());
        registry.register("on_time", "Answers that began on time", self.on_time.clone());
        registry.register("repeated_sends", "Sends beyond the first", self.repeats.clone());
        registry.register(
            "wasted_prompt_tokens",
            "Prompt tokens of sends that gave no whole answer",
            self.wasted_tokens.clone(),
        );
        let first = self.first_output.clone();
        registry.register("first_output_seconds", "From arrival to the first output", first);
        registry.register("wait_seconds", "From arrival to the slot", self.wait.clone());
        registry.register("total_seconds", "From arrival to the end", self.total.clone());
        let calls = self.store_calls.clone();
        registry.register("store_calls", "Calls to the key-value service", calls);
        registry.register("queue", "Requests that wait, at the gate", self.waiting.clone());
        registry.register("running", "Requests that run, at the gate", self.running.clone());
        registry.register("declared_version", "Version in force", self.version.clone());
        registry.register("instances", "Instances that stay", self.members.clone());
        registry.register(
            "view_age_seconds",
            "Time since the key-value service answered last",
            self.view_age.clone(),
        );
        registry.register("dropped_log_lines", "Lines not written", self.dropped_lines.clone());
    }

    /// Returns a series within the bound.
    fn bounded(&self, series: &Series) -> Series {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.contains(series) {
            return series.clone();
        }
        if seen.len() < MOST_SERIES {
            seen.insert(series.clone());
            return series.clone();
        }
        Series { workspace: OTHER.to_owned(), ..series.clone() }
    }

    /// Counts the end of a request.
    pub fn ended(&self, series: &Series, outcome: &str, took: Duration) {
        let series = self.bounded(series);
        self.total.get_or_create(&series).observe(took.as_secs_f64());
        let Series { workspace, tier, kind } = series;
        let outcome = outcome.to_owned();
        self.requests.get_or_create(&Outcome { workspace, tier, kind, outcome }).inc();
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: &str) {
        self.refusals.get_or_create(&ReasonLabel { reason: reason.to_owned() }).inc();
    }

    /// Counts the wait for a slot; `sends` are those before.
    pub fn placed(&self, series: &Series, sends: u32, waited: Duration) {
        if sends > 0 {
            self.repeats.inc();
        }
        let series = self.bounded(series);
        self.wait.get_or_create(&series).observe(waited.as_secs_f64());
    }

    /// Counts the first output of an answer.
    pub fn first_output(&self, series: &Series, took: Duration, is_on_time: bool) {
        let series = self.bounded(series);
        self.first_output.get_or_create(&series).observe(took.as_secs_f64());
        if is_on_time {
            self.on_time.get_or_create(&series).inc();
        }
    }

    /// Counts prompt tokens that were read for nothing.
    pub fn wasted(&self, prompt_tokens: u32) {
        self.wasted_tokens.inc_by(prompt_tokens.into());
    }

    /// Counts a call to the key-value service.
    pub fn store_call(&self, purpose: &'static str) {
        self.store_calls.get_or_create(&PurposeLabel { purpose }).inc();
    }

    /// Notes that the key-value service answered.
    pub fn store_reached(&self, now: Duration) {
        self.reached_at_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Notes the version that is in force.
    pub fn declared(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Notes how many instances stay.
    pub fn instances(&self, count: usize) {
        self.members.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be written as text.
    pub fn text(
        &self,
        now: Duration,
        counts: &[(ServiceName, ServiceCounts)],
    ) -> Result<String, fmt::Error> {
        for (service, counts) in counts {
            let label = ServiceLabel { service: service.as_str().to_owned() };
            self.waiting.get_or_create(&label).set(counts.waiting as i64);
            self.running.get_or_create(&label).set(counts.running as i64);
        }
        let reached = Duration::from_millis(self.reached_at_ms.load(Ordering::Relaxed));
        self.view_age.set(now.saturating_sub(reached).as_secs_f64());
        self.dropped_lines.set(i64::try_from(logging::dropped()).unwrap_or(i64::MAX));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Metrics, shared.
pub type SharedMetrics = Arc<Metrics>;
