//! Tells the story of one request: log lines and metrics of each decision on its way.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::dispatch::{Grant, Work};
use log::info;

use crate::{
    admission::Admitted,
    clock,
    exchange::ExchangeError,
    metrics::{Series, SharedMetrics},
    protocol::CallerHead,
    refusal::Denial,
};

/// One request on its way.
#[derive(Debug)]
pub struct Track {
    /// Identity of the request.
    pub id: Arc<str>,
    route: Arc<str>,
    version: u64,
    series: Series,
    prompt_tokens: u32,
    began: Duration,
    aim: Duration,
    metrics: SharedMetrics,
    is_ended: AtomicBool,
}

impl Drop for Track {
    fn drop(&mut self) {
        if !*self.is_ended.get_mut() {
            self.left(clock::now());
        }
    }
}

impl Track {
    /// Begins the story of a request that was admitted.
    pub fn new(
        began: Duration,
        caller: &CallerHead,
        admitted: &Admitted,
        metrics: SharedMetrics,
    ) -> Self {
        let workspace = admitted.workspace.as_ref();
        let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
        Self {
            id: caller.id.clone(),
            route: admitted.route.name.clone(),
            version: admitted.version,
            series: Series::new(workspace, admitted.rank, admitted.route.kind),
            prompt_tokens: match &caller.work {
                Work::Plain => 0,
                Work::Generation { prompt_tokens, .. } => *prompt_tokens,
            },
            began,
            aim: admitted.route.target_latency,
            metrics,
            is_ended: AtomicBool::new(false),
        }
    }

    /// Counts the end of the request.
    fn end(&self, outcome: &str, took: Duration) {
        self.is_ended.store(true, Ordering::Relaxed);
        self.metrics.ended(&self.series, outcome, took);
    }

    /// The caller left before there was an answer.
    fn left(&self, now: Duration) {
        let took = self.took(now);
        self.end("caller", took);
        info!(
            id = &*self.id, route = &*self.route, workspace = self.series.workspace.as_str(),
            took_ms = millis(took);
            "The caller leaves without an answer."
        );
    }

    fn took(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// The request got a slot.
    pub fn placed(&self, now: Duration, sends: u32, grant: &Grant) {
        let waited = self.took(now);
        self.metrics.placed(&self.series, sends, waited);
        info!(
            id = &*self.id, route = &*self.route, workspace = self.series.workspace.as_str(),
            version = self.version, upstream = grant.upstream.as_str(), sends,
            waited_ms = millis(waited);
            "The request is placed."
        );
    }

    /// The request is given up before an answer.
    pub fn refused(&self, now: Duration, denial: &Denial) {
        let row = denial.failure.row();
        self.metrics.refused(row.name);
        self.end(row.name, self.took(now));
        info!(
            id = &*self.id, route = &*self.route, workspace = self.series.workspace.as_str(),
            version = self.version, reason = row.name, status = row.status.as_u16(),
            not_run = row.is_not_run, waiting = denial.waiting,
            expected_wait_ms = millis(denial.expected_wait), took_ms = millis(self.took(now)),
            retry_ms = denial.retry_after.map_or(0, millis);
            "The request is refused."
        );
    }

    /// A send came to nothing.
    pub fn send_failed(&self, now: Duration, upstream: &str, reason: &str, may_have_run: bool) {
        self.metrics.wasted(if may_have_run { self.prompt_tokens } else { 0 });
        info!(
            id = &*self.id, upstream, reason, may_have_run, took_ms = millis(self.took(now));
            "A send gave no answer."
        );
    }

    /// A send failed on the way.
    pub fn exchange_failed(&self, now: Duration, upstream: &str, e: &ExchangeError) {
        match e {
            ExchangeError::Unreachable(e) => {
                self.send_failed(now, upstream, &format!("unreachable: {e}"), false);
            }
            ExchangeError::Broken(e) => {
                self.send_failed(now, upstream, &format!("broken: {e}"), true);
            }
        }
    }

    /// The first output of the answer came.
    pub fn first_output(&self, now: Duration) {
        let took = self.took(now);
        self.metrics.first_output(&self.series, took, took <= self.aim);
    }

    /// The answer was passed on whole.
    pub fn answered(&self, now: Duration, status: u16, upstream: &str) {
        let took = self.took(now);
        let outcome = if status < 400 { "answered" } else { "upstream_error" };
        self.end(outcome, took);
        info!(
            id = &*self.id, route = &*self.route, upstream, status, took_ms = millis(took);
            "The request is answered."
        );
    }

    /// The answer ended early.
    pub fn broke_off(&self, now: Duration, upstream: &str, reason: &str, events: u32) {
        let took = self.took(now);
        self.end(reason, took);
        self.metrics.wasted(self.prompt_tokens);
        info!(
            id = &*self.id, route = &*self.route, upstream, reason, events,
            took_ms = millis(took);
            "The answer breaks off."
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
