//! The instances of the fleet, as they register themselves in the key-value service.

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
    store::{LeaseId, Store, StoreError},
};

/// Prefix of the keys of instances.
pub const MEMBERS_PREFIX: &str = "lacewingspring/instances/";

/// Lease of an instance's key.
const LEASE: Duration = Duration::from_millis(3_500);

/// Time between renewals.
const RENEWAL: Duration = Duration::from_millis(1_100);

/// Time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Most addresses that callers are given.
const MOST_ADDRESSES: usize = 64;

/// Instances of the caller's data centre from which the others are not named.
const ENOUGH_NEAR: usize = 2;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub instance: InstanceName,
    /// Number drawn at the start of its process.
    pub incarnation: u64,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Processor that its machine gives it, in thousandths of a core; 0 when it isn't told.
    #[serde(default)]
    pub millicores: u32,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// The instances of the fleet: those of larger machines first, then the longest known.
///
/// The first decides for the fleet, which takes more than a small machine has.
#[derive(Clone, Debug, Default)]
pub struct Members(Vec<Member>);

impl Members {
    /// Reads the instances from a copy of their keys.
    pub fn from_mirror(mirror: &Mirror) -> Self {
        let mut members: Vec<(u64, Member)> = Vec::new();
        for item in mirror.items() {
            match serde_json::from_slice(&item.value) {
                Ok(member) => members.push((item.created_revision, member)),
                Err(e) => warn!(key = item.key.as_str(), error:% = e; "An instance is unreadable."),
            }
        }
        members.sort_by_cached_key(|(created, member)| {
            (Reverse(member.millicores), *created, member.instance.clone())
        });
        Self(members.into_iter().map(|(_, member)| member).collect())
    }

    /// Returns the instances that stay, in the order of the fleet.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        self.0.iter().filter(|member| !member.is_leaving)
    }

    /// Returns how many instances stay.
    pub fn len(&self) -> usize {
        self.staying().count()
    }

    /// Returns whether no instance stays.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the addresses for a caller, those of its data centre if there are enough.
    ///
    /// The instance `without` is left out although it seems to stay.
    pub fn addresses(
        &self,
        data_centre: Option<&DataCentreName>,
        without: Option<&InstanceName>,
    ) -> Vec<SocketAddr> {
        let staying = self.staying().filter(|member| Some(&member.instance) != without);
        let staying: Vec<&Member> = staying.collect();
        let is_near = |member: &&&Member| Some(&member.data_centre) == data_centre;
        let near: Vec<&Member> = staying.iter().filter(is_near).copied().collect();
        let chosen = if near.len() >= ENOUGH_NEAR { near } else { staying };
        chosen.iter().map(|member| member.callers).take(MOST_ADDRESSES).collect()
    }
}

/// The present instances, shared.
pub type SharedMembers = Arc<ArcSwap<Members>>;

/// Keeps the key of this instance in the key-value service.
pub struct Registration<S> {
    /// The key-value service.
    pub store: Arc<S>,
    /// What this instance says of itself.
    pub member: watch::Receiver<Member>,
    /// Shortest lease of the service.
    pub min_lease: Duration,
    /// Becomes true when the process is about to end.
    pub shutdown: watch::Receiver<bool>,
}

impl<S> Registration<S>
where
    S: Store,
{
    /// Registers this instance and renews its lease until the process ends.
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
                        info!("This instance is known to the platform again.");
                    }
                    self.wait_for_change(RENEWAL).await;
                }
                Err(e) => {
                    if failed_calls == 0 {
                        warn!(error:% = e; "This instance can't tell the platform of itself.");
                    }
                    failed_calls += 1;
                    if matches!(e, StoreError::NoLease) {
                        lease = None;
                    }
                    self.wait_for_end(RETRY_PAUSE).await;
                }
            }
        }
        if let Some(granted) = lease
            && let Err(e) = limited(self.store.end_lease(granted)).await
        {
            warn!(error:% = e; "The lease of this instance was not ended.");
        }
    }

    /// Waits until the lease is to be renewed, or there is something to tell.
    async fn wait_for_change(&mut self, limit: Duration) {
        tokio::select! {
            () = sleep(limit) => {}
            _ = self.member.changed() => self.member.mark_changed(),
            _ = self.shutdown.changed() => {}
        }
    }

    async fn wait_for_end(&mut self, limit: Duration) {
        // Both ends of the wait lead to the same look at what is to be done.
        let _ = timeout(limit, self.shutdown.changed()).await;
    }

    async fn register(&mut self) -> Result<LeaseId, StoreError> {
        let granted = self.store.grant_lease(LEASE.max(self.min_lease));
        let granted = limited(granted).await?;
        self.write(granted).await?;
        info!("This instance is registered.");
        Ok(granted)
    }

    /// Writes what this instance says of itself; until that is done it counts as changed.
    async fn write(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        let member = self.member.borrow_and_update().clone();
        self.member.mark_changed();
        let value = serde_json::to_vec(&member);
        let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let key = format!("{MEMBERS_PREFIX}{}", member.instance);
        limited(self.store.put(&key, Bytes::from(value), Some(lease))).await?;
        if *self.member.borrow() == member {
            self.member.mark_unchanged();
        }
        Ok(())
    }

    /// Renews the lease, and writes what changed.
    async fn renew(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        if self.member.has_changed().unwrap_or(false) {
            self.write(lease).await?;
        }
        limited(self.store.keep_lease(lease)).await
    }
}

async fn limited<T, F>(call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let done = timeout(CALL_TIMEOUT, call).await;
    done.unwrap_or_else(|_| Err(StoreError::NoAnswer("time is up".into())))
}

/// Returns a number that tells this process from earlier ones of the instance.
pub fn random_incarnation() -> u64 {
    clock::wall().as_millis() as u64 ^ rand::random::<u64>()
}
