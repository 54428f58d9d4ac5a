//! Feedback of entries and upstreams on runs.

use std::time::Duration;

use super::{
    Gate,
    work::{CacheEvent, Decision, LoadReport, Outcome, Ticket},
};
use crate::names::UpstreamName;

impl Gate {
    /// Records that the entry sent a run to its upstream.
    pub fn dispatched(&mut self, now: Duration, ticket: Ticket) {
        if let Some(run) = self.runs.get_mut(&ticket) {
            run.started_at.get_or_insert(now);
        }
    }

    /// Records the first token of a run.
    pub fn first_token(&mut self, now: Duration, ticket: Ticket) -> Vec<Decision> {
        let Some(run) = self.runs.get_mut(&ticket) else { return Vec::new() };
        if run.first_token_at.is_some() {
            return Vec::new();
        }
        run.first_token_at = Some(now);
        if let Some(key) = run.park_key
            && self.parks.replace(key, key.after_prefill())
        {
            run.park_key = Some(key.after_prefill());
        }
        let Some(mut upstream) = self.fleet.get_mut(&run.upstream) else { return Vec::new() };
        upstream.end_prefill(&run.load);
        if let Some(started_at) = run.started_at {
            let observed = now.saturating_sub(started_at).as_secs_f64();
            upstream.prefill.observe(observed, run.load.first_token_seconds);
        }
        if upstream.is_down() {
            upstream.finish_probe(now, ticket, true);
        } else if self.policy.probation {
            upstream.update_health(now);
        }
        drop(upstream);
        // The end of a long prefill may allow another one to start.
        self.schedule(now)
    }

    /// Ends a ticket and learns the speed of the upstream from its run.
    pub fn ended(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) -> Vec<Decision> {
        self.parked_sequences.remove(&ticket);
        if self.queue.remove(ticket).is_some() || self.remove_placed(ticket) {
            return self.schedule(now);
        }
        if let Some(run) = self.runs.get(&ticket) {
            let upstream = self.fleet.index_of(&run.upstream);
            match (outcome, upstream) {
                (Outcome::Finished(tokens), Some(upstream)) => {
                    self.learn(now, ticket, upstream, tokens);
                }
                (Outcome::Failed, Some(upstream)) => {
                    self.fleet.upstream_mut(upstream).fail_probe(now, ticket);
                }
                _ => {}
            }
        }
        self.end_run(now, ticket);
        self.schedule(now)
    }

    /// Stops grants to an upstream that crashed; a single probe tries it again after the backoff.
    ///
    /// Entries report the ends of its runs through [`Gate::ended`].
    pub fn upstream_failed(&mut self, now: Duration, name: &UpstreamName) {
        let Some(index) = self.fleet.index_of(name) else { return };
        self.fleet.upstream_mut(index).mark_down(now);
        self.affinity.clear(index);
        self.fleet.refresh();
    }

    /// Applies a load report of an upstream.
    pub fn report(
        &mut self,
        now: Duration,
        name: &UpstreamName,
        report: LoadReport,
    ) -> Vec<Decision> {
        let Some(mut upstream) = self.fleet.get_mut(name) else { return Vec::new() };
        upstream.report(now, report);
        drop(upstream);
        self.schedule(now)
    }

    /// Applies a cache event of an upstream.
    pub fn cache_event(&mut self, name: &UpstreamName, event: CacheEvent) {
        if let Some(index) = self.fleet.index_of(name) {
            self.affinity.event(index, event);
        }
    }

    /// Learns from runs whose first token is late, since a stalled upstream ends no run to learn
    /// from.
    pub(super) fn learn_from_late_runs(&mut self, now: Duration) {
        for run in self.runs.values_mut() {
            let Some(waited) = run.late_first_token(now) else { continue };
            let Some(mut upstream) = self.fleet.get_mut(&run.upstream) else { continue };
            upstream.prefill.observe_at_least(waited, run.load.first_token_seconds);
            if self.policy.probation {
                upstream.update_health(now);
            }
        }
    }

    fn learn(&mut self, now: Duration, ticket: Ticket, upstream: usize, tokens: u32) {
        let mut upstream = self.fleet.upstream_mut(upstream);
        let Some(run) = self.runs.get(&ticket) else { return };
        let Some(started_at) = run.started_at else { return };
        let decode = f64::from(tokens) * upstream.declared_decode(upstream.running);
        if let Some(first_token_at) = run.first_token_at {
            let observed = now.saturating_sub(first_token_at).as_secs_f64();
            upstream.decode.observe(observed, decode);
        }
        let observed = now.saturating_sub(started_at).as_secs_f64();
        let is_fast = upstream.is_fast(observed, run.load.first_token_seconds, decode);
        upstream.finish_probe(now, ticket, is_fast);
        if self.policy.probation {
            upstream.update_health(now);
        }
    }
}
