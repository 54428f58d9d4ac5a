//! Roll-outs of software versions that this gate holds, and the versions that it must not use.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Dispatcher, version_choice::VersionUse, work::Decision};
use crate::{
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::{Block, FleetState, RollOut, Stage},
};

/// Versions that get no request, by service.
pub type BarredVersions = BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>;

impl Dispatcher {
    /// Replaces the versions that get no request.
    pub fn set_barred_versions(
        &mut self,
        now: Duration,
        mut barred: BarredVersions,
    ) -> Vec<Decision> {
        let mut is_changed = false;
        for (service, pool) in &mut self.pools {
            let barred = barred.remove(service).unwrap_or_default();
            is_changed |= pool.versions.barred != barred;
            pool.versions.barred = barred;
        }
        for (service, barred) in barred {
            self.pool(&service).versions.barred = barred;
        }
        if is_changed { self.tick(now) } else { Vec::new() }
    }

    /// Holds a roll-out of a service, which replaces an earlier one.
    pub fn hold_roll_out(&mut self, service: &ServiceName, roll_out: RollOut, used: VersionUse) {
        self.pool(service).versions.hold(roll_out, used);
    }

    /// Sets how a roll-out divides the requests of its service.
    pub fn set_version_use(
        &mut self,
        now: Duration,
        service: &ServiceName,
        version_use: VersionUse,
    ) -> Vec<Decision> {
        let pool = self.pools.get_mut(service);
        if let Some(active) = pool.and_then(|pool| pool.versions.active.as_mut()) {
            active.version_use = version_use;
        }
        self.tick(now)
    }

    /// Releases the roll-out of a service and returns it.
    pub fn release_roll_out(&mut self, service: &ServiceName) -> Option<RollOut> {
        let active = self.pools.get_mut(service)?.versions.active.take()?;
        Some(active.roll_out)
    }

    /// Returns the roll-out of a service that this gate holds.
    pub fn roll_out(&self, service: &ServiceName) -> Option<&RollOut> {
        Some(&self.pools.get(service)?.versions.active.as_ref()?.roll_out)
    }

    /// Returns the roll-out of a service that this gate holds, for changing it.
    pub fn roll_out_mut(&mut self, service: &ServiceName) -> Option<&mut RollOut> {
        Some(&mut self.pools.get_mut(service)?.versions.active.as_mut()?.roll_out)
    }

    /// Allows requests to the target of a roll-out that were reserved in the store.
    pub fn open_block(
        &mut self,
        now: Duration,
        service: &ServiceName,
        block: Block,
    ) -> Vec<Decision> {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.versions.open_block(block);
        }
        self.tick(now)
    }

    /// Extends the time until which the targets of the roll-outs held here may be used.
    pub fn extend_roll_outs(&mut self, until: Duration) {
        let active = self.pools.values_mut().filter_map(|pool| pool.versions.active.as_mut());
        for active in active {
            active.held_until = until;
        }
    }

    /// Releases all roll-outs, as this gate no longer decides for a majority.
    pub fn release_roll_outs(&mut self) {
        for pool in self.pools.values_mut() {
            pool.versions.active = None;
        }
    }

    /// Sets the times until which new upstreams stay slow.
    pub fn set_cold_upstreams(&mut self, cold: &BTreeMap<UpstreamName, Duration>) {
        for pool in self.pools.values_mut() {
            pool.versions.set_cold(cold.iter().map(|(name, until)| (name.clone(), *until)));
        }
    }

    /// Returns the state of a service that the decision on its roll-out depends on.
    pub fn roll_out_state(
        &self,
        now: Duration,
        service: &ServiceName,
        copy_age: Duration,
    ) -> Option<FleetState> {
        let pool = self.pools.get(service)?;
        let state = pool.roll_out_state(now)?;
        let unresolved = u32::from(self.resumptions.is_waiting());
        Some(FleetState { old_running: state.old_running + unresolved, copy_age, ..state })
    }

    /// Returns whether no request runs or waits at the versions that the roll-out of a service to a
    /// target has left, or at one that is no longer registered. A resumption that waits may be of
    /// any service, so none may wait.
    pub fn has_left(
        &self,
        service: &ServiceName,
        target: &SoftwareVersion,
        left: &BTreeSet<SoftwareVersion>,
    ) -> bool {
        let Some(pool) = self.pools.get(service) else { return true };
        let mut running = pool.running_versions();
        let is_at_left = |version: Option<&SoftwareVersion>| {
            version.is_none_or(|version| left.contains(version))
        };
        !running.any(is_at_left)
            && pool.resumed_waiting_except(target) == 0
            && !self.resumptions.is_waiting()
    }

    /// Decides on the roll-out of a service that this gate holds.
    pub fn decide_roll_out(
        &mut self,
        now: Duration,
        service: &ServiceName,
        copy_age: Duration,
    ) -> Option<Stage> {
        let state = self.roll_out_state(now, service, copy_age)?;
        Some(self.roll_out_mut(service)?.decide(now, &state))
    }
}
