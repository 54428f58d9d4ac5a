//! Copies of what the key-value service holds, and how fresh they are.
//!
//! In a large fleet only the gate follows the service. The others are told of changes over their
//! links to it, together with a proof how old its copy is; without a fresh proof each follows the
//! service itself. So calls to the service don't grow with the fleet, and an instance whose gate is
//! cut off from the service is not.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use crate::{
    mirror::Mirror,
    store::{Batch, Change},
};

/// Age of a proof up to which it stands for following the service.
pub const FRESH: Duration = Duration::from_millis(1_500);

/// Bytes of a change on a link beside its key and value, to a small error.
const CHANGE_OVERHEAD: usize = 40;

/// What is followed.
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
    /// All topics, in the order of their values.
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

/// One value for each topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByTopic<T>([T; 3]);

impl<T> ByTopic<T> {
    /// Returns the value of a topic.
    pub fn get(&self, topic: Topic) -> &T {
        &self.0[topic as usize]
    }

    /// Returns the value of a topic.
    pub fn get_mut(&mut self, topic: Topic) -> &mut T {
        &mut self.0[topic as usize]
    }
}

/// Changes of a topic, as one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The topic.
    pub topic: Topic,
    /// Revision after which the changes begin.
    pub from: u64,
    /// Revision up to which they go.
    pub revision: u64,
    /// For how long lapsed keys may still come back.
    pub grace: Duration,
    /// The changes in order.
    pub changes: Vec<Change>,
}

impl Update {
    /// Returns how long it is on a link, in bytes, to a small error.
    pub fn len(&self) -> usize {
        let each = self.changes.iter().map(|change| match change {
            Change::Put(item) => item.key.len() + item.value.len(),
            Change::Deleted { key, .. } => key.len(),
        });
        each.map(|len| len + CHANGE_OVERHEAD).sum()
    }

    /// Returns whether it tells of no change.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the changes.
    pub fn into_batch(self) -> Batch {
        Batch { changes: self.changes, revision: self.revision }
    }
}

/// Copy of one topic, shared by the task that keeps it and those that tell others of it.
#[derive(Debug)]
pub struct Replica {
    mirror: Mutex<Mirror>,
    /// Latest time at which the copy is known to have been complete; zero before that.
    confirmed_at: Mutex<Duration>,
    /// Latest time at which another instance proved that it had told all.
    proved_at: watch::Sender<Duration>,
    told_tx: UnboundedSender<Update>,
    told: Mutex<Option<UnboundedReceiver<Update>>>,
    is_loaded: AtomicBool,
}

impl Default for Replica {
    fn default() -> Self {
        let (told_tx, told) = unbounded_channel();
        Self {
            mirror: Mutex::default(),
            confirmed_at: Mutex::default(),
            proved_at: watch::Sender::new(Duration::ZERO),
            told_tx,
            told: Mutex::new(Some(told)),
            is_loaded: AtomicBool::new(false),
        }
    }
}

impl Replica {
    /// Returns the copy.
    pub fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the updates of other instances; the task that keeps the copy does so once.
    pub fn take_updates(&self) -> UnboundedReceiver<Update> {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.take().unwrap_or_else(|| unbounded_channel().1)
    }

    /// Hands an update of another instance to the task that keeps the copy.
    pub fn tell(&self, update: Update) {
        // Without that task nothing reads the copy.
        let _ = self.told_tx.send(update);
    }

    /// Notes that another instance had told all it knew, which was complete at a time.
    pub fn prove(&self, at: Duration) {
        self.proved_at.send_if_modified(|proved| {
            let is_later = at > *proved;
            *proved = at.max(*proved);
            is_later
        });
    }

    /// Returns a receiver of the times of proofs.
    pub fn proofs(&self) -> watch::Receiver<Duration> {
        self.proved_at.subscribe()
    }

    /// Returns the time until which the copy need not be followed at the service, if there is one.
    pub fn fresh_until(&self, now: Duration) -> Option<Duration> {
        let until = *self.proved_at.borrow() + FRESH;
        (until > now).then_some(until)
    }

    /// Notes that the copy was complete at a time.
    pub fn confirm(&self, at: Duration) {
        let mut confirmed = self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed = at.max(*confirmed);
    }

    /// Returns how long ago the copy was known to be complete; none before that.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let confirmed = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        (!confirmed.is_zero()).then(|| now.saturating_sub(confirmed))
    }

    /// Notes whether the copy was read from the service, so that changes can be added to it.
    pub fn set_loaded(&self, is_loaded: bool) {
        self.is_loaded.store(is_loaded, Ordering::Relaxed);
    }

    /// Returns the revision of the copy; none before it was read from the service.
    pub fn revision(&self) -> Option<u64> {
        self.is_loaded.load(Ordering::Relaxed).then(|| self.mirror().revision())
    }
}

/// Copies of all topics.
#[derive(Debug, Default)]
pub struct Replicas {
    replicas: [Replica; 3],
    /// Whether other instances follow these copies.
    is_followed: AtomicBool,
    changes: watch::Sender<u64>,
}

impl Replicas {
    /// Returns the copy of a topic.
    pub fn of(&self, topic: Topic) -> &Replica {
        &self.replicas[topic as usize]
    }

    /// Returns the revision of each copy; none before it was read from the service.
    pub fn revisions(&self) -> ByTopic<Option<u64>> {
        ByTopic(Topic::ALL.map(|topic| self.of(topic).revision()))
    }

    /// Notes whether other instances follow these copies.
    pub fn set_followed(&self, is_followed: bool) {
        self.is_followed.store(is_followed, Ordering::Relaxed);
    }

    /// Returns whether other instances follow these copies.
    pub fn is_followed(&self) -> bool {
        self.is_followed.load(Ordering::Relaxed)
    }

    /// Notes that a copy changed.
    pub fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that sees each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns what changed in a topic after a revision; none when that is no longer known.
    pub fn update_after(&self, now: Duration, topic: Topic, from: u64) -> Option<Update> {
        let mirror = self.of(topic).mirror();
        let Batch { changes, revision } = mirror.changes_after(from)?;
        Some(Update { topic, from, revision, grace: mirror.grace_left(now), changes })
    }
}
