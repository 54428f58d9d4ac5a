//! Software versions of streams that are no longer remembered.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::names::{ServiceName, SoftwareVersion};

/// Versions of the streams of each service that were forgotten, with the time of the last one.
#[derive(Debug, Default)]
pub(super) struct ForgottenVersions {
    /// The version is `None` for streams of which it was not known.
    services: BTreeMap<ServiceName, HashMap<Option<SoftwareVersion>, Duration>>,
}

impl ForgottenVersions {
    /// Records that a stream of a version is forgotten; `None` if the version is not known.
    pub fn record(
        &mut self,
        now: Duration,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        versions.insert(software.cloned(), now);
    }

    /// Returns whether a stream that another version than `software` may have begun was forgotten
    /// at `since` or later.
    pub fn has_others(
        &self,
        since: Duration,
        service: &ServiceName,
        software: &SoftwareVersion,
    ) -> bool {
        let versions = self.services.get(service);
        versions
            .into_iter()
            .flatten()
            .any(|(other, forgotten_at)| other.as_ref() != Some(software) && *forgotten_at >= since)
    }

    /// Removes the versions of streams that were forgotten longer ago than `retention`.
    pub fn prune(&mut self, now: Duration, retention: Duration) {
        for versions in self.services.values_mut() {
            versions.retain(|_, forgotten_at| now.saturating_sub(*forgotten_at) < retention);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
