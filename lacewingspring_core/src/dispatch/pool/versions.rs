//! State of a service by software version, for the decision on its roll-out.

use std::time::Duration;

use super::{Pool, UpstreamInfo};
use crate::{names::SoftwareVersion, roll_out::FleetState};

impl Pool {
    /// Returns the state of the service for the decision on its roll-out; `None` without one.
    pub(in crate::dispatch) fn roll_out_state(&self, now: Duration) -> Option<FleetState> {
        let active = self.versions.active.as_ref()?;
        let target = &active.roll_out.order().target;
        let mut state = FleetState {
            drain_time: active.samples.drain_time().unwrap_or(self.service_time),
            old_running: self.resumed_waiting_except(target),
            ..FleetState::default()
        };
        for software in self.running_versions() {
            if software == Some(target) {
                state.target_running += 1;
            } else {
                state.old_running += 1;
            }
        }
        for upstream in self.usable_upstreams(now) {
            if self.versions.barred.contains(&upstream.software) {
                continue;
            }
            if upstream.software != *target {
                state.old_usable_slots += upstream.slots;
            } else if !active.samples.is_cold(now, &upstream.name) {
                state.target_usable_slots += upstream.slots;
            }
        }
        Some(state)
    }

    /// Returns the upstreams that are neither draining nor in a back-off.
    pub(super) fn usable_upstreams(&self, now: Duration) -> impl Iterator<Item = &UpstreamInfo> {
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
}
