//! Registration of this instance in the key-value service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    clock,
    members::Member,
    metrics::SharedMetrics,
    own_entry::{Difference, OwnEntry},
    replica::{Replica, Replicas, Topic},
    store::{Lease, Revision, Store, StoreError},
};

/// Lease of an instance's key; longer if the service requires it.
const LEASE_TTL: Duration = Duration::from_millis(3_500);

/// Interval of lease renewals, and of the comparisons of the entry with the copy of the fleet.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_100);

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum time that the first write waits for the copy of the fleet, which shows the entry of an
/// earlier process. Without it, that entry costs a call that is rejected.
const MAX_COPY_WAIT: Duration = Duration::from_millis(300);

/// Task that keeps the entry of this instance in the key-value service.
pub struct Registration<S> {
    store: Arc<S>,
    /// Current entry of this instance; marked as changed until it is written.
    member: watch::Receiver<Member>,
    /// Key of the entry.
    key: String,
    entry: OwnEntry,
    /// Lease of the entry; `None` before it is granted and after it has ended.
    lease: Option<Lease>,
    /// Minimum lease that the service grants.
    min_lease: Duration,
    /// Becomes `true` when the process is about to end.
    shutdown: watch::Receiver<bool>,
    replicas: Arc<Replicas>,
    metrics: SharedMetrics,
}

impl<S> Registration<S>
where
    S: Store,
{
    /// Creates the registration of an instance whose entry is `member`, until `shutdown` becomes
    /// `true`; `min_lease` is the minimum lease that the service grants.
    pub fn new(
        store: Arc<S>,
        member: watch::Receiver<Member>,
        min_lease: Duration,
        shutdown: watch::Receiver<bool>,
        replicas: Arc<Replicas>,
        metrics: SharedMetrics,
    ) -> Self {
        let key = member.borrow().key();
        let (entry, lease) = (OwnEntry::default(), None);
        Self { store, member, key, entry, lease, min_lease, shutdown, replicas, metrics }
    }

    /// Registers this instance, renews its lease until the process ends, and ends the lease then.
    pub async fn run(mut self) {
        let mut failed_calls = 0_u32;
        while !*self.shutdown.borrow() {
            let result = match self.lease {
                None => self.register().await,
                Some(lease) => self.renew(lease).await,
            };
            match result {
                Ok(()) => {
                    if std::mem::take(&mut failed_calls) > 0 {
                        info!("The registration of this instance works again.");
                    }
                    self.wait_for_change(RENEWAL_INTERVAL).await;
                }
                Err(e) => {
                    if failed_calls == 0 {
                        warn!(
                            error:% = e;
                            "Registering this instance or renewing its lease failed; retrying."
                        );
                    }
                    failed_calls += 1;
                    if matches!(e, StoreError::NoLease) {
                        self.lease = None;
                        self.entry.set_deleted();
                    }
                    self.wait_for_shutdown(RETRY_DELAY).await;
                }
            }
        }
        if let Some(lease) = self.lease
            && let Err(e) = with_timeout(self.store.end_lease(lease)).await
        {
            warn!(
                error:% = e;
                "Ending the lease of this instance failed; its entry stays until the lease expires."
            );
        }
    }

    /// Waits until the lease is due for renewal, the entry changes or the process ends.
    async fn wait_for_change(&mut self, limit: Duration) {
        tokio::select! {
            () = sleep(limit) => {}
            _ = self.member.changed() => self.member.mark_changed(),
            _ = self.shutdown.changed() => {}
        }
    }

    async fn wait_for_shutdown(&mut self, limit: Duration) {
        // After a time-out as well as a change the caller checks whether the process ends.
        let _ = timeout(limit, self.shutdown.changed()).await;
    }

    /// Gets a lease and writes the entry. The lease is kept if the write fails, so that the entry
    /// has the lease that is renewed if that write is executed late.
    async fn register(&mut self) -> Result<(), StoreError> {
        let lease = self.store.grant_lease(LEASE_TTL.max(self.min_lease));
        let lease = with_timeout(lease).await?;
        self.lease = Some(lease);
        if self.entry.is_unknown() {
            self.wait_for_copy().await;
        }
        self.write(lease).await
    }

    /// Waits until the copy of the fleet has been read for the first time.
    async fn wait_for_copy(&self) {
        let mut confirmations = self.copy().confirmations();
        // Without the copy the entry is written all the same.
        let _ = timeout(MAX_COPY_WAIT, confirmations.wait_for(|at| !at.is_zero())).await;
    }

    /// Renews the lease, and writes the entry if it changed or is no longer as it was written.
    async fn renew(&mut self, lease: Lease) -> Result<(), StoreError> {
        if self.member.has_changed().unwrap_or(false) {
            self.write(lease).await?;
        }
        with_timeout(self.store.keep_lease(lease)).await?;
        let difference = self.entry.difference(&self.copy().mirror(), &self.key);
        match difference {
            Some(difference) => {
                self.record_difference(clock::now(), difference);
                self.write(lease).await
            }
            None => Ok(()),
        }
    }

    /// Logs and counts that the entry is no longer as it was written.
    fn record_difference(&mut self, now: Duration, difference: Difference) {
        let copy_age_ms = self.copy().age(now).unwrap_or_default().as_millis() as u64;
        let copy_revision = self.copy().mirror().revision();
        let written = self.entry.written().map_or("none".into(), |revision| revision.to_string());
        warn!(
            difference = difference.name(), written_revision:% = written, copy_revision:%,
            copy_age_ms;
            "The registration of this instance is not as it was written; it is written again."
        );
        self.metrics.registration_repaired(difference);
        if difference == Difference::Missing {
            self.entry.set_deleted();
        }
    }

    /// Writes the entry of this instance; it counts as changed until the write succeeded.
    async fn write(&mut self, lease: Lease) -> Result<(), StoreError> {
        let member = self.member.borrow_and_update().clone();
        self.member.mark_changed();
        let value = serde_json::to_vec(&member);
        let value = Bytes::from(value.map_err(|e| StoreError::Malformed(e.to_string()))?);
        let revision = self.put(lease, value).await?;
        self.entry.set_written(revision);
        info!(
            lease = lease.id, revision:%, is_leaving = member.is_leaving;
            "This instance is registered."
        );
        if *self.member.borrow() == member {
            self.member.mark_unchanged();
        }
        Ok(())
    }

    /// Writes a value in place of the entry that is known, or of the one that the service has
    /// instead: a write of this process that had no answer, or one of an earlier process.
    async fn put(&mut self, lease: Lease, value: Bytes) -> Result<Revision, StoreError> {
        let expected = self.entry.expected(&self.copy().mirror(), &self.key);
        match self.put_at(expected, lease, value.clone()).await {
            Err(StoreError::Conflict(present)) => {
                let present = present.map(|item| item.revision);
                self.entry.set_present(present);
                self.put_at(present, lease, value).await
            }
            Err(StoreError::EarlierEra) => {
                self.entry.set_deleted();
                self.put_at(None, lease, value).await
            }
            result => result,
        }
    }

    async fn put_at(
        &self,
        expected: Option<Revision>,
        lease: Lease,
        value: Bytes,
    ) -> Result<Revision, StoreError> {
        with_timeout(self.store.put_if(&self.key, value, expected, Some(lease))).await
    }

    /// Returns the copy of the fleet.
    fn copy(&self) -> &Replica {
        self.replicas.get(Topic::Members)
    }
}

async fn with_timeout<T, F>(call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let done = timeout(CALL_TIMEOUT, call).await;
    done.unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())))
}
