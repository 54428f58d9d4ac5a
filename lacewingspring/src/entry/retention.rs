//! Leases of claims and acts, so that their records expire after the declared retention.

use std::time::Duration;

use tokio::sync::Mutex;

use crate::{
    clock,
    platform::key_value::{KeyValue, KeyValueError, LeaseId},
};

/// Number of leases per retention. Each lease is shared by all records written in its sharing
/// period, which is this fraction of the retention.
const LEASES_PER_RETENTION: u32 = 24;

/// Sharing periods by which the TTL of a lease exceeds the retention: one for the period in which
/// it is shared and one for writes in flight.
const LEASE_MARGIN_PERIODS: u32 = 2;

/// A lease for all records written before `shared_until`.
#[derive(Clone, Copy, Debug)]
struct SharedLease {
    id: LeaseId,
    shared_until: Duration,
}

/// Time and error of the last failed grant.
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
    /// Creates the state, without a lease, for records that are kept for at least `retention`.
    pub(super) fn new(retention: Duration) -> Self {
        Self { retention, state: Mutex::default() }
    }

    /// Returns the lease for a record that is written now.
    ///
    /// # Errors
    ///
    /// Fails if a new lease is needed and the service does not grant it.
    pub(super) async fn lease(&self, store: &KeyValue) -> Result<LeaseId, KeyValueError> {
        let requested_at = clock::now();
        let mut state = self.state.lock().await;
        // Read before the grant, so that the service never expires a lease earlier than computed
        // here.
        let now = clock::now();
        if let Some(shared) = state.current.filter(|shared| now < shared.shared_until) {
            return Ok(shared.id);
        }
        // All callers that waited while a grant failed get its error at once, rather than retrying
        // one after the other.
        if let Some(failure) = state.failure.as_ref().filter(|failure| failure.at >= requested_at) {
            return Err(failure.error.clone());
        }
        let sharing_period = self.retention / LEASES_PER_RETENTION;
        // The service takes the TTL in whole seconds.
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

    /// Drops a lease that the service may no longer know, after it rejected a write with it.
    pub(super) async fn forget_if_rejected(&self, lease: LeaseId, error: &KeyValueError) {
        if matches!(error, KeyValueError::Rejected(_)) {
            self.state.lock().await.current.take_if(|shared| shared.id == lease);
        }
    }

    /// Returns the time until which the request of a claim made now may be dispatched.
    ///
    /// The other half of the retention is a margin: only a pause of that length could delay a
    /// dispatch past the expiry of its claim.
    pub(super) fn dispatch_by(&self, now: Duration) -> Duration {
        now + self.retention / 2
    }
}
