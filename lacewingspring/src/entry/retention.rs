//! Leases of claims and acts: their records end after the declared retention.

use std::time::Duration;

use tokio::sync::Mutex;

use crate::{
    clock,
    platform::key_value::{KeyValue, KeyValueError, LeaseId},
};

/// Leases granted in the time of one retention. Each is shared by what is written in its part.
const LEASES_PER_RETENTION: u32 = 24;

/// Parts by which a lease outlasts the retention: that in which it is shared, and one for writes
/// under way.
const LEASE_MARGIN_PERIODS: u32 = 2;

/// A lease that is shared until its part is over.
#[derive(Clone, Copy, Debug)]
struct SharedLease {
    id: LeaseId,
    shared_until: Duration,
}

/// Why the last grant failed.
#[derive(Clone, Debug)]
struct Failure {
    at: Duration,
    error: KeyValueError,
}

#[derive(Debug, Default)]
struct LeaseState {
    current: Option<SharedLease>,
    failure: Option<Failure>,
}

/// Grants the leases of the records that one instance writes.
#[derive(Debug)]
pub(super) struct Retention {
    retention: Duration,
    state: Mutex<LeaseState>,
}

impl Retention {
    /// Keeps records for `keep` at least.
    pub(super) fn new(retention: Duration) -> Self {
        Self { retention, state: Mutex::default() }
    }

    /// Returns the lease for a record that is written now.
    ///
    /// # Errors
    ///
    /// Fails when a lease is due and the service doesn't grant it.
    pub(super) async fn lease(&self, store: &KeyValue) -> Result<LeaseId, KeyValueError> {
        let requested_at = clock::now();
        let mut state = self.state.lock().await;
        // Read before the grant, so that the service never ends a lease earlier than counted here.
        let now = clock::now();
        if let Some(shared) = state.current.filter(|shared| now < shared.shared_until) {
            return Ok(shared.id);
        }
        // All who waited for a grant that failed learn it at once, not one after the other.
        if let Some(failure) = state.failure.as_ref().filter(|failure| failure.at >= requested_at) {
            return Err(failure.error.clone());
        }
        let sharing_period = self.retention / LEASES_PER_RETENTION;
        // The service counts whole seconds.
        let ttl = (self.retention + sharing_period * LEASE_MARGIN_PERIODS).as_secs() + 1;
        match store.lease_grant(Duration::from_secs(ttl)).await {
            Ok(id) => {
                state.current = Some(SharedLease { id, shared_until: now + sharing_period });
                Ok(id)
            }
            Err(error) => {
                state.failure = Some(Failure { at: clock::now(), error: error.clone() });
                Err(error)
            }
        }
    }

    /// Forgets a lease that the service may no longer know, after a write with it failed.
    pub(super) async fn forget_if_rejected(&self, lease: LeaseId, error: &KeyValueError) {
        if matches!(error, KeyValueError::Rejected(_)) {
            self.state.lock().await.current.take_if(|shared| shared.id == lease);
        }
    }

    /// Returns the time until which a claim made now may be dispatched.
    ///
    /// The other half of the retention is left, so that only a pause as long as it could let a
    /// dispatch go out after its claim has ended.
    pub(super) fn dispatch_by(&self, now: Duration) -> Duration {
        now + self.retention / 2
    }
}
