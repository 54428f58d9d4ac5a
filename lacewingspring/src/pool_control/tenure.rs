//! Lease and stored halts of a pool controller in the key-value service.

use std::time::Duration;

use lacewingspring_core::{
    names::PoolName,
    pool_control::{ControllerLease, Halt},
};

use super::store;
use crate::{
    clock,
    daemon::Node,
    platform::key_value::{Created, KeyValueError, LeaseId, Put},
};

/// Folder of the controllers' lease keys, below the configured prefix.
const CONTROLLERS: &str = "pool_controllers/";

/// Folder of the keys of halted roll-outs, below the configured prefix.
const HALTS: &str = "pool_halts/";

/// Time to live of a lease.
const TTL: Duration = Duration::from_secs(3);

/// Number of renewals within one time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease that this instance acquired; it may have expired since.
#[derive(Debug)]
pub(super) struct HeldLease {
    pub(super) validity: ControllerLease,
    id: LeaseId,
    renew_at: Duration,
}

impl HeldLease {
    /// Acquires the lease of a pool; `None` if another instance holds it.
    ///
    /// The fencing number is the revision at which the key was created. The service's revision
    /// grows with each write, so a later lease has a higher number.
    pub(super) async fn acquire(
        node: &Node,
        pool: &PoolName,
    ) -> Result<Option<Self>, KeyValueError> {
        let key = key(node, CONTROLLERS, pool);
        if store(node).get(&key).await?.is_some() {
            return Ok(None);
        }
        let sent = clock::now();
        let lease = store(node).lease_grant(TTL).await?;
        let put = Put::new(key, node.settings.instance.to_string()).with_lease(lease);
        // If the reply is lost, nobody renews the lease, so the entry expires with it.
        let Created::Created(revision) = store(node).create_entry(put).await? else {
            let _ = store(node).revoke(lease).await;
            return Ok(None);
        };
        let validity = ControllerLease::new(revision.unsigned_abs(), sent, TTL);
        Ok(Some(Self { validity, id: lease, renew_at: sent + TTL / RENEWALS_PER_TTL }))
    }

    /// Renews the lease if a renewal is due; a failed renewal is retried when the next one is due.
    pub(super) async fn renew_if_due(&mut self, node: &Node) {
        let sent = clock::now();
        if sent < self.renew_at {
            return;
        }
        self.renew_at = sent + TTL / RENEWALS_PER_TTL;
        match store(node).keep_alive(self.id).await {
            Ok(Some(ttl)) => self.validity.renew(sent, ttl.min(TTL)),
            Ok(None) => log::warn!(
                "Pool control: the lease has expired at the key-value service; control ends."
            ),
            Err(e) => log::warn!(
                reason:% = e;
                "Pool control: could not renew the lease; retries until it expires."
            ),
        }
    }

    /// Returns the time left until the next renewal is due.
    pub(super) fn until_renewal(&self) -> Duration {
        self.renew_at.saturating_sub(clock::now())
    }

    /// Revokes the lease, so that the next controller need not wait for it to expire.
    pub(super) async fn release(self, node: &Node) {
        if self.validity.may_order(clock::now()) {
            let _ = store(node).revoke(self.id).await;
        }
    }
}

/// Reads the halt that an earlier controller of the pool stored.
pub(super) async fn read_halt(node: &Node, pool: &PoolName) -> Result<Option<Halt>, KeyValueError> {
    let entry = store(node).get(&key(node, HALTS, pool)).await?;
    Ok(entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()))
}

/// Stores a halt, so that the next controller doesn't try the failed version on another engine.
pub(super) async fn write_halt(
    node: &Node,
    pool: &PoolName,
    halt: &Halt,
) -> Result<(), KeyValueError> {
    let value = serde_json::to_vec(halt).unwrap_or_default();
    store(node).put(Put::new(key(node, HALTS, pool), value)).await.map(|_| ())
}

fn key(node: &Node, folder: &str, pool: &PoolName) -> String {
    format!("{}{folder}{pool}", node.settings.key_value.prefix)
}
