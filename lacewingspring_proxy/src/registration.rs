//! Registration of this instance in the key-value service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    members::Member,
    metrics::SharedMetrics,
    mirror::Mirror,
    store::{Item, Lease, Revision, Store, StoreError},
};

/// Lease of an instance's key; longer if the service requires it.
const LEASE_TTL: Duration = Duration::from_millis(3_500);

/// Interval of lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_100);

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Task that keeps the entry of this instance in the key-value service.
pub struct Registration<S> {
    /// The key-value service.
    pub store: Arc<S>,
    /// Current entry of this instance.
    pub member: watch::Receiver<Member>,
    /// Minimum lease that the service grants.
    pub min_lease: Duration,
    /// Becomes `true` when the process is about to end.
    pub shutdown: watch::Receiver<bool>,
}

impl<S> Registration<S>
where
    S: Store,
{
    /// Registers this instance, renews its lease until the process ends, and ends the lease then.
    pub async fn run(mut self) {
        let mut lease = None;
        let mut failed_calls = 0_u32;
        while !*self.shutdown.borrow() {
            let result = match lease {
                None => self.register().await.map(|granted| lease = Some(granted)),
                Some(granted) => self.renew(granted).await,
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
                        lease = None;
                    }
                    self.wait_for_shutdown(RETRY_DELAY).await;
                }
            }
        }
        if let Some(granted) = lease
            && let Err(e) = with_timeout(self.store.end_lease(granted)).await
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

    async fn register(&mut self) -> Result<Lease, StoreError> {
        let granted = self.store.grant_lease(LEASE_TTL.max(self.min_lease));
        let granted = with_timeout(granted).await?;
        self.write(granted).await?;
        info!(lease = granted.id, era = granted.era.0; "This instance is registered.");
        Ok(granted)
    }

    /// Writes the entry of this instance; it counts as changed until the write succeeded.
    async fn write(&mut self, lease: Lease) -> Result<(), StoreError> {
        let member = self.member.borrow_and_update().clone();
        self.member.mark_changed();
        let value = serde_json::to_vec(&member);
        let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
        with_timeout(self.store.put(&member.key(), Bytes::from(value), Some(lease))).await?;
        if *self.member.borrow() == member {
            self.member.mark_unchanged();
        }
        Ok(())
    }

    /// Renews the lease, and writes the entry if it changed.
    async fn renew(&mut self, lease: Lease) -> Result<(), StoreError> {
        if self.member.has_changed().unwrap_or(false) {
            self.write(lease).await?;
        }
        with_timeout(self.store.keep_lease(lease)).await
    }
}

async fn with_timeout<T, F>(call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let done = timeout(CALL_TIMEOUT, call).await;
    done.unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())))
}

/// Shows in the log and the metrics what the copy of the fleet holds of this instance's entry.
pub struct OwnEntryObserver {
    member: Member,
    metrics: SharedMetrics,
    /// Revision of the entry in the copy; `None` if the copy does not have it.
    revision: Option<Revision>,
}

impl OwnEntryObserver {
    /// Creates an observer of the entry of `member`, which the copy does not have yet.
    pub fn new(member: Member, metrics: SharedMetrics) -> Self {
        Self { member, metrics, revision: None }
    }

    /// Records what a copy of the fleet has of the entry.
    pub fn observe(&mut self, mirror: &Mirror) {
        let entry = mirror.get(&self.member.key());
        let revision = entry.map(|item| item.revision);
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        let is_of_this_process = entry.is_some_and(|item| self.is_own(item));
        self.metrics.set_registered(is_of_this_process);
        info!(
            entry_revision:% = revision.map_or("none".into(), |revision| revision.to_string()),
            is_of_this_process, copy_revision:% = mirror.revision();
            "The registration of this instance has changed in its copy of the fleet."
        );
    }

    /// Returns whether an entry is that of this process.
    fn is_own(&self, item: &Item) -> bool {
        let member: Result<Member, _> = serde_json::from_slice(&item.value);
        member.is_ok_and(|member| member.incarnation == self.member.incarnation)
    }
}
