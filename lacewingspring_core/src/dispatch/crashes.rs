//! What a gate knows of the requests that crash upstreams: whole requests and prompt parts.

use std::{collections::HashMap, time::Duration};

use super::{
    broken_runs::BrokenRuns,
    crash_history::CrashHistory,
    crashing_parts::{BLOCKED_RETRY_AFTER, CrashingParts},
    finding::Finding,
    hand_over::HandOver,
    open_request::OpenRequest,
    unframed_ends::UnframedEnds,
    work::{End, Reason, Refusal, Ticket},
};
use crate::names::UpstreamName;

/// Requests and prompt parts that crash upstreams.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    requests: CrashHistory,
    parts: CrashingParts,
    unframed_ends: UnframedEnds,
    findings: Vec<Finding>,
}

impl Crashes {
    /// Decides whether a request with this digest and these parts may be sent.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a request that crashes upstreams, or may do so while another one
    /// with the same part runs.
    pub fn admit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        fingerprint: u64,
        parts: &[u64],
    ) -> Result<(), Refusal> {
        self.settle_unframed_ends(now);
        if self.requests.is_blocked(now, fingerprint) {
            return Err(refusal(BLOCKED_RETRY_AFTER));
        }
        self.parts.admit(now, ticket, parts).map_err(refusal)
    }

    /// Clears the parts of the probes whose upstreams have survived them.
    pub fn end_survived_probes(&mut self, now: Duration, open: &HashMap<Ticket, OpenRequest>) {
        let probes: Vec<Ticket> = self.parts.probes().copied().collect();
        for ticket in probes {
            if let Some(open) = open.get(&ticket).filter(|open| open.is_survived(now)) {
                self.parts.record_success(now, ticket, &open.parts);
            }
        }
    }

    /// Records what the end of a request tells; `upstream` is `None` if it did not run. Returns
    /// whether requests are blocked or suspected that were not before.
    pub fn record_end(
        &mut self,
        now: Duration,
        ticket: Ticket,
        open: &OpenRequest,
        upstream: Option<&UpstreamName>,
        end: End,
        broken_runs: &BrokenRuns,
    ) -> bool {
        self.settle_unframed_ends(now);
        let is_new = match (end, upstream) {
            (End::Broken, Some(upstream)) => {
                let is_new = self.record_crash(now, ticket, open, upstream, broken_runs);
                self.record_crash_of_unframed(now, upstream) | is_new
            }
            (End::Unreachable, Some(upstream)) => self.record_crash_of_unframed(now, upstream),
            (End::Finished { is_framed: false, .. }, Some(upstream))
                if !open.parts.is_empty() && !open.is_survived(now) =>
            {
                self.requests.clear(open.fingerprint);
                // The probe ends when it is known whether the answer is complete.
                self.unframed_ends.add(now, ticket, upstream, &open.parts);
                return self.parts.has_crashed(now, upstream)
                    && self.record_crash_of_unframed(now, upstream);
            }
            (End::Finished { .. }, _) => {
                self.requests.clear(open.fingerprint);
                self.parts.record_success(now, ticket, &open.parts);
                false
            }
            (End::Failed, _) => {
                self.requests.clear(open.fingerprint);
                false
            }
            (End::Cancelled, _) if open.is_survived(now) => {
                self.parts.record_success(now, ticket, &open.parts);
                false
            }
            (
                End::Broken
                | End::Declined
                | End::Unreachable
                | End::Misdirected
                | End::Leaving
                | End::Cancelled
                | End::Unused,
                _,
            ) => false,
        };
        self.parts.end_probe(ticket);
        is_new
    }

    fn record_crash(
        &mut self,
        now: Duration,
        ticket: Ticket,
        open: &OpenRequest,
        upstream: &UpstreamName,
        broken_runs: &BrokenRuns,
    ) -> bool {
        let (fingerprint, upstream) = (open.fingerprint, upstream.clone());
        let (crashes, is_new) = if open.is_survived(now) {
            self.requests.clear(fingerprint);
            (0, false)
        } else {
            let crashes = self.requests.record_crash(now, fingerprint, &upstream, broken_runs);
            (crashes, self.parts.record_crash(now, ticket, &upstream, &open.parts))
        };
        self.findings.push(Finding::RunBroken { upstream, fingerprint, crashes });
        is_new
    }

    /// Records the answers that ended with the connection as a crash of their upstream did, too.
    fn record_crash_of_unframed(&mut self, now: Duration, upstream: &UpstreamName) -> bool {
        let mut is_new = false;
        for end in self.unframed_ends.take_crashed(upstream) {
            is_new |= self.parts.record_crash(now, end.ticket, upstream, &end.parts);
        }
        is_new
    }

    /// Clears the parts of the answers whose upstreams have not crashed when they ended.
    fn settle_unframed_ends(&mut self, now: Duration) {
        for end in self.unframed_ends.take_complete(now) {
            self.parts.record_success(now, end.ticket, &end.parts);
        }
    }

    /// Ends a probe that is not sent.
    pub fn end_probe(&mut self, ticket: Ticket) {
        self.parts.end_probe(ticket);
    }

    /// Ends the probes of an instance whose connection to the gate is lost.
    pub fn end_link(&mut self, link: u64) {
        self.parts.end_link(link);
    }

    /// Returns the refusal of a waiting request that may no longer be sent.
    pub fn refusal_of_waiting(
        &self,
        now: Duration,
        ticket: Ticket,
        open: &OpenRequest,
    ) -> Option<Refusal> {
        self.parts.refusal_of_waiting(now, ticket, &open.parts).map(refusal)
    }

    /// Returns what was learned since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        let mut findings = std::mem::take(&mut self.findings);
        findings.extend(self.parts.take_findings());
        findings
    }

    /// Adds what the next gate must know to a hand-over.
    pub fn export(&self, now: Duration, hand_over: &mut HandOver) {
        hand_over.blocked_requests = self.requests.export(now);
        hand_over.blocked_parts = self.parts.export_blocks(now);
        hand_over.crashed_parts = self.parts.export_crashes(now);
    }

    /// Returns a number that changes when the next gate must know something else.
    pub fn version(&self) -> u64 {
        self.requests.version() + self.parts.version()
    }

    /// Adds what an earlier gate handed over `age` ago.
    pub fn take_over(&mut self, now: Duration, age: Duration, hand_over: &HandOver) {
        self.requests.import(now, age, &hand_over.blocked_requests);
        self.parts.import_blocks(now, age, &hand_over.blocked_parts);
        self.parts.import_crashes(now, &hand_over.crashed_parts);
    }
}

fn refusal(retry_after: Duration) -> Refusal {
    Refusal::new(Reason::Crashes, retry_after)
}
