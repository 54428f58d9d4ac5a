//! Versions that are known not to be the target of an order that this instance has not seen.
//!
//! An order may be written before the copy of the orders shows it. So a version that appears beside
//! another one of its service is used only after that copy was complete at a revision at which the
//! version was registered already.

use std::collections::{BTreeMap, BTreeSet};

use lacewingspring_core::{
    dispatch::UpstreamInfo,
    names::{ServiceName, SoftwareVersion},
};

use crate::store::Revision;

/// State of a registered version.
#[derive(Clone, Debug)]
struct VersionState {
    /// Revision at which the copy of the registry had it first.
    seen_at: Revision,
    /// Whether it appeared beside another version of its service.
    is_beside: bool,
    /// The versions that it appeared beside.
    appeared_beside: BTreeSet<SoftwareVersion>,
    /// Whether the copy of the orders was complete at a revision not earlier than `seen_at`, or the
    /// version was the only one of its service.
    is_confirmed: bool,
    /// Start of its oldest upstream, in Unix milliseconds.
    started_at_ms: u64,
}

/// The registered versions of all services.
#[derive(Debug, Default)]
pub(super) struct VersionConfirmations {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, VersionState>>,
}

impl VersionConfirmations {
    /// Replaces the registered versions by those of a copy of the registry at a revision.
    pub fn set_registered(&mut self, upstreams: &[UpstreamInfo], revision: Revision) {
        let mut registered: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, u64>> = BTreeMap::new();
        for info in upstreams {
            let versions = registered.entry(info.service.clone()).or_default();
            let started_at_ms = versions.entry(info.software.clone()).or_insert(u64::MAX);
            *started_at_ms = info.started_at_ms.min(*started_at_ms);
        }
        self.services.retain(|service, _| registered.contains_key(service));
        for (service, versions) in registered {
            let known = self.services.entry(service).or_default();
            known.retain(|version, _| versions.contains_key(version));
            let is_beside = versions.len() > 1;
            if let Some(only) = known.values_mut().next().filter(|_| !is_beside) {
                only.is_beside = false;
                only.is_confirmed = true;
            }
            for (version, started_at_ms) in &versions {
                let others = versions.keys().filter(|other| *other != version);
                let state = known.entry(version.clone()).or_insert_with(|| VersionState {
                    seen_at: revision,
                    is_beside,
                    appeared_beside: others.cloned().collect(),
                    is_confirmed: !is_beside,
                    started_at_ms: *started_at_ms,
                });
                state.started_at_ms = *started_at_ms;
            }
        }
    }

    /// Notes that a version has not served alone if one that it appeared beside is registered;
    /// returns whether that is so.
    pub fn restore_beside(&mut self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let Some(versions) = self.services.get_mut(service) else { return false };
        let registered: BTreeSet<_> = versions.keys().cloned().collect();
        let Some(state) = versions.get_mut(version) else { return false };
        let is_back = !state.appeared_beside.is_disjoint(&registered);
        state.is_beside |= is_back;
        is_back
    }

    /// Returns the start of the oldest upstream of a version, in Unix milliseconds.
    pub fn started_at_ms(&self, service: &ServiceName, version: &SoftwareVersion) -> Option<u64> {
        Some(self.services.get(service)?.get(version)?.started_at_ms)
    }

    /// Notes that the copy of the orders is complete up to a revision; returns whether a version
    /// is confirmed by it.
    pub fn confirm(&mut self, revision: Revision) -> bool {
        let mut is_changed = false;
        for state in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            if !state.is_confirmed && state.seen_at <= revision {
                state.is_confirmed = true;
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns whether a version is not confirmed.
    pub fn has_unconfirmed(&self) -> bool {
        self.versions().any(|(.., state)| !state.is_confirmed)
    }

    /// Returns the versions that are not confirmed and, if `includes_beside`, also the confirmed
    /// ones that appeared beside another version.
    pub fn doubtful(
        &self,
        includes_beside: bool,
    ) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion)> {
        let versions = self.versions();
        let doubtful = versions
            .filter(move |(.., state)| !state.is_confirmed || (includes_beside && state.is_beside));
        doubtful.map(|(service, version, _)| (service, version))
    }

    /// Returns whether a version is registered and appeared beside another one of its service.
    pub fn is_beside(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let state = self.services.get(service).and_then(|versions| versions.get(version));
        state.is_some_and(|state| state.is_beside)
    }

    /// Returns the registered versions of a service.
    pub fn registered(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.services.get(service).into_iter().flat_map(BTreeMap::keys)
    }

    fn versions(&self) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion, &VersionState)> {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, state)| (service, version, state))
        })
    }
}
