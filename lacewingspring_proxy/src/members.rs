//! The instances of the fleet, and their registration in the key-value service.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use lacewingspring_core::names::{DataCentreName, InstanceName};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    clock,
    mirror::Mirror,
    store::{Item, Lease, Revision, Store, StoreError},
};

/// Prefix of the keys of instances.
pub const MEMBERS_PREFIX: &str = "lacewingspring/instances/";

/// Lease of an instance's key; longer if the service requires it.
const LEASE_TTL: Duration = Duration::from_millis(3_500);

/// Interval of lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_100);

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of addresses returned to a caller.
const MAX_ADDRESSES: usize = 64;

/// Number of instances in the caller's data centre from which on only their addresses are returned.
const MIN_LOCAL_INSTANCES: usize = 2;

/// Entry of an instance in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Random number that distinguishes this process from earlier ones of the instance.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Processor share of its machine, in thousandths of a core; 0 if it is not known.
    #[serde(default)]
    pub millicores: u32,
    /// Address for callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Address for other instances.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Whether the instance is about to stop.
    pub is_leaving: bool,
}

/// The instances of the fleet, ordered by processor share, the largest first, then by age, the
/// oldest first.
///
/// The first acts as the gate, which needs more processor time than a small machine has.
#[derive(Clone, Debug, Default)]
pub struct Members(Vec<Member>);

impl Members {
    /// Reads the instances from a copy of their keys; invalid entries are left out.
    pub fn from_mirror(mirror: &Mirror) -> Self {
        let parse = |item: &Item| match serde_json::from_slice(&item.value) {
            Ok(member) => Some((item.created_revision, member)),
            Err(e) => {
                warn!(
                    key = item.key.as_str(), error:% = e;
                    "The entry of an instance is invalid; the instance is left out."
                );
                None
            }
        };
        mirror.items().filter_map(parse).collect()
    }

    /// Returns all instances, those that are leaving included, in the order of the fleet.
    pub fn all(&self) -> &[Member] {
        &self.0
    }

    /// Returns the instances that are not leaving, in the order of the fleet.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.0.iter().filter(|member| !member.is_leaving)
    }

    /// Returns whether an instance has this incarnation.
    pub fn has_incarnation(&self, incarnation: u64) -> bool {
        self.0.iter().any(|member| member.incarnation == incarnation)
    }

    /// Returns the number of instances that are not leaving.
    pub fn len(&self) -> usize {
        self.active().count()
    }

    /// Returns whether all instances are leaving, or there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the addresses for a caller: those of its data centre if there are enough, else all.
    ///
    /// The instance `excluded` is left out even if its entry does not show yet that it is leaving.
    pub fn addresses(
        &self,
        data_centre: Option<&DataCentreName>,
        excluded: Option<&InstanceName>,
    ) -> Vec<SocketAddr> {
        let active = self.active().filter(|member| Some(&member.instance) != excluded);
        let active: Vec<&Member> = active.collect();
        let is_local = |member: &&&Member| Some(&member.data_centre) == data_centre;
        let local: Vec<&Member> = active.iter().filter(is_local).copied().collect();
        let chosen = if local.len() >= MIN_LOCAL_INSTANCES { local } else { active };
        chosen.iter().map(|member| member.caller_address).take(MAX_ADDRESSES).collect()
    }
}

impl FromIterator<(Revision, Member)> for Members {
    /// Orders instances, each with the revision of its entry's creation.
    fn from_iter<I>(members: I) -> Self
    where
        I: IntoIterator<Item = (Revision, Member)>,
    {
        let mut members: Vec<(Revision, Member)> = members.into_iter().collect();
        members.sort_by_cached_key(|(created, member)| {
            (Reverse(member.millicores), *created, member.instance.clone())
        });
        Self(members.into_iter().map(|(_, member)| member).collect())
    }
}

/// The current instances, shared between tasks.
pub type SharedMembers = Arc<ArcSwap<Members>>;

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
        info!("This instance is registered.");
        Ok(granted)
    }

    /// Writes the entry of this instance; it counts as changed until the write succeeded.
    async fn write(&mut self, lease: Lease) -> Result<(), StoreError> {
        let member = self.member.borrow_and_update().clone();
        self.member.mark_changed();
        let value = serde_json::to_vec(&member);
        let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let key = format!("{MEMBERS_PREFIX}{}", member.instance);
        with_timeout(self.store.put(&key, Bytes::from(value), Some(lease))).await?;
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

/// Returns a random number that distinguishes this process from earlier ones of the instance.
pub fn random_incarnation() -> u64 {
    clock::wall().as_millis() as u64 ^ rand::random::<u64>()
}
