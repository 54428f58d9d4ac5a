//! Software versions of upstreams that are recorded in the key-value service before a gate sends
//! streams to them.
//!
//! If all instances end together, the next gate has no record of the streams that were open. It
//! knows at least that each began at one of the recorded versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{ServedVersion, UpstreamInfo},
    names::{ServiceName, SoftwareVersion},
};

/// Time after which the upstreams of a version are used although the version is not recorded: the
/// key-value service may be slow or away.
pub const MAX_RECORD_DELAY: Duration = Duration::from_secs(1);

/// Name of a version: its service and the version.
type VersionKey = (ServiceName, SoftwareVersion);

/// State of one version.
#[derive(Clone, Copy, Debug)]
struct VersionState {
    is_registered: bool,
    /// Time since which upstreams of it are registered, or since which none is.
    since: Duration,
    is_recorded: bool,
}

impl VersionState {
    fn is_usable(&self, now: Duration) -> bool {
        self.is_recorded || now.saturating_sub(self.since) >= MAX_RECORD_DELAY
    }
}

/// The registered upstreams, and which of their versions are recorded.
#[derive(Debug, Default)]
pub struct RecordedVersions {
    upstreams: Vec<UpstreamInfo>,
    versions: BTreeMap<VersionKey, VersionState>,
    /// Whether upstreams of versions that are not recorded are withheld.
    is_enabled: bool,
}

impl RecordedVersions {
    /// Withholds upstreams of versions that are not recorded from now on.
    pub fn enable(&mut self) {
        self.is_enabled = true;
    }

    /// Replaces the registered upstreams.
    pub fn set_registered(&mut self, now: Duration, upstreams: Vec<UpstreamInfo>) {
        let registered: BTreeSet<VersionKey> = upstreams.iter().map(key_of).collect();
        for (key, version) in &mut self.versions {
            let is_registered = registered.contains(key);
            if version.is_registered != is_registered {
                *version = VersionState { is_registered, since: now, ..*version };
            }
        }
        for key in registered {
            let new = VersionState { is_registered: true, since: now, is_recorded: false };
            self.versions.entry(key).or_insert(new);
        }
        self.upstreams = upstreams;
    }

    /// Notes that versions are recorded.
    pub fn set_recorded(&mut self, now: Duration, versions: &[ServedVersion]) {
        for version in versions {
            let key = (version.service.clone(), version.software.clone());
            let new = VersionState { is_registered: false, since: now, is_recorded: true };
            self.versions.entry(key).or_insert(new).is_recorded = true;
        }
    }

    /// Notes that no version is known to be recorded, as the key-value service was restored from an
    /// older copy.
    pub fn forget_recorded(&mut self) {
        for version in self.versions.values_mut() {
            version.is_recorded = false;
        }
    }

    /// Returns the registered versions that are to be recorded.
    pub fn unrecorded(&self) -> Vec<ServedVersion> {
        let versions = self.versions.iter();
        let unrecorded =
            versions.filter(|(_, version)| version.is_registered && !version.is_recorded);
        unrecorded.map(|(key, _)| served(key)).collect()
    }

    /// Returns the versions to be recorded of services that have no usable upstream before.
    pub fn urgent(&self, now: Duration) -> Vec<ServedVersion> {
        let usable: BTreeSet<ServiceName> =
            self.usable(now).into_iter().map(|info| info.service).collect();
        self.unrecorded().into_iter().filter(|version| !usable.contains(&version.service)).collect()
    }

    /// Returns the versions whose record is no longer needed, as their last upstream left longer
    /// than `retention` ago. They count as not recorded from now on.
    pub fn take_expired(&mut self, now: Duration, retention: Duration) -> Vec<ServedVersion> {
        let expired = self.versions.iter_mut().filter(|(_, version)| {
            !version.is_registered && now.saturating_sub(version.since) >= retention
        });
        let expired = expired.map(|(key, version)| {
            version.is_recorded = false;
            served(key)
        });
        expired.collect()
    }

    /// Removes a version whose record was removed.
    pub fn remove(&mut self, removed: &ServedVersion) {
        let key = (removed.service.clone(), removed.software.clone());
        if self.versions.get(&key).is_some_and(|version| !version.is_registered) {
            self.versions.remove(&key);
        }
    }

    /// Returns all registered upstreams.
    pub fn registered(&self) -> &[UpstreamInfo] {
        &self.upstreams
    }

    /// Returns the upstreams that may be used.
    pub fn usable(&self, now: Duration) -> Vec<UpstreamInfo> {
        let is_usable = |info: &&UpstreamInfo| {
            !self.is_enabled || self.versions.get(&key_of(info)).is_none_or(|v| v.is_usable(now))
        };
        self.upstreams.iter().filter(is_usable).cloned().collect()
    }

    /// Returns the services that have upstreams for new requests, but only withheld ones.
    pub fn withheld_services(&self, now: Duration) -> BTreeSet<ServiceName> {
        let services = |upstreams: &[UpstreamInfo]| -> BTreeSet<ServiceName> {
            let open = upstreams.iter().filter(|info| !info.draining);
            open.map(|info| info.service.clone()).collect()
        };
        &services(&self.upstreams) - &services(&self.usable(now))
    }

    /// Returns the time at which the next upstream that is withheld at `now` is used all the same;
    /// `None` if none is withheld.
    pub fn withheld_until(&self, now: Duration) -> Option<Duration> {
        let versions = self.versions.values().filter(|version| version.is_registered);
        let withheld = versions.filter(|version| self.is_enabled && !version.is_usable(now));
        withheld.map(|version| version.since + MAX_RECORD_DELAY).min()
    }
}

fn key_of(info: &UpstreamInfo) -> VersionKey {
    (info.service.clone(), info.software.clone())
}

fn served((service, software): &VersionKey) -> ServedVersion {
    ServedVersion { service: service.clone(), software: software.clone(), age_ms: 0 }
}
