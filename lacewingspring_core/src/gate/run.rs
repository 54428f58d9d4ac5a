//! Run of a request that holds a permit.

use std::time::Duration;

use super::{parking::ParkKey, upstream::RunLoad, work::PermitRequest};
use crate::names::UpstreamName;

/// Multiple of the declared time to the first token after which a run without one counts as late.
const LATE_FACTOR: f64 = 4.0;

/// Seconds added to [`LATE_FACTOR`] times the declared time before a run counts as late.
const LATE_MARGIN_SECONDS: f64 = 0.5;

/// Run of a request that holds a permit.
#[derive(Debug)]
pub(super) struct Run {
    /// Permit request that was granted.
    pub request: PermitRequest,
    /// Upstream that runs it.
    pub upstream: UpstreamName,
    /// Load that it puts on the upstream.
    pub load: RunLoad,
    /// Time of the grant, or of the dispatch if the gate times runs from there. `None` before the
    /// dispatch and for an adopted run.
    pub started_at: Option<Duration>,
    /// Time of the first token.
    pub first_token_at: Option<Duration>,
    /// Sequence number of the first arrival, kept while the run is parked.
    pub sequence: u64,
    /// Key in the index of runs that can be parked.
    pub park_key: Option<ParkKey>,
    /// Whether its deadline passed while it was parked.
    pub overdue: bool,
    late_after_seconds: f64,
}

impl Run {
    /// Creates a run that is granted now.
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

    /// Creates a run whose start the gate did not see.
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

    /// Returns the seconds without a first token if the run has become late. Each time doubles the
    /// delay until the run counts as late again.
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
