//! A permit in use.

use std::time::Duration;

use super::{parking::ParkKey, upstream::RunLoad, work::PermitRequest};
use crate::names::UpstreamName;

/// Declared times of a run without a first token after which it counts as late.
const LATE_FACTOR: f64 = 4.0;

/// Time added to every declared time before a run counts as late, in seconds.
const LATE_MARGIN_SECONDS: f64 = 0.5;

/// A permit in use.
#[derive(Debug)]
pub(super) struct Run {
    /// What was asked for.
    pub request: PermitRequest,
    /// Upstream that runs it.
    pub upstream: UpstreamName,
    /// What it takes there.
    pub load: RunLoad,
    /// When it was granted, or dispatched where that is told; none before, and for an adopted run.
    pub started_at: Option<Duration>,
    /// When its first token came.
    pub first_token_at: Option<Duration>,
    /// Order of first arrival, kept while it is parked.
    pub sequence: u64,
    /// Key in the index of parkable work.
    pub park_key: Option<ParkKey>,
    /// Whether its deadline passed while it was parked.
    pub overdue: bool,
    late_after_seconds: f64,
}

impl Run {
    /// Starts a run.
    pub fn granted(
        started_at: Option<Duration>,
        request: PermitRequest,
        upstream: UpstreamName,
        load: RunLoad,
        sequence: u64,
    ) -> Self {
        let mut run = Self::adopted(request, upstream, load, sequence);
        run.started_at = started_at;
        run
    }

    /// Takes over a run whose start was not seen.
    pub fn adopted(
        request: PermitRequest,
        upstream: UpstreamName,
        load: RunLoad,
        sequence: u64,
    ) -> Self {
        Self {
            request,
            upstream,
            load,
            started_at: None,
            first_token_at: None,
            sequence,
            park_key: None,
            overdue: false,
            late_after_seconds: LATE_FACTOR * load.first_token_seconds + LATE_MARGIN_SECONDS,
        }
    }

    /// Returns the seconds without a first token when they are newly late; each report doubles
    /// the time to the next.
    pub fn late_first_token(&mut self, now: Duration) -> Option<f64> {
        if self.first_token_at.is_some() {
            return None;
        }
        let waited = now.saturating_sub(self.started_at?).as_secs_f64();
        if waited < self.late_after_seconds {
            return None;
        }
        self.late_after_seconds *= 2.0;
        Some(waited)
    }
}
