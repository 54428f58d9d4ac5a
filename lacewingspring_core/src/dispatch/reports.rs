//! What instances report of runs and their upstreams.

use std::time::Duration;

use super::{
    Dispatcher,
    finding::Finding,
    open_request::OpenRequest,
    reported_load::{LoadReports, UpstreamLoad},
    work::{End, Ticket},
};
use crate::names::UpstreamName;

impl Dispatcher {
    /// Records at `now` that the first event of a run arrived `took` after its send.
    pub fn first_output(&mut self, now: Duration, ticket: Ticket, took: Duration) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        open.first_output_at.get_or_insert(now);
        let Some(pool) = self.pools.get_mut(&open.service) else { return };
        pool.first_output(now, ticket, took);
        if let Some(upstream) = pool.upstream_of(ticket) {
            self.link_paths.record_response(ticket.link, upstream);
            self.broken_runs.record_response(upstream);
        }
    }

    /// Records that the response to a run named the requests a second that its upstream takes from
    /// all instances together; `None` if it named no limit.
    pub fn set_rate_limit(&mut self, now: Duration, ticket: Ticket, rate: Option<f64>) {
        let Some(open) = self.open.get(&ticket) else { return };
        let pool = self.pools.get_mut(&open.service);
        let changed = pool.and_then(|pool| pool.set_rate_limit(now, ticket, rate).cloned());
        let Some(upstream) = changed else { return };
        self.findings.push(match rate {
            Some(per_s) => Finding::Limited { upstream, per_s },
            None => Finding::NoLongerLimited { upstream },
        });
    }

    /// Records the load that the upstream of a run reported in a response received at
    /// `received_at`.
    pub fn record_load(&mut self, received_at: Duration, ticket: Ticket, load: UpstreamLoad) {
        let Some(open) = self.open.get(&ticket) else { return };
        let Some(pool) = self.pools.get_mut(&open.service) else { return };
        if let Some(upstream) = pool.record_load(received_at, ticket, &load) {
            self.findings.push(Finding::LoadIgnored { upstream, load });
        }
    }

    /// Returns how many load reports were received and used, and how well they fitted.
    pub fn load_reports(&self) -> LoadReports {
        self.pools.values().map(|pool| pool.load_reports).sum()
    }

    /// Records that the upstream of a run may crash if it has to decline requests.
    pub fn set_brittle(&mut self, now: Duration, ticket: Ticket) {
        let Some(open) = self.open.get(&ticket) else { return };
        let pool = self.pools.get_mut(&open.service);
        if pool.is_some_and(|pool| pool.brittle.record(now)) {
            self.findings.push(Finding::Brittle { service: open.service.clone() });
        }
    }

    /// Decides whether a connection that failed says something of its upstream; if not, the
    /// upstream was not used.
    pub(super) fn judge_connection(
        &mut self,
        now: Duration,
        ticket: Ticket,
        open: &OpenRequest,
        upstream: Option<&UpstreamName>,
        end: End,
    ) -> End {
        match (end, upstream) {
            (End::Unreachable, Some(upstream)) => {
                let backs_off = self.link_paths.record_failure(now, ticket.link, upstream);
                let (link, upstream) = (ticket.link, upstream.clone());
                self.findings.push(Finding::Unreachable { upstream, link, backs_off });
                if backs_off { end } else { End::Unused }
            }
            // A stream that had begun may go on over a connection from before.
            (
                End::Finished { .. } | End::Failed | End::Declined | End::Misdirected,
                Some(upstream),
            ) if open.first_output_at.is_none() => {
                self.link_paths.record_response(ticket.link, upstream);
                end
            }
            _ => end,
        }
    }

    /// Records what the end of a run says of its upstream; returns whether the upstream breaks one
    /// run after the other.
    pub(super) fn breaks_runs(
        &mut self,
        now: Duration,
        ticket: Ticket,
        open: &OpenRequest,
        upstream: &UpstreamName,
        end: End,
    ) -> bool {
        match end {
            End::Broken => {
                let is_only_link = self.link_paths.len() <= 1;
                let (runs, link) = (&mut self.broken_runs, ticket.link);
                runs.record(now, link, upstream, open, is_only_link)
            }
            End::Finished { .. } => {
                self.broken_runs.record_completed(upstream);
                false
            }
            End::Failed | End::Declined => {
                self.broken_runs.record_response(upstream);
                false
            }
            _ => false,
        }
    }
}
