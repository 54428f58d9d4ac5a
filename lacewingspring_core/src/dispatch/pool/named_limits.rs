//! Limits that upstreams name in their responses.

use std::time::Duration;

use super::{Pool, Ticket};
use crate::names::UpstreamName;

impl Pool {
    /// Records that the response to a run named the requests a second that its upstream takes, or
    /// named no limit; returns the upstream if that differs from what was known.
    pub fn set_rate_limit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        rate: Option<f64>,
    ) -> Option<&UpstreamName> {
        let upstream = &self.runs.get(&ticket)?.upstream;
        let info = self.upstreams.get(upstream).map(|state| &state.info);
        let is_changed = match rate {
            Some(rate) => {
                let started_at_ms = info.map(|info| info.started_at_ms);
                self.rate_limits.set(now, upstream, started_at_ms, rate)
            }
            None => self.rate_limits.remove(upstream),
        };
        is_changed.then_some(upstream)
    }
}
