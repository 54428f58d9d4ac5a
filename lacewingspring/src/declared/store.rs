//! Holds the state in force at this instance and decides which states may replace it.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use lacewingspring_core::catalog::Catalog;
use thiserror::Error;
use tokio::sync::{Mutex as AsyncMutex, watch};

use super::{
    backoff::Backoff,
    counters::{Counters, DeclaredCounts, count},
    follow,
    keys::Keys,
    policy::DeclaredPolicy,
    snapshot::{Snapshot, SnapshotError},
};
use crate::platform::key_value::{KeyValue, KeyValueError, Purpose, Revision};

/// Log target of this module's lines.
pub(super) const LOG: &str = "declared";

/// Declared resources in force at this instance.
#[derive(Debug)]
pub struct DeclaredStore {
    pub(super) kv: KeyValue,
    /// Client whose calls are counted under [`Purpose::Commit`].
    pub(super) commit_kv: KeyValue,
    pub(super) keys: Keys,
    pub(super) policy: DeclaredPolicy,
    pub(super) counters: Counters,
    snapshot: ArcSwap<Snapshot>,
    installing: Mutex<()>,
    loading: AsyncMutex<()>,
    loaded: AtomicBool,
    /// Highest generation that was ever in force at this instance.
    highest: AtomicU64,
    /// Revision of the key-value service up to which the snapshot reflects every change.
    known_revision: AtomicI64,
    /// Highest generation that is known to exist anywhere in the fleet.
    newest_known: watch::Sender<u64>,
    generation: watch::Sender<u64>,
    watching: watch::Sender<bool>,
}

/// Result of a snapshot offered by another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The snapshot is in force now.
    Installed,
    /// The state in force is as new or newer.
    Known,
}

/// Why the state could not be loaded from the key-value service.
#[derive(Debug, Error)]
pub(super) enum LoadError {
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    #[error("the service answered with an older state than generation {0}")]
    Older(u64),
}

impl DeclaredStore {
    /// Starts the tasks that follow the declared state. Must be called within a Tokio runtime; the
    /// tasks end with it.
    pub fn start(kv: KeyValue, prefix: &str) -> Arc<Self> {
        Self::start_with(kv, prefix, DeclaredPolicy::default())
    }

    /// Like [`DeclaredStore::start`], with other intervals and limits.
    pub fn start_with(kv: KeyValue, prefix: &str, policy: DeclaredPolicy) -> Arc<Self> {
        let store = Arc::new(Self::new(kv, prefix, policy));
        tokio::spawn(follow::follow(store.clone()));
        tokio::spawn(follow::catch_up(store.clone()));
        store
    }

    /// Returns a store without the tasks that follow the declared state.
    pub fn new(kv: KeyValue, prefix: &str, policy: DeclaredPolicy) -> Self {
        Self {
            commit_kv: kv.with_purpose(Purpose::Commit),
            kv,
            keys: Keys::new(prefix),
            policy,
            counters: Counters::default(),
            snapshot: ArcSwap::default(),
            installing: Mutex::default(),
            loading: AsyncMutex::default(),
            loaded: AtomicBool::new(false),
            highest: AtomicU64::new(0),
            known_revision: AtomicI64::new(0),
            newest_known: watch::Sender::new(0),
            generation: watch::Sender::new(0),
            watching: watch::Sender::new(true),
        }
    }

    /// Returns the state in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns the resources in force, indexed for the request path.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.snapshot.load().catalog.clone()
    }

    /// Returns the generation in force.
    pub fn generation(&self) -> u64 {
        self.snapshot.load().generation()
    }

    /// Returns whether a state has been loaded, from the service or another instance.
    pub fn loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Returns whether a higher generation than the one in force is known to exist.
    pub fn behind(&self) -> bool {
        *self.newest_known.borrow() > self.generation()
    }

    /// Returns a receiver of the generation in force.
    pub fn generations(&self) -> watch::Receiver<u64> {
        self.generation.subscribe()
    }

    /// Returns the counters.
    pub fn counts(&self) -> DeclaredCounts {
        self.counters.snapshot()
    }

    /// Sets whether this instance watches the key-value service. An instance that doesn't watch
    /// gets the state from its peers, and reads the service only if no peer delivers a known
    /// generation in time.
    pub fn set_watching(&self, watching: bool) {
        self.watching.send_if_modified(|known| std::mem::replace(known, watching) != watching);
    }

    /// Records that a generation exists, since another instance has applied it.
    pub fn note_generation(&self, generation: u64) {
        self.newest_known.send_if_modified(|known| {
            let higher = generation > *known;
            *known = generation.max(*known);
            higher
        });
    }

    /// Encodes the state in force for another instance; `None` if none has been loaded.
    pub fn encode_snapshot(&self) -> Option<Bytes> {
        self.loaded().then(|| self.snapshot.load().encode())
    }

    /// Encodes the changes since the generation that another instance has in force, or the whole
    /// state if the records of these changes are not all kept. `None` if no state has been loaded.
    pub fn encode_since(&self, generation: u64) -> Option<Bytes> {
        self.loaded().then(|| self.snapshot.load().encode_since(generation))
    }

    /// Installs a state from another instance if it is newer. The bytes hold the whole state or
    /// the changes since the generation in force.
    ///
    /// # Errors
    ///
    /// Fails if the bytes can't be parsed, the state is incomplete, or the changes are based on
    /// another generation than the one in force.
    pub fn offer_snapshot(&self, bytes: &[u8]) -> Result<Offer, SnapshotError> {
        let offered = self.snapshot.load().decode(bytes)?;
        let revision = offered.head_revision;
        self.note_generation(offered.generation());
        if self.install(offered) {
            self.note_revision(revision);
            return Ok(Offer::Installed);
        }
        Ok(Offer::Known)
    }

    /// Reads the whole state from the key-value service and installs it.
    pub(super) async fn load(&self) -> Result<(), LoadError> {
        let _turn = self.loading.lock().await;
        count(&self.counters.loads);
        let reply = self.kv.range(&self.keys.prefix).await?;
        let snapshot = Snapshot::read(&self.keys, &reply.entries)?;
        let generation = self.generation();
        let older = reply.revision < self.known_revision() || snapshot.generation() < generation;
        if older && self.policy.mechanisms.refuse_older {
            count(&self.counters.older);
            return Err(LoadError::Older(generation));
        }
        self.note_generation(snapshot.generation());
        self.install(snapshot);
        self.note_revision(reply.revision);
        Ok(())
    }

    /// Puts a state in force unless the current one is as new; returns whether it did.
    pub(super) fn install(&self, next: Snapshot) -> bool {
        let _turn = self.installing.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.snapshot.load();
        let generation = next.generation();
        if self.loaded() && generation == current.generation() {
            self.check_same(&current, &next);
            return false;
        }
        if generation < current.generation() && self.policy.mechanisms.refuse_older {
            count(&self.counters.older);
            return false;
        }
        self.assert_not_lower(generation);
        let resources = next.declared.resources.len();
        log::info!(target: LOG, generation, resources; "Applies a generation.");
        self.snapshot.store(Arc::new(next));
        count(&self.counters.installed);
        self.loaded.store(true, Ordering::Release);
        self.generation.send_replace(generation);
        true
    }

    pub(super) fn known_revision(&self) -> Revision {
        self.known_revision.load(Ordering::Acquire)
    }

    pub(super) fn note_revision(&self, revision: Revision) {
        self.known_revision.fetch_max(revision, Ordering::AcqRel);
    }

    pub(super) fn subscribe_newest_known(&self) -> watch::Receiver<u64> {
        self.newest_known.subscribe()
    }

    pub(super) fn subscribe_watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    pub(super) fn backoff(&self) -> Backoff {
        let policy = &self.policy;
        if policy.mechanisms.back_off {
            Backoff::new(policy.backoff_min, policy.backoff_max)
        } else {
            Backoff::new(policy.backoff_min, policy.backoff_min)
        }
    }

    /// Invariant: the generation in force never decreases.
    fn assert_not_lower(&self, generation: u64) {
        let highest = self.highest.fetch_max(generation, Ordering::AcqRel);
        if generation >= highest {
            return;
        }
        count(&self.counters.reverted);
        log::error!(target: LOG, generation, highest; "The generation in force would decrease.");
        assert!(
            !self.policy.mechanisms.refuse_older,
            "generation {generation} is lower than {highest}, which was in force before"
        );
    }

    /// Invariant: two states of the same generation have the same digest.
    fn check_same(&self, current: &Snapshot, next: &Snapshot) {
        let digest = |snapshot: &Snapshot| snapshot.head().map(|head| head.digest.clone());
        if digest(current) != digest(next) {
            count(&self.counters.divergent);
            let generation = current.generation();
            log::error!(
                target: LOG, generation;
                "Two states of the same generation differ; keeps the one in force."
            );
        }
    }
}
