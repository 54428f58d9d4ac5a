//! Records the software versions of upstreams while this instance is the gate.

use std::time::Duration;

use lacewingspring_core::dispatch::ServedVersion;
use log::{info, warn};
use tokio::{sync::Mutex, time::timeout};

use super::{
    host::GateHost,
    version_record::{self, RecordRevisions},
};
use crate::{
    clock,
    record_checks::RecordReader,
    store::{Store, StoreError},
};

/// Interval of the checks for versions to be recorded, if no change of the upstreams tells of one.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Records the versions of a gate's upstreams.
#[derive(Debug)]
pub(super) struct VersionRecorder<'a, S> {
    /// The key-value service.
    store: &'a S,
    /// Gate host of this instance.
    host: &'a GateHost,
    /// Revisions of the records as they were read or written last.
    revisions: Mutex<RecordRevisions>,
}

impl<'a, S> VersionRecorder<'a, S> {
    /// Creates a recorder that has read no records.
    pub(super) fn new(store: &'a S, host: &'a GateHost) -> Self {
        Self { store, host, revisions: Mutex::default() }
    }
}

impl<S> VersionRecorder<'_, S>
where
    S: Store,
{
    /// Records versions until this instance is no longer the gate.
    pub(super) async fn run(&self) {
        // What was recorded before tells at which versions earlier gates began streams.
        self.load(|| self.serves_majority()).await;
        let mut era = self.store.era();
        let mut is_failing = false;
        while self.serves_majority() {
            if era != self.store.era() {
                era = self.store.era();
                self.host.forget_recorded_versions();
            }
            match self.write_all().await {
                Ok(()) => is_failing = false,
                Err(e) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        warn!(error:% = e; "Recording software versions failed; trying again.");
                    }
                }
            }
            // A time-out is as good a reason to look for versions as a change.
            let _ = timeout(CHECK_INTERVAL, self.host.versions_changed()).await;
        }
    }

    fn serves_majority(&self) -> bool {
        self.host.serves_majority(clock::now())
    }

    /// Waits for `interval` or a change of the upstreams. Meanwhile, before there is a gate for the
    /// fleet, records what this instance needs to serve its own callers.
    pub(super) async fn wait_for_majority(&self, interval: Duration) {
        if let Err(e) = self.write_new(self.host.urgent_versions(clock::now())).await {
            warn!(error:% = e; "Recording software versions failed; trying again.");
        }
        // A time-out is as good a reason to look again as a change.
        let _ = timeout(interval, self.host.versions_changed()).await;
    }

    async fn write_new(&self, versions: Vec<ServedVersion>) -> Result<(), StoreError> {
        for version in versions {
            self.write(&version, false).await?;
            self.host.set_versions_recorded(clock::now(), &[version]);
        }
        Ok(())
    }

    async fn write(&self, version: &ServedVersion, has_left: bool) -> Result<(), StoreError> {
        let mut revisions = self.revisions.lock().await;
        version_record::write(self.store, &mut revisions, version, has_left).await
    }

    /// Records the new versions, and that others left.
    async fn write_all(&self) -> Result<(), StoreError> {
        self.write_new(self.host.unrecorded_versions()).await?;
        for version in self.host.take_expired_versions(clock::now()) {
            self.write(&version, true).await?;
            self.host.remove_version(&version);
        }
        Ok(())
    }

    /// Loads the recorded versions, again until the service answers or they are no longer needed.
    pub(super) async fn load<F>(&self, is_needed: F)
    where
        F: Fn() -> bool,
    {
        let reader = RecordReader::new(self.host.outage());
        let loaded = reader.read(
            is_needed,
            || version_record::load(self.store),
            |e| {
                warn!(error:% = e; "Reading the recorded software versions failed; trying again.");
            },
        );
        let Some((loaded, revisions)) = loaded.await else { return };
        *self.revisions.lock().await = revisions;
        info!(
            versions = loaded.complete.len(), incomplete = loaded.incomplete.len();
            "The recorded software versions of upstreams are loaded."
        );
        let now = clock::now();
        self.host.learn_recorded_versions(now, &loaded.complete, &loaded.incomplete);
    }
}
