//! Replicas of the key-value service's content, and how fresh they are.
//!
//! The content is divided into topics. A [`Replica`] is the [`Mirror`] of the keys of one topic,
//! together with the times at which it was known to be complete.
//!
//! In a large fleet only the gate watches the service. The other instances receive its changes over
//! their links to the gate, together with a confirmation of how old its replica is; without a
//! recent confirmation each instance watches the service itself. So the number of calls to the
//! service doesn't grow with the fleet, and an instance whose gate loses its connection to the
//! service still gets changes.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::{
    Notify,
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use crate::{
    mirror::Mirror,
    outage::Outage,
    store::{Batch, Change, MEMORY_OVERHEAD_BYTES, Revision},
};

/// Maximum age of the state confirmed by the gate for which instances rely on the gate instead of
/// watching the service.
pub const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1_500);

/// Approximate size of a change on a link without its key and value, in bytes.
const LINK_OVERHEAD_BYTES: usize = 40;

/// Group of keys that is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The operators' configuration.
    Declared,
    /// The upstreams' entries.
    Upstreams,
    /// The instances' entries.
    Members,
}

impl Topic {
    /// All topics, in the order in which [`ByTopic`] and [`Replicas`] hold them.
    pub const ALL: [Self; 3] = [Self::Declared, Self::Upstreams, Self::Members];

    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Upstreams => "upstreams",
            Self::Members => "members",
        }
    }
}

/// One value per topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByTopic<T>([T; 3]);

impl<T> ByTopic<T> {
    /// Returns the value of a topic.
    pub fn get(&self, topic: Topic) -> &T {
        &self.0[topic as usize]
    }

    /// Returns the value of a topic for changing it.
    pub fn get_mut(&mut self, topic: Topic) -> &mut T {
        &mut self.0[topic as usize]
    }
}

/// Changes of a topic, sent from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The topic.
    pub topic: Topic,
    /// Revision after which the changes begin.
    #[serde(rename = "from")]
    pub after: Revision,
    /// Revision up to which the changes are complete.
    #[serde(rename = "at")]
    pub revision: Revision,
    /// Rest of the sender's grace period for deleted keys.
    pub grace: Duration,
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
}

impl Update {
    /// Returns its approximate length on a link, in bytes.
    pub fn len(&self) -> usize {
        let each = self.changes.iter().map(|change| match change {
            Change::Put(item) => item.key.len() + item.value.len(),
            Change::Deleted { key, .. } => key.len(),
        });
        each.map(|len| len + LINK_OVERHEAD_BYTES).sum()
    }

    /// Returns whether it holds no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the memory that it takes, in bytes.
    fn held_bytes(&self) -> usize {
        self.changes.iter().map(Change::held_bytes).sum::<usize>() + MEMORY_OVERHEAD_BYTES
    }

    /// Converts it into a batch of changes.
    pub fn into_batch(self) -> Batch {
        Batch { changes: self.changes, revision: self.revision }
    }
}

/// Copy of one topic, shared by the task that keeps it up to date and those that send its changes
/// to other instances.
#[derive(Debug)]
pub struct Replica {
    mirror: Mutex<Mirror>,
    /// Latest time at which the copy is known to have been complete; zero before the first.
    confirmed_at: Mutex<Duration>,
    /// Latest time at which a call to the service was sent whose answer was applied: the copy has
    /// all changes up to then. Zero before the first.
    complete_at: watch::Sender<Duration>,
    /// Wakes the task that keeps the copy up to date, to have it confirmed by the service.
    confirmation_requested: Notify,
    /// Latest time for which the gate confirmed that it has sent all changes; zero before the
    /// first.
    gate_confirmed_at: watch::Sender<Duration>,
    updates_tx: UnboundedSender<Update>,
    updates_rx: Mutex<Option<UnboundedReceiver<Update>>>,
    is_loaded: AtomicBool,
    /// Largest memory, in bytes, of the copy, and of the updates that wait for it.
    max_bytes: AtomicUsize,
    /// Memory, in bytes, of the updates that wait.
    waiting_bytes: AtomicUsize,
    /// Whether an update was dropped, so that the copy must be read from the service again.
    lacks_update: AtomicBool,
    /// Number of times that keys were not taken because they need too much memory.
    too_large: AtomicU64,
}

impl Default for Replica {
    fn default() -> Self {
        let (updates_tx, updates_rx) = unbounded_channel();
        Self {
            mirror: Mutex::default(),
            confirmed_at: Mutex::default(),
            complete_at: watch::Sender::new(Duration::ZERO),
            confirmation_requested: Notify::new(),
            gate_confirmed_at: watch::Sender::new(Duration::ZERO),
            updates_tx,
            updates_rx: Mutex::new(Some(updates_rx)),
            is_loaded: AtomicBool::new(false),
            max_bytes: AtomicUsize::new(usize::MAX),
            waiting_bytes: AtomicUsize::new(0),
            lacks_update: AtomicBool::new(false),
            too_large: AtomicU64::new(0),
        }
    }
}

impl Replica {
    /// Locks the copy and returns it.
    pub fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the receiver of updates from other instances; only the first call gets it.
    pub fn take_updates(&self) -> UnboundedReceiver<Update> {
        let mut updates_rx = self.updates_rx.lock().unwrap_or_else(PoisonError::into_inner);
        updates_rx.take().unwrap_or_else(|| unbounded_channel().1)
    }

    /// Passes an update from another instance to the task that keeps the copy up to date. If too
    /// many wait for it, the update is dropped, and the copy is read from the service again.
    pub fn push_update(&self, update: Update) {
        let bytes = update.held_bytes();
        let waiting = self.waiting_bytes.fetch_add(bytes, Ordering::Relaxed);
        if waiting.saturating_add(bytes) > self.max_bytes() {
            self.waiting_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.lacks_update.store(true, Ordering::Relaxed);
            return;
        }
        // Without that task nothing reads the copy.
        let _ = self.updates_tx.send(update);
    }

    /// Notes that an update no longer waits.
    pub fn update_taken(&self, update: &Update) {
        self.waiting_bytes.fetch_sub(update.held_bytes(), Ordering::Relaxed);
    }

    /// Returns whether an update was dropped since the last call.
    pub fn take_lacks_update(&self) -> bool {
        self.lacks_update.swap(false, Ordering::Relaxed)
    }

    /// Returns the largest memory, in bytes, of the copy, and of the updates that wait for it.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes.load(Ordering::Relaxed)
    }

    /// Bounds the memory, in bytes, of the copy, and of the updates that wait for it.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// Counts that keys were not taken because they need too much memory.
    pub fn count_too_large(&self) {
        self.too_large.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often keys were not taken because they need too much memory.
    pub fn too_large(&self) -> u64 {
        self.too_large.load(Ordering::Relaxed)
    }

    /// Notes that the gate has sent all its changes and that its own copy was complete at the time
    /// `at`.
    pub fn confirm_by_gate(&self, at: Duration) {
        self.gate_confirmed_at.send_if_modified(|latest| {
            let is_later = at > *latest;
            *latest = at.max(*latest);
            is_later
        });
    }

    /// Returns a receiver of the times confirmed by the gate.
    pub fn gate_confirmations(&self) -> watch::Receiver<Duration> {
        self.gate_confirmed_at.subscribe()
    }

    /// Returns the time until which the gate's confirmation replaces watching the service; `None`
    /// if it is too old.
    pub fn gate_confirmed_until(&self, now: Duration) -> Option<Duration> {
        let until = *self.gate_confirmed_at.borrow() + MAX_CONFIRMED_AGE;
        (until > now).then_some(until)
    }

    /// Notes that the copy was complete at the time `at`.
    pub fn confirm(&self, at: Duration) {
        let mut confirmed = self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed = at.max(*confirmed);
    }

    /// Notes that all changes are applied that the service had when a call was sent at `sent_at`.
    pub fn confirm_complete(&self, sent_at: Duration) {
        self.complete_at.send_if_modified(|latest| {
            let is_later = sent_at > *latest;
            *latest = sent_at.max(*latest);
            is_later
        });
    }

    /// Returns a receiver of the latest time up to which the copy has all changes.
    pub fn confirmations(&self) -> watch::Receiver<Duration> {
        self.complete_at.subscribe()
    }

    /// Has the copy confirmed by a call to the service that is sent from now on.
    pub fn request_confirmation(&self) {
        self.confirmation_requested.notify_one();
    }

    /// Waits until a confirmation is requested.
    pub async fn confirmation_requested(&self) {
        self.confirmation_requested.notified().await;
    }

    /// Returns the time since the copy was last known to be complete; `None` before the first.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let confirmed = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        (!confirmed.is_zero()).then(|| now.saturating_sub(confirmed))
    }

    /// Sets whether the copy was read from the service, so that changes can be applied to it.
    pub fn set_loaded(&self, is_loaded: bool) {
        self.is_loaded.store(is_loaded, Ordering::Relaxed);
    }

    /// Returns the revision of the copy; `None` before it was read from the service.
    pub fn revision(&self) -> Option<Revision> {
        self.is_loaded.load(Ordering::Relaxed).then(|| self.mirror().revision())
    }
}

/// Copies of all topics.
#[derive(Debug, Default)]
pub struct Replicas {
    replicas: [Replica; 3],
    /// Whether other instances follow these copies.
    is_followed: AtomicBool,
    /// Number of changes of any copy so far.
    changes: watch::Sender<u64>,
    outage: Outage,
}

impl Replicas {
    /// Returns the copy of a topic.
    pub fn get(&self, topic: Topic) -> &Replica {
        &self.replicas[topic as usize]
    }

    /// Returns which topics check whether the service is available again.
    pub fn outage(&self) -> &Outage {
        &self.outage
    }

    /// Returns the revision of each copy; `None` before it was read from the service.
    pub fn revisions(&self) -> ByTopic<Option<Revision>> {
        ByTopic(Topic::ALL.map(|topic| self.get(topic).revision()))
    }

    /// Sets whether other instances follow these copies.
    pub fn set_followed(&self, is_followed: bool) {
        self.is_followed.store(is_followed, Ordering::Relaxed);
    }

    /// Returns whether other instances follow these copies.
    pub fn is_followed(&self) -> bool {
        self.is_followed.load(Ordering::Relaxed)
    }

    /// Notifies the receivers that a copy changed.
    pub fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each change of a copy.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the changes of a topic after a revision; `None` if they are no longer all known.
    pub fn update_after(&self, now: Duration, topic: Topic, after: Revision) -> Option<Update> {
        let mirror = self.get(topic).mirror();
        let Batch { changes, revision } = mirror.changes_after(after)?;
        Some(Update { topic, after, revision, grace: mirror.grace_left(now), changes })
    }
}
