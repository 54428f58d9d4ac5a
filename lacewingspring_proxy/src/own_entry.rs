//! What an instance knows of its own entry in the key-value service.
//!
//! A write without an answer may be executed seconds later, so each write of the entry names the
//! revision that it replaces: once a write is acknowledged, those before it fail. As an entry may
//! vanish or be replaced all the same, it is compared with the instance's copy of the fleet.

use log::info;

use crate::{
    members::Member,
    metrics::SharedMetrics,
    mirror::Mirror,
    store::{Item, Revision},
};

/// How an entry differs from the last one that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Difference {
    /// It does not exist.
    Missing,
    /// Another write has replaced it.
    Replaced,
}

impl Difference {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Replaced => "replaced",
        }
    }
}

/// The entry as it was written or seen last.
#[derive(Debug, Default)]
pub struct OwnEntry {
    /// Latest revision of the entry; `None` if it was neither written nor seen.
    latest: Option<Revision>,
    /// Whether the entry was deleted since.
    is_deleted: bool,
    /// Revision of the last write that was acknowledged; `None` if none was since the entry was
    /// last found deleted or replaced.
    written: Option<Revision>,
}

impl OwnEntry {
    /// Returns whether the entry was neither written nor seen.
    pub fn is_unknown(&self) -> bool {
        self.latest.is_none()
    }

    /// Returns the revision of the last write that was acknowledged.
    pub fn written(&self) -> Option<Revision> {
        self.written
    }

    /// Returns the revision that the next write replaces, given the copy of the fleet; `None` if
    /// the entry does not exist.
    pub fn expected(&self, copy: &Mirror, key: &str) -> Option<Revision> {
        let copied = copy.get(key).map(|item| item.revision);
        if copied > self.latest {
            return copied;
        }
        self.latest.filter(|_| !self.is_deleted)
    }

    /// Records that a write was acknowledged.
    pub fn set_written(&mut self, revision: Revision) {
        *self = Self { latest: Some(revision), is_deleted: false, written: Some(revision) };
    }

    /// Records that a write was rejected because the entry is another one, or does not exist.
    pub fn set_present(&mut self, present: Option<Revision>) {
        self.latest = present.or(self.latest);
        self.is_deleted = present.is_none();
        self.written = None;
    }

    /// Records that the entry was deleted, as its lease has ended.
    pub fn set_deleted(&mut self) {
        self.is_deleted = true;
        self.written = None;
    }

    /// Compares the entry with the copy of the fleet; `None` if it is as it was written, or if the
    /// copy is older than the write.
    pub fn difference(&self, copy: &Mirror, key: &str) -> Option<Difference> {
        let written = self.written.filter(|written| copy.revision() >= *written)?;
        match copy.get(key) {
            None => Some(Difference::Missing),
            Some(item) if item.revision != written => Some(Difference::Replaced),
            Some(_) => None,
        }
    }
}

/// Shows in the log and the metrics what the copy of the fleet holds of the entry.
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
    pub fn observe(&mut self, copy: &Mirror) {
        let entry = copy.get(&self.member.key());
        let revision = entry.map(|item| item.revision);
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        let is_of_this_process = entry.is_some_and(|item| self.is_own(item));
        self.metrics.set_registered(is_of_this_process);
        info!(
            entry_revision:% = revision.map_or("none".into(), |revision| revision.to_string()),
            is_of_this_process, copy_revision:% = copy.revision();
            "The registration of this instance has changed in its copy of the fleet."
        );
    }

    /// Returns whether an entry is that of this process.
    fn is_own(&self, item: &Item) -> bool {
        let member: Result<Member, _> = serde_json::from_slice(&item.value);
        member.is_ok_and(|member| member.incarnation == self.member.incarnation)
    }
}
