//! Upstreams that break one run after the other.
//!
//! Such an upstream ends its runs sooner than others, so that its slots are free most of the time
//! and take the requests for which the others have no slot.

use std::{collections::HashMap, time::Duration};

use super::open_request::OpenRequest;
use crate::names::UpstreamName;

/// Number of broken runs in a row after which an upstream is paused.
const MAX_IN_A_ROW: usize = 3;

/// Time within which they must have broken. They must be of at least two instances, unless only one
/// asks for slots: the fault may be that of a single instance.
const AGREEMENT_TIME: Duration = Duration::from_secs(2);

/// Run that an upstream broke.
#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    at: Duration,
    /// Link of the instance that sent it.
    link: u64,
    /// Digest of its request.
    fingerprint: u64,
    /// Whether the upstream has responded since, so that the run no longer counts as one in a row.
    is_before_response: bool,
}

/// Runs that each upstream broke since it completed one, the oldest first.
#[derive(Debug, Default)]
pub(super) struct BrokenRuns(HashMap<UpstreamName, Vec<BrokenRun>>);

impl BrokenRuns {
    /// Records that an upstream broke a run; returns whether it must be paused.
    ///
    /// A run that was granted before the last one broke is not counted: the crash of an upstream,
    /// or of the path to it, breaks all its runs at once. `is_only_link` tells that no other
    /// instance could agree.
    pub fn record(
        &mut self,
        now: Duration,
        link: u64,
        upstream: &UpstreamName,
        open: &OpenRequest,
        is_only_link: bool,
    ) -> bool {
        let is_recent = |run: &BrokenRun| now.saturating_sub(run.at) < AGREEMENT_TIME;
        self.0.retain(|_, runs| runs.last().is_some_and(is_recent));
        let runs = self.0.entry(upstream.clone()).or_default();
        runs.retain(is_recent);
        if let Some(last) = runs.last()
            && open.granted_at.is_none_or(|at| at < last.at)
        {
            return false;
        }
        let fingerprint = open.fingerprint;
        runs.push(BrokenRun { at: now, link, fingerprint, is_before_response: false });
        let in_a_row = || runs.iter().filter(|run| !run.is_before_response);
        let is_agreed = is_only_link || in_a_row().any(|run| run.link != link);
        in_a_row().count() >= MAX_IN_A_ROW && is_agreed
    }

    /// Returns whether an upstream broke a run of another request from `since` on, and completed
    /// none.
    pub fn broke_other_since(
        &self,
        since: Duration,
        upstream: &UpstreamName,
        fingerprint: u64,
    ) -> bool {
        let mut runs = self.0.get(upstream).into_iter().flatten();
        runs.any(|run| run.at >= since && run.fingerprint != fingerprint)
    }

    /// Records that an upstream responded to a run, if only with the first event, an error or a
    /// refusal.
    pub fn record_response(&mut self, upstream: &UpstreamName) {
        for run in self.0.get_mut(upstream).into_iter().flatten() {
            run.is_before_response = true;
        }
    }

    /// Records that an upstream completed a run.
    pub fn record_completed(&mut self, upstream: &UpstreamName) {
        self.0.remove(upstream);
    }
}
