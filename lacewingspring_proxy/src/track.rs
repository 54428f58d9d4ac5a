//! Log lines and metrics of the decisions about one request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::dispatch::{Grant, Work};
use log::{info, warn};

use crate::{
    admission::Admitted,
    clock,
    exchange::ExchangeError,
    framing::BodyProgress,
    metrics::{Series, SharedMetrics},
    part_ids::PartIds,
    protocol::CallerHead,
    refusal::ErrorResponse,
    retry_after::InvalidRetryAfter,
};

/// Records what happens to one request. If it is dropped before an outcome is recorded, the caller
/// has disconnected.
#[derive(Debug)]
pub struct RequestTrace {
    /// Id of the request.
    pub id: Arc<str>,
    route: Arc<str>,
    version: u64,
    series: Series,
    prompt_tokens: u32,
    prompt_parts: Vec<u64>,
    /// Id of the request that brought the first event of the stream that this one resumes; empty if
    /// it resumes none.
    resumes: Arc<str>,
    /// Last event that the caller has of that stream; 0 if it resumes none.
    last_event: u64,
    began: Duration,
    target_latency: Duration,
    metrics: SharedMetrics,
    has_ended: AtomicBool,
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if !*self.has_ended.get_mut() {
            self.caller_disconnected(clock::now());
        }
    }
}

impl RequestTrace {
    /// Creates the record of an admitted request whose head was read at `began`.
    pub fn new(
        began: Duration,
        caller: &CallerHead,
        admitted: &Admitted,
        metrics: SharedMetrics,
    ) -> Self {
        let workspace = admitted.workspace.as_ref();
        let (prompt_tokens, prompt_parts) = match &caller.work {
            Work::Plain => (0, Vec::new()),
            Work::Generation { prompt_tokens, parts, .. } => {
                (*prompt_tokens, parts.iter().map(|part| part.id).collect())
            }
        };
        let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
        Self {
            id: caller.id.clone(),
            route: admitted.route.name.clone(),
            version: admitted.version,
            series: Series::new(workspace, admitted.rank, admitted.route.kind),
            prompt_tokens,
            prompt_parts,
            resumes: caller.resumes.clone().unwrap_or_default(),
            last_event: caller.last_event.unwrap_or_default(),
            began,
            target_latency: admitted.route.target_latency,
            metrics,
            has_ended: AtomicBool::new(false),
        }
    }

    /// Counts the request by its outcome.
    fn end(&self, outcome: &str, elapsed: Duration) {
        self.has_ended.store(true, Ordering::Relaxed);
        self.metrics.request_ended(&self.series, outcome, elapsed);
    }

    /// Records that the caller disconnected before a response.
    fn caller_disconnected(&self, now: Duration) {
        let elapsed = self.elapsed(now);
        self.end("caller", elapsed);
        info!(
            id = &*self.id, route = &*self.route, workspace = self.series.workspace.as_str(),
            took_ms = millis(elapsed);
            "The caller disconnects before a response."
        );
    }

    fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Records that the request is passed on to another instance.
    pub fn passed_on(&self, now: Duration, instance: &str) {
        info!(
            id = &*self.id, route = &*self.route, instance, took_ms = millis(self.elapsed(now));
            "The request is passed on to another instance."
        );
    }

    /// Records that the instance that the request was passed on to responds.
    pub fn passed_back(&self, now: Duration, instance: &str, status: u16) {
        let elapsed = self.elapsed(now);
        self.end("passed_on", elapsed);
        info!(
            id = &*self.id, route = &*self.route, instance, status, took_ms = millis(elapsed);
            "Another instance responds to the request."
        );
    }

    /// Records that the response of the other instance ends before it is complete.
    pub fn passed_back_cut(&self, now: Duration, reason: &str) {
        info!(
            id = &*self.id, route = &*self.route, reason, took_ms = millis(self.elapsed(now));
            "The response of another instance ends before it is complete."
        );
    }

    /// Records that the request was granted a slot; `attempts` were counted for it before.
    pub fn slot_granted(&self, now: Duration, attempts: u32, grant: &Grant) {
        let waited = self.elapsed(now);
        self.metrics.slot_granted(&self.series, attempts, waited);
        info!(
            id = &*self.id, route = &*self.route, workspace = self.series.workspace.as_str(),
            version = self.version, upstream = grant.upstream.as_str(),
            software = grant.software.as_str(), resumes = &*self.resumes,
            last_event = self.last_event, sends = attempts, waited_ms = millis(waited);
            "The request is granted a slot at an upstream."
        );
    }

    /// Records that the caller gets an error response from the proxy.
    pub fn refused(&self, now: Duration, error: &ErrorResponse) {
        let spec = error.failure.spec();
        self.metrics.refused(spec.name);
        self.end(spec.name, self.elapsed(now));
        info!(
            id = &*self.id, route = &*self.route, workspace = self.series.workspace.as_str(),
            version = self.version, reason = spec.name, status = spec.status.as_u16(),
            not_run = spec.is_not_run, resumes = &*self.resumes, waiting = error.waiting,
            expected_wait_ms = millis(error.expected_wait), took_ms = millis(self.elapsed(now)),
            retry_ms = error.retry_after.map_or(0, millis), parts:% = PartIds(&self.prompt_parts);
            "The request is refused."
        );
    }

    /// Records an attempt that failed; the request may be sent again.
    pub fn attempt_failed(&self, now: Duration, upstream: &str, reason: &str, may_have_run: bool) {
        self.metrics.prompt_tokens_wasted(if may_have_run { self.prompt_tokens } else { 0 });
        info!(
            id = &*self.id, upstream, reason, may_have_run, parts:% = PartIds(&self.prompt_parts),
            took_ms = millis(self.elapsed(now));
            "An attempt at an upstream fails."
        );
    }

    /// Records an attempt whose exchange failed.
    pub fn exchange_failed(&self, now: Duration, upstream: &str, e: &ExchangeError) {
        match e {
            ExchangeError::Unreachable(e) => {
                self.attempt_failed(now, upstream, &format!("unreachable: {e}"), false);
            }
            ExchangeError::Broken(e) => {
                self.attempt_failed(now, upstream, &format!("broken: {e}"), true);
            }
            ExchangeError::Informational | ExchangeError::InvalidStatus(_) => {
                self.attempt_failed(now, upstream, &format!("broken: {e}"), true);
            }
        }
    }

    /// Records that an upstream said that it leaves.
    pub fn upstream_leaves(&self, upstream: &str) {
        self.metrics.announced("leaving");
        info!(
            id = &*self.id, upstream;
            "The upstream says that it leaves; it gets no new requests from this instance."
        );
    }

    /// Records that an upstream asked for a pause.
    pub fn upstream_pauses(&self, upstream: &str, pause: Duration) {
        self.metrics.announced("pause");
        info!(
            id = &*self.id, upstream, pause_ms = millis(pause);
            "The upstream asks for a pause; it gets no requests from this instance until its end."
        );
    }

    /// Records that an upstream named the requests a second that it takes from all instances.
    pub fn upstream_limits(&self, upstream: &str, rate: f64) {
        self.metrics.announced("limit");
        info!(
            id = &*self.id, upstream, per_s = rate;
            "The upstream names a limit on the requests that it takes."
        );
    }

    /// Records that an upstream crashes if it declines more than so many requests in a second.
    pub fn upstream_is_brittle(&self, upstream: &str, max_declined: u32) {
        self.metrics.announced("brittle");
        info!(
            id = &*self.id, upstream, max_declined;
            "The upstream says that it may crash if it has to decline requests."
        );
    }

    /// Records a limit of an upstream that can't be parsed.
    pub fn invalid_rate_limit(&self, upstream: &str, value: &str) {
        warn!(id = &*self.id, upstream, value; "The limit that an upstream names is ignored.");
    }

    /// Records a `Retry-After` of an upstream that can't be parsed.
    pub fn invalid_retry_after(&self, upstream: &str, value: &str, e: &InvalidRetryAfter) {
        warn!(
            id = &*self.id, upstream, value, error:% = e;
            "The Retry-After of an upstream is ignored."
        );
    }

    /// Records the first output of the response; it is on time within the target latency.
    pub fn first_output(&self, now: Duration) {
        let elapsed = self.elapsed(now);
        self.metrics.first_output(&self.series, elapsed, elapsed <= self.target_latency);
    }

    /// Records a complete response of an upstream; a status of 400 and above is an upstream error.
    pub fn answered(&self, now: Duration, status: u16, upstream: &str, progress: &BodyProgress) {
        let elapsed = self.elapsed(now);
        let outcome = if status < 400 { "answered" } else { "upstream_error" };
        self.end(outcome, elapsed);
        self.metrics.body_ended(progress.framing, "complete");
        info!(
            id = &*self.id, route = &*self.route, upstream, status,
            framing = progress.framing.name(), bytes = progress.bytes,
            events = progress.complete_events(),
            inside_event = progress.is_inside_event(), took_ms = millis(elapsed);
            "The request is answered."
        );
    }

    /// Records a response that ended after a part of it was passed on.
    pub fn response_cut_short(
        &self,
        now: Duration,
        upstream: &str,
        reason: &str,
        progress: &BodyProgress,
    ) {
        let elapsed = self.elapsed(now);
        self.end(reason, elapsed);
        self.metrics.body_ended(progress.framing, reason);
        self.metrics.prompt_tokens_wasted(self.prompt_tokens);
        info!(
            id = &*self.id, route = &*self.route, upstream, reason,
            framing = progress.framing.name(), bytes = progress.bytes,
            events = progress.complete_events(),
            inside_event = progress.is_inside_event(), parts:% = PartIds(&self.prompt_parts),
            took_ms = millis(elapsed);
            "The response ends before it is complete."
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
