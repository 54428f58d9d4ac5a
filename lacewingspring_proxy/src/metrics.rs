//! Metrics of one instance, exported in the OpenMetrics text format.
//!
//! Every name is listed in `docs/LOGS.md`.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{LoadReports, ServiceCounts},
    names::{ServiceName, SoftwareVersion, WorkspaceName},
    roll_out::{Counts, Stage},
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use self::{
    limits::LimitMetrics,
    load_reports::LoadReportMetrics,
    roll_outs::RollOutMetrics,
    series::{OTHER_WORKSPACES, OwnSeries},
    shares::ShareMetrics,
};
use crate::{
    connections::Connections, declared::RequestKind, framing::Framing, logging,
    memory_budget::SharedBudget, own_entry::Difference, replica::Replicas, store::Era,
};

mod limits;
mod load_reports;
mod roll_outs;
mod series;
mod shares;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0, 15.0];

/// Labels of the metrics of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Series {
    /// Workspace; empty if the request has none.
    pub workspace: String,
    /// Rank of the request, which is its priority; 0 is the most urgent.
    pub tier: u32,
    /// Kind of the route, which tells how often the request may run.
    pub kind: &'static str,
}

impl Series {
    /// Creates the labels of a request.
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
struct OutcomeLabels {
    workspace: String,
    tier: u32,
    kind: &'static str,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BodyLabels {
    framing: &'static str,
    end: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnnouncementLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DifferenceLabels {
    difference: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabels {
    purpose: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Metrics of one instance.
pub struct Metrics {
    registry: Registry,
    own_series: OwnSeries<Series>,
    requests: Family<OutcomeLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    on_time: Family<Series, Counter>,
    bodies: Family<BodyLabels, Counter>,
    announcements: Family<AnnouncementLabels, Counter>,
    retries: Counter,
    wasted_tokens: Counter,
    first_output: Family<Series, Histogram>,
    wait: Family<Series, Histogram>,
    total: Family<Series, Histogram>,
    store_calls: Family<PurposeLabels, Counter>,
    omitted_store_calls: Counter,
    replicas: OnceLock<Arc<Replicas>>,
    waiting: Family<ServiceLabels, Gauge>,
    running: Family<ServiceLabels, Gauge>,
    load_reports: LoadReportMetrics,
    shares: ShareMetrics,
    version: Gauge,
    members: Gauge,
    is_registered: Gauge,
    registration_repairs: Family<DifferenceLabels, Counter>,
    store_era: Gauge,
    view_age: Gauge<f64, AtomicU64>,
    dropped_log_lines: Gauge,
    store_responded_at_ms: AtomicU64,
    roll_outs: RollOutMetrics,
    limits: LimitMetrics,
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
            own_series: OwnSeries::default(),
            requests: Family::default(),
            refusals: Family::default(),
            on_time: Family::default(),
            bodies: Family::default(),
            announcements: Family::default(),
            retries: Counter::default(),
            wasted_tokens: Counter::default(),
            first_output: Family::new_with_constructor(histogram),
            wait: Family::new_with_constructor(histogram),
            total: Family::new_with_constructor(histogram),
            store_calls: Family::default(),
            omitted_store_calls: Counter::default(),
            replicas: OnceLock::new(),
            waiting: Family::default(),
            running: Family::default(),
            load_reports: LoadReportMetrics::default(),
            shares: ShareMetrics::default(),
            version: Gauge::default(),
            members: Gauge::default(),
            is_registered: Gauge::default(),
            registration_repairs: Family::default(),
            store_era: Gauge::default(),
            view_age: Gauge::default(),
            dropped_log_lines: Gauge::default(),
            store_responded_at_ms: AtomicU64::new(0),
            roll_outs: RollOutMetrics::default(),
            limits: LimitMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

/// Sets a gauge to a number, or to the largest one that it can show.
fn set_gauge<N>(gauge: &Gauge, number: N)
where
    N: TryInto<i64>,
{
    gauge.set(number.try_into().unwrap_or(i64::MAX));
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        self.roll_outs.register(registry);
        registry.register("requests", "Requests by their outcome", self.requests.clone());
        registry.register("refusals", "Refusals by their reason", self.refusals.clone());
        registry.register("on_time", "Answers that began on time", self.on_time.clone());
        registry.register(
            "upstream_bodies",
            "Response bodies of upstreams by their framing and end",
            self.bodies.clone(),
        );
        registry.register(
            "upstream_announcements",
            "Upstreams that said that they leave, and pauses and limits that they asked for",
            self.announcements.clone(),
        );
        registry.register("repeated_sends", "Sends beyond the first", self.retries.clone());
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
        registry.register(
            "omitted_store_calls",
            "Calls to the key-value service that were omitted because another topic made the check",
            self.omitted_store_calls.clone(),
        );
        registry.register("queue", "Requests that wait, at the gate", self.waiting.clone());
        registry.register("running", "Requests that run, at the gate", self.running.clone());
        self.load_reports.register(registry);
        self.shares.register(registry);
        registry.register("declared_version", "Version in force", self.version.clone());
        registry.register("instances", "Instances that stay", self.members.clone());
        registry.register(
            "registered",
            "1 if the copy of the fleet has the entry of this process, else 0",
            self.is_registered.clone(),
        );
        registry.register(
            "registration_repairs",
            "Writes of the entry of this process because it was no longer as it was written",
            self.registration_repairs.clone(),
        );
        registry.register("store_era", "Era of the key-value service", self.store_era.clone());
        registry.register(
            "view_age_seconds",
            "Time since the key-value service answered last",
            self.view_age.clone(),
        );
        self.limits.register(registry);
        registry.register("dropped_log_lines", "Lines not written", self.dropped_log_lines.clone());
    }

    /// Returns the series to count in: the given one, or that of the other workspaces if there are
    /// too many already.
    fn bounded_series(&self, series: &Series) -> Series {
        if self.own_series.admit(series) {
            return series.clone();
        }
        Series { workspace: OTHER_WORKSPACES.to_owned(), ..series.clone() }
    }

    /// Counts a request by its outcome and records its total time.
    pub fn request_ended(&self, series: &Series, outcome: &str, elapsed: Duration) {
        let series = self.bounded_series(series);
        self.total.get_or_create(&series).observe(elapsed.as_secs_f64());
        let Series { workspace, tier, kind } = series;
        let outcome = outcome.to_owned();
        self.requests.get_or_create(&OutcomeLabels { workspace, tier, kind, outcome }).inc();
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: &str) {
        self.refusals.get_or_create(&ReasonLabels { reason: reason.to_owned() }).inc();
    }

    /// Records the time from arrival to a slot; counts a retry if there were `attempts` before.
    pub fn slot_granted(&self, series: &Series, attempts: u32, waited: Duration) {
        if attempts > 0 {
            self.retries.inc();
        }
        let series = self.bounded_series(series);
        self.wait.get_or_create(&series).observe(waited.as_secs_f64());
    }

    /// Records the time from arrival to the first output of a response.
    pub fn first_output(&self, series: &Series, elapsed: Duration, is_on_time: bool) {
        let series = self.bounded_series(series);
        self.first_output.get_or_create(&series).observe(elapsed.as_secs_f64());
        if is_on_time {
            self.on_time.get_or_create(&series).inc();
        }
    }

    /// Counts a response body that ended: `complete`, or the reason why it was cut short.
    pub fn body_ended(&self, framing: Framing, end: &str) {
        let labels = BodyLabels { framing: framing.name(), end: end.to_owned() };
        self.bodies.get_or_create(&labels).inc();
    }

    /// Counts an upstream that said that it leaves (`leaving`), asked for a pause (`pause`) or
    /// named a limit (`limit`).
    pub fn announced(&self, kind: &'static str) {
        self.announcements.get_or_create(&AnnouncementLabels { kind }).inc();
    }

    /// Counts the prompt tokens of an attempt that yielded no complete response.
    pub fn prompt_tokens_wasted(&self, prompt_tokens: u32) {
        self.wasted_tokens.inc_by(prompt_tokens.into());
    }

    /// Counts a call to the key-value service.
    pub fn store_called(&self, purpose: &'static str) {
        self.store_calls.get_or_create(&PurposeLabels { purpose }).inc();
    }

    /// Shows what is held and refused by a memory budget.
    pub fn show_budget(&self, budget: SharedBudget) {
        self.limits.show_budget(budget);
    }

    /// Shows the memory of the copies of topics and the number of omitted calls; only the first
    /// call has an effect.
    pub fn show_replicas(&self, replicas: Arc<Replicas>) {
        self.limits.show_replicas(replicas.clone());
        self.replicas.get_or_init(|| replicas);
    }

    /// Shows the connections of a server.
    pub fn add_connections(&self, connections: Arc<Connections>) {
        self.limits.add_connections(connections);
    }

    /// Records that the key-value service responded at `now`.
    pub fn store_responded(&self, now: Duration) {
        self.store_responded_at_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Sets the version of the configuration in force.
    pub fn set_declared_version(&self, version: u64) {
        set_gauge(&self.version, version);
    }

    /// Sets the era of the key-value service.
    pub fn set_store_era(&self, era: Era) {
        set_gauge(&self.store_era, era.0);
    }

    /// Sets how the loads that upstreams reported were used by the dispatcher at this instance.
    pub fn set_load_reports(&self, counts: &LoadReports) {
        self.load_reports.set(counts);
    }

    /// Counts the upstream time that the dispatcher at this instance granted to each workspace.
    pub fn set_granted_time(&self, granted: &BTreeMap<Option<WorkspaceName>, Duration>) {
        self.shares.update(granted);
    }

    /// Sets the number of instances that are not leaving.
    pub fn set_instances(&self, count: usize) {
        set_gauge(&self.members, count);
    }

    /// Sets whether the copy of the fleet has the entry of this process.
    pub fn set_registered(&self, is_registered: bool) {
        self.is_registered.set(is_registered.into());
    }

    /// Counts that the entry of this process is written because it was no longer as it was written.
    pub fn registration_repaired(&self, difference: Difference) {
        let labels = DifferenceLabels { difference: difference.name() };
        self.registration_repairs.get_or_create(&labels).inc();
    }

    /// Sets the stage and the counts of a roll-out that is held here.
    pub fn set_roll_out(
        &self,
        service: &ServiceName,
        target: &SoftwareVersion,
        stage: &Stage,
        counts: &Counts,
    ) {
        self.roll_outs.set(service, target, stage, counts);
    }

    /// Removes the metrics of roll-outs, as this instance holds none any more.
    pub fn clear_roll_outs(&self) {
        self.roll_outs.clear();
    }

    /// Returns all metrics as text; `counts` are those of the dispatcher at this instance.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(
        &self,
        now: Duration,
        counts: &[(ServiceName, ServiceCounts)],
    ) -> Result<String, fmt::Error> {
        for (service, counts) in counts {
            let labels = ServiceLabels { service: service.as_str().to_owned() };
            set_gauge(&self.waiting.get_or_create(&labels), counts.waiting);
            set_gauge(&self.running.get_or_create(&labels), counts.running);
        }
        self.limits.update();
        if let Some(replicas) = self.replicas.get() {
            let omitted = replicas.outage().omitted_calls();
            self.omitted_store_calls.inner().store(omitted, Ordering::Relaxed);
        }
        let responded_at =
            Duration::from_millis(self.store_responded_at_ms.load(Ordering::Relaxed));
        self.view_age.set(now.saturating_sub(responded_at).as_secs_f64());
        set_gauge(&self.dropped_log_lines, logging::dropped());
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Metrics that are shared by the tasks of an instance.
pub type SharedMetrics = Arc<Metrics>;
