//! Choice of an upstream by software version, what a roll-out must know of the runs, and runs that
//! another gate granted.

use std::time::Duration;

use super::{Pool, Run, Running, SlotRequest, TargetRoom, Ticket, UpstreamInfo, VersionPart, Work};
use crate::names::{SoftwareVersion, UpstreamName};

impl Pool {
    /// Chooses the upstream for a request, among the versions that may run it.
    pub(super) fn choose_upstream(
        &self,
        now: Duration,
        request: &SlotRequest,
    ) -> Option<UpstreamName> {
        let parts = self.versions.parts(now, request, || self.target_room(now));
        let mut parts = parts.into_iter().flatten();
        parts.find_map(|part| self.choose_among(now, request, part))
    }

    fn target_room(&self, now: Duration) -> TargetRoom {
        let slots_of = |part| {
            let is_in_part = |info: &&UpstreamInfo| self.versions.contains(part, &info.software);
            let upstreams = self.usable_upstreams(now).filter(is_in_part);
            upstreams.map(|info| info.slots).fold(0, u32::saturating_add)
        };
        let running = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        TargetRoom::of(slots_of(VersionPart::Target), slots_of(VersionPart::Old), running)
    }

    /// Returns the upstreams that are neither draining nor in a back-off.
    pub(in crate::dispatch) fn usable_upstreams(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = &UpstreamInfo> {
        let usable = self.upstreams.values().filter(move |state| state.is_usable(now));
        usable.map(|state| &state.info)
    }

    /// Returns the version at which each request runs; `None` if its upstream is gone.
    pub(in crate::dispatch) fn running_versions(
        &self,
    ) -> impl Iterator<Item = Option<&SoftwareVersion>> {
        let upstreams = self.runs.values().map(|running| self.upstreams.get(&running.upstream));
        upstreams.map(|state| state.map(|state| &state.info.software))
    }

    /// Returns the number of waiting requests that resume a stream of another version than this.
    pub(in crate::dispatch) fn resumed_waiting_except(&self, software: &SoftwareVersion) -> u32 {
        u32::try_from(self.queue.resumed_len_except(software)).unwrap_or(u32::MAX)
    }

    /// Returns the moving average of the service times.
    pub(in crate::dispatch) fn mean_service_time(&self) -> Duration {
        self.service_time
    }

    /// Registers a request that already runs under a grant of another gate. Its upstream may be
    /// unknown, as instances report before the registry is read.
    pub fn adopt(&mut self, now: Duration, ticket: Ticket, upstream: UpstreamName, work: &Work) {
        let run = match self.upstreams.get_mut(&upstream) {
            Some(state) => state.start_run(now, work),
            None => Run::on_unknown(work),
        };
        self.runs.insert(ticket, Running { upstream, run, charge: None });
    }
}
