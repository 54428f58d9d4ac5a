//! The lease of a pool controller in the key-value service.

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

/// Part of the keys of controllers that follows the prefix.
const CONTROLLERS: &str = "pool_controllers/";

/// Part of the keys of halted roll-outs that follows the prefix.
const HALTS: &str = "pool_halts/";

/// Time to live of a lease.
const TTL: Duration = Duration::from_secs(3);

/// Time from one renewal to the next, as a part of the time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease that this instance holds, or held.
#[derive(Debug)]
pub(super) struct HeldLease {
    pub(super) tenure: ControllerLease,
    lease: LeaseId,
    renew_at: Duration,
}

impl HeldLease {
    /// Takes the lease of a pool; none while another instance has it.
    ///
    /// The fencing number is the revision at which the key was created. The service's revision
    /// grows with each write, so a later tenure has a higher number.
    pub(super) async fn take(node: &Node, pool: &PoolName) -> Result<Option<Self>, KeyValueError> {
        let key = key(node, CONTROLLERS, pool);
        if store(node).get(&key).await?.is_some() {
            return Ok(None);
        }
        let sent = clock::now();
        let lease = store(node).lease_grant(TTL).await?;
        let put = Put::new(key, node.settings.instance.to_string()).with_lease(lease);
        // After a lost reply the entry lapses with the lease, which nobody renews.
        let Created::Created(revision) = store(node).create_entry(put).await? else {
            let _ = store(node).revoke(lease).await;
            return Ok(None);
        };
        let tenure = ControllerLease::new(revision.unsigned_abs(), sent, TTL);
        Ok(Some(Self { tenure, lease, renew_at: sent + TTL / RENEWALS_PER_TTL }))
    }

    /// Renews the lease when it is time; a renewal that fails is tried again at the next one.
    pub(super) async fn keep(&mut self, node: &Node) {
        let sent = clock::now();
        if sent < self.renew_at {
            return;
        }
        self.renew_at = sent + TTL / RENEWALS_PER_TTL;
        match store(node).keep_alive(self.lease).await {
            Ok(Some(ttl)) => self.tenure.renew(sent, ttl.min(TTL)),
            Ok(None) => log::warn!("Pool control: the lease has lapsed."),
            Err(e) => log::warn!(reason:% = e; "Pool control: could not renew a lease."),
        }
    }

    /// Returns the time until the next renewal is due.
    pub(super) fn until_renewal(&self) -> Duration {
        self.renew_at.saturating_sub(clock::now())
    }

    /// Gives the lease up, so that a successor need not wait.
    pub(super) async fn release(self, node: &Node) {
        if self.tenure.may_order(clock::now()) {
            let _ = store(node).revoke(self.lease).await;
        }
    }
}

/// Reads the halt that an earlier tenure left.
pub(super) async fn read_halt(node: &Node, pool: &PoolName) -> Result<Option<Halt>, KeyValueError> {
    let entry = store(node).get(&key(node, HALTS, pool)).await?;
    Ok(entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()))
}

/// Writes a halt, so that a successor doesn't try the version on one more engine.
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
