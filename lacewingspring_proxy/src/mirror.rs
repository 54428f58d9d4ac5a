//! Copy of the keys below a prefix that tolerates leases that expire in an outage.
//!
//! While the key-value service is unreachable, leases expire although their owners are alive, and
//! the owners write their keys again soon after. So a key that is deleted shortly after an outage
//! is kept for a grace period.
//!
//! Other instances may follow a copy instead of the service. So it remembers recent deletions and
//! returns the changes after any revision that it still covers.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

use crate::store::{Batch, Change, Item, Revision};

/// Maximum number of deletions that are remembered.
const MAX_DELETIONS: usize = 1_024;

/// Time after an outage for which deleted keys are kept, as their owners may write them again.
pub const LEASE_EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Entry {
    item: Item,
    /// Time at which the key is removed; `None` unless it was deleted in the grace period.
    remove_at: Option<Duration>,
}

/// Copy of the keys below a prefix, complete up to a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    /// Deleted keys by the revision of their deletion.
    deletions: BTreeMap<Revision, String>,
    /// Revision up to which deletions are no longer remembered.
    compacted_revision: Revision,
    is_unreachable: bool,
    grace_until: Duration,
}

impl Mirror {
    /// Returns the revision up to which the copy is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the existing keys and those deleted in a grace period that has not ended.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.entries.values().map(|entry| &entry.item)
    }

    /// Returns a key that exists, without those that are kept although they were deleted.
    pub fn get(&self, key: &str) -> Option<&Item> {
        let entry = self.entries.get(key).filter(|entry| entry.remove_at.is_none());
        entry.map(|entry| &entry.item)
    }

    /// Returns the memory that the copy takes, in bytes, with the deletions that are remembered.
    pub fn held_bytes(&self) -> usize {
        let items: usize = self.items().map(Item::held_bytes).sum();
        items + self.deletions.values().map(|key| Change::deletion_bytes(key)).sum::<usize>()
    }

    /// Returns the memory that the copy would take after changes, in bytes.
    pub fn held_bytes_after(&self, now: Duration, batch: &Batch) -> usize {
        // What is kept of each key that changes.
        let mut kept: HashMap<&str, usize> = HashMap::new();
        let mut deletions = 0;
        let known = |key: &str| self.entries.get(key).map_or(0, |entry| entry.item.held_bytes());
        for change in &batch.changes {
            match change {
                change if change.revision() <= self.revision => {}
                Change::Put(item) => {
                    kept.insert(&item.key, item.held_bytes());
                }
                Change::Deleted { key, .. } => {
                    deletions += change.held_bytes();
                    let is_kept = now < self.grace_until;
                    let before = kept.get(key.as_str()).copied().unwrap_or_else(|| known(key));
                    kept.insert(key, if is_kept { before } else { 0 });
                }
            }
        }
        let before: usize = kept.keys().map(|key| known(key)).sum();
        self.held_bytes().saturating_sub(before) + kept.values().sum::<usize>() + deletions
    }

    /// Marks the service as unreachable; returns whether it was reachable before.
    pub fn mark_unreachable(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unreachable, true)
    }

    /// Returns whether the service is unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Marks the service as reachable, which starts the grace period if it was unreachable; returns
    /// whether it was.
    pub fn mark_reachable(&mut self, now: Duration) -> bool {
        let was_unreachable = std::mem::replace(&mut self.is_unreachable, false);
        if was_unreachable {
            self.grace_until = now + LEASE_EXPIRY_GRACE;
        }
        was_unreachable
    }

    /// Replaces the copy with the items read; `revision` is that of the service when the read
    /// began.
    ///
    /// In a later era, the grace period starts: what the service has lost is written again soon.
    pub fn load(&mut self, now: Duration, items: Vec<Item>, revision: Revision) {
        let is_restored = revision.era > self.revision.era && self.revision != Revision::default();
        if is_restored {
            self.grace_until = self.grace_until.max(now + LEASE_EXPIRY_GRACE);
        }
        let mut missing: Vec<String> = self.entries.keys().cloned().collect();
        missing.retain(|key| !items.iter().any(|item| item.key == *key));
        for key in missing {
            self.delete(now, &key);
        }
        for item in items {
            self.put(item);
        }
        self.revision = revision;
        self.deletions.clear();
        self.compacted_revision = revision;
    }

    /// Applies changes; returns whether any of them is newer than the copy.
    pub fn apply(&mut self, now: Duration, batch: Batch) -> bool {
        let mut is_changed = false;
        for change in batch.changes {
            if change.revision() <= self.revision {
                continue;
            }
            is_changed = true;
            match change {
                Change::Put(item) => self.put(item),
                Change::Deleted { key, revision } => {
                    let is_newer =
                        self.entries.get(&key).is_some_and(|entry| entry.item.revision < revision);
                    if is_newer {
                        self.delete(now, &key);
                    }
                    self.remember_deletion(revision, key);
                }
            }
        }
        self.revision = self.revision.max(batch.revision);
        is_changed
    }

    fn remember_deletion(&mut self, revision: Revision, key: String) {
        self.deletions.insert(revision, key);
        while self.deletions.len() > MAX_DELETIONS {
            if let Some((revision, _)) = self.deletions.pop_first() {
                self.compacted_revision = revision;
            }
        }
    }

    /// Returns the changes after a revision, in order; `None` if deletions since then are no longer
    /// remembered.
    pub fn changes_after(&self, revision: Revision) -> Option<Batch> {
        if revision < self.compacted_revision {
            return None;
        }
        let puts = self.entries.values().filter(|entry| entry.remove_at.is_none());
        let puts = puts.filter(|entry| entry.item.revision > revision);
        let puts = puts.map(|entry| Change::Put(entry.item.clone()));
        let deletions = self.deletions.range((Excluded(revision), Unbounded));
        let deletions = deletions
            .map(|(revision, key)| Change::Deleted { key: key.clone(), revision: *revision });
        let mut changes: Vec<Change> = puts.chain(deletions).collect();
        changes.sort_by_key(Change::revision);
        Some(Batch { changes, revision: self.revision })
    }

    /// Returns the rest of the grace period.
    pub fn grace_left(&self, now: Duration) -> Duration {
        self.grace_until.saturating_sub(now)
    }

    /// Extends the grace period to the rest of that of the copy which this one follows.
    pub fn extend_grace(&mut self, now: Duration, left: Duration) {
        if !left.is_zero() {
            self.grace_until = self.grace_until.max(now + left);
        }
    }

    fn put(&mut self, item: Item) {
        let is_older =
            self.entries.get(&item.key).is_some_and(|known| known.item.revision > item.revision);
        if !is_older {
            self.entries.insert(item.key.clone(), Entry { item, remove_at: None });
        }
    }

    fn delete(&mut self, now: Duration, key: &str) {
        if now >= self.grace_until {
            self.entries.remove(key);
        } else if let Some(entry) = self.entries.get_mut(key) {
            entry.remove_at = entry.remove_at.or(Some(self.grace_until));
        }
    }

    /// Removes deleted keys whose grace period has ended; returns whether there were any.
    pub fn remove_expired(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.remove_at.is_none_or(|at| at > now));
        self.entries.len() != before
    }

    /// Removes the keys that are kept in a grace period if the copy takes more memory than
    /// `max_bytes`.
    pub fn bound(&mut self, max_bytes: usize) {
        if max_bytes < usize::MAX && self.held_bytes() > max_bytes {
            self.entries.retain(|_, entry| entry.remove_at.is_none());
        }
    }

    /// Returns the earliest time at which a deleted key is removed.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.entries.values().filter_map(|entry| entry.remove_at).min()
    }
}
