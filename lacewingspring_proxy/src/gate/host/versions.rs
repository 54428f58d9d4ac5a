//! Withholds upstreams until their software versions are recorded, and tells the dispatcher which
//! are.

use std::{collections::BTreeSet, time::Duration};

use lacewingspring_core::dispatch::{ServedVersion, UpstreamInfo};
use log::warn;

use super::{GateHost, State};
use crate::replica::Topic;

impl GateHost {
    /// Withholds upstreams of versions that are not recorded from now on, for a second at most.
    pub fn require_recorded_versions(&self) {
        self.state().versions.enable();
    }

    /// Replaces the known upstreams.
    pub fn set_upstreams<I>(&self, now: Duration, upstreams: I)
    where
        I: IntoIterator<Item = UpstreamInfo>,
    {
        let orders_age = self.replicas.get(Topic::Declared).age(now);
        let mut state = self.state();
        state.versions.set_registered(now, upstreams.into_iter().collect());
        state.note_registered_versions(now, orders_age);
        state.apply_upstreams(now);
        drop(state);
        self.request_order_confirmation(now);
        self.decide_deferred(now);
        self.versions_changed.notify_one();
    }

    /// Waits until the versions of the registered upstreams may have changed.
    pub async fn versions_changed(&self) {
        self.versions_changed.notified().await;
    }

    /// Returns the versions that are to be recorded.
    pub fn unrecorded_versions(&self) -> Vec<ServedVersion> {
        self.state().versions.unrecorded()
    }

    /// Returns the versions that are to be recorded before this instance can serve their services
    /// at all; none while it grants no slots.
    pub fn urgent_versions(&self, now: Duration) -> Vec<ServedVersion> {
        if self.grants_slots() { self.state().versions.urgent(now) } else { Vec::new() }
    }

    /// Notes that versions are recorded, and uses their upstreams.
    pub fn set_versions_recorded(&self, now: Duration, versions: &[ServedVersion]) {
        let mut state = self.state();
        state.versions.set_recorded(now, versions);
        state.apply_upstreams(now);
        drop(state);
        self.decide_deferred(now);
    }

    /// Adds the versions that earlier gates recorded, as loaded at `now`: of some services all, of
    /// others perhaps not.
    pub fn learn_recorded_versions(
        &self,
        now: Duration,
        complete: &[ServedVersion],
        incomplete: &[ServedVersion],
    ) {
        let mut state = self.state();
        state.versions.set_recorded(now, complete);
        let decisions = state.dispatcher.learn_recorded(now, complete, incomplete);
        state.send_decisions(decisions);
        state.apply_upstreams(now);
        drop(state);
        self.decide_deferred(now);
    }

    /// Notes that no version is known to be recorded.
    pub fn forget_recorded_versions(&self) {
        self.state().versions.forget_recorded();
    }

    /// Returns the versions whose record is no longer needed.
    pub fn take_expired_versions(&self, now: Duration) -> Vec<ServedVersion> {
        let mut state = self.state();
        let retention = state.dispatcher.stream_retention();
        state.versions.take_expired(now, retention)
    }

    /// Forgets a version whose record was removed.
    pub fn remove_version(&self, version: &ServedVersion) {
        self.state().versions.remove(version);
    }
}

impl State {
    /// Uses the upstreams that were withheld for too long.
    pub(super) fn use_overdue_upstreams(&mut self, now: Duration) {
        if self.withheld_until.is_some_and(|until| until <= now) {
            warn!("Upstreams are used although their software version is not recorded.");
            self.apply_upstreams(now);
        }
    }

    /// Gives the dispatcher the upstreams that may be used, and tells it of the others.
    fn apply_upstreams(&mut self, now: Duration) {
        let usable = self.versions.usable(now);
        self.withheld_until = self.versions.withheld_until(now);
        self.withheld_services = match self.withheld_until {
            Some(_) => self.versions.withheld_services(now),
            None => BTreeSet::new(),
        };
        self.dispatcher.note_registered(now, self.versions.registered());
        let decisions = self.dispatcher.set_upstreams(now, usable);
        self.send_decisions(decisions);
    }
}
