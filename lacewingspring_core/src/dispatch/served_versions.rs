//! Software versions of the upstreams of each service, with those that no longer serve but began
//! streams that may be taken up again.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::known_streams::ServedVersion;
use crate::names::{ServiceName, SoftwareVersion};

/// Shortest time for which a version that no longer serves is remembered.
const MIN_RETENTION: Duration = Duration::from_secs(20);

/// Versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    registered: BTreeSet<SoftwareVersion>,
    /// Time at which the last upstream of each other version was registered.
    left_at: HashMap<SoftwareVersion, Duration>,
    /// Whether it was found mixed and has not been found unmixed since.
    is_mixed: bool,
}

impl ServiceVersions {
    fn known(&self, now: Duration, retention: Duration) -> impl Iterator<Item = &SoftwareVersion> {
        let left = self.left_at.iter().filter(move |(software, left_at)| {
            !self.registered.contains(*software) && now.saturating_sub(**left_at) < retention
        });
        self.registered.iter().chain(left.map(|(software, _)| software))
    }
}

/// Versions of all services.
#[derive(Debug, Default)]
pub(super) struct ServedVersions {
    services: BTreeMap<ServiceName, ServiceVersions>,
    /// Longest time for which a stream was to be remembered.
    longest_lifetime: Duration,
}

impl ServedVersions {
    /// Replaces the versions that are registered.
    pub fn set_registered<I>(&mut self, now: Duration, versions: I)
    where
        I: Iterator<Item = (ServiceName, SoftwareVersion)>,
    {
        let retention = self.retention();
        for service in self.services.values_mut() {
            for software in std::mem::take(&mut service.registered) {
                service.left_at.insert(software, now);
            }
            service.left_at.retain(|_, left_at| now.saturating_sub(*left_at) < retention);
        }
        for (service, software) in versions {
            let service = self.services.entry(service).or_default();
            service.left_at.remove(&software);
            service.registered.insert(software);
        }
    }

    /// Returns the time for which versions that no longer serve are remembered.
    pub fn retention(&self) -> Duration {
        self.longest_lifetime.max(MIN_RETENTION)
    }

    /// Raises the retention to the time for which a stream is remembered.
    pub fn lengthen_retention(&mut self, lifetime: Duration) {
        self.longest_lifetime = self.longest_lifetime.max(lifetime);
    }

    /// Returns whether streams of a service may have begun at several versions.
    pub fn is_mixed(&self, now: Duration, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.known(now, self.retention()).nth(1).is_some())
    }

    /// Returns whether streams of some service may have begun at several versions.
    pub fn has_mixed(&self, now: Duration) -> bool {
        self.services.keys().any(|service| self.is_mixed(now, service))
    }

    /// Returns the services that are mixed and were not at the last call.
    pub fn take_newly_mixed(&mut self, now: Duration) -> Vec<ServiceName> {
        let retention = self.retention();
        let mut newly_mixed = Vec::new();
        for (name, service) in &mut self.services {
            let is_mixed = service.known(now, retention).nth(1).is_some();
            if is_mixed && !service.is_mixed {
                newly_mixed.push(name.clone());
            }
            service.is_mixed = is_mixed;
        }
        newly_mixed
    }

    /// Returns the only version of a service that served within the retention time.
    pub fn only_version(&self, now: Duration, service: &ServiceName) -> Option<&SoftwareVersion> {
        let mut known = self.services.get(service)?.known(now, self.retention());
        known.next().filter(|_| known.next().is_none())
    }

    /// Returns the versions that another instance must know.
    pub fn export(&self, now: Duration) -> Vec<ServedVersion> {
        let versions = self.services.iter().flat_map(|(name, service)| {
            service.known(now, self.retention()).map(|software| {
                let left_at = service.left_at.get(software).copied().unwrap_or(now);
                let age_ms = now.saturating_sub(left_at).as_millis() as u64;
                ServedVersion { service: name.clone(), software: software.clone(), age_ms }
            })
        });
        versions.collect()
    }

    /// Adds versions that another instance knows.
    pub fn import(&mut self, now: Duration, versions: &[ServedVersion]) {
        for ServedVersion { service, software, age_ms } in versions {
            let service = self.services.entry(service.clone()).or_default();
            let left_at = now.saturating_sub(Duration::from_millis(*age_ms));
            if !service.registered.contains(software) {
                let known = service.left_at.entry(software.clone()).or_default();
                *known = left_at.max(*known);
            }
        }
    }
}
