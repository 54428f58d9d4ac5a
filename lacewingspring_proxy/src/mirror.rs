//! Copy of the keys below a prefix, and what is still believed of keys that lapsed in an outage.
//!
//! Keys that hang on leases may lapse while the service is away although their owners live, and
//! come back soon after. A key that is found gone right after an outage is kept for a while.
//!
//! Other instances may follow a copy in place of the service. So it remembers deletions for a
//! while, and tells what changed after any revision that it still covers.

use std::{collections::BTreeMap, time::Duration};

use crate::store::{Batch, Change, Item};

/// Deletions that are remembered.
const MOST_DELETIONS: usize = 1_024;

/// Time after an outage within which lapsed keys may come back.
pub const LEASE_EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Entry {
    item: Item,
    /// Time at which a lapsed key is given up.
    gone_at: Option<Duration>,
}

/// Copy of the keys below a prefix.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    /// Keys that were deleted, by the revision of that.
    deletions: BTreeMap<u64, String>,
    /// Revision up to which deletions are not remembered.
    forgotten: u64,
    is_away: bool,
    grace_until: Duration,
}

impl Mirror {
    /// Returns the revision up to which the copy is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the keys that are believed to be there.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.entries.values().map(|entry| &entry.item)
    }

    /// Notes that the service can't be reached; returns whether that is new.
    pub fn lost(&mut self) -> bool {
        !std::mem::replace(&mut self.is_away, true)
    }

    /// Returns whether the service can't be reached.
    pub fn is_away(&self) -> bool {
        self.is_away
    }

    /// Notes an answer of the service; returns whether it was away.
    pub fn reached(&mut self, now: Duration) -> bool {
        let was_away = std::mem::replace(&mut self.is_away, false);
        if was_away {
            self.grace_until = now + LEASE_EXPIRY_GRACE;
        }
        was_away
    }

    /// Replaces the copy by what was read; `at` is the revision at which reading began.
    pub fn load(&mut self, now: Duration, items: Vec<Item>, revision: u64) {
        let mut gone: Vec<String> = self.entries.keys().cloned().collect();
        gone.retain(|key| !items.iter().any(|item| item.key == *key));
        for key in gone {
            self.delete(now, &key);
        }
        for item in items {
            self.put(item);
        }
        self.revision = revision;
        self.deletions.clear();
        self.forgotten = revision;
    }

    /// Applies changes; returns whether there were any that were not known.
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

    fn remember_deletion(&mut self, revision: u64, key: String) {
        self.deletions.insert(revision, key);
        while self.deletions.len() > MOST_DELETIONS {
            if let Some((revision, _)) = self.deletions.pop_first() {
                self.forgotten = revision;
            }
        }
    }

    /// Returns what changed after a revision, in order; none when that is no longer known.
    pub fn changes_after(&self, revision: u64) -> Option<Batch> {
        if revision < self.forgotten {
            return None;
        }
        let puts = self.entries.values().filter(|entry| entry.gone_at.is_none());
        let puts = puts.filter(|entry| entry.item.revision > revision);
        let puts = puts.map(|entry| Change::Put(entry.item.clone()));
        let deletions = self.deletions.range(revision + 1..);
        let deletions = deletions
            .map(|(revision, key)| Change::Deleted { key: key.clone(), revision: *revision });
        let mut changes: Vec<Change> = puts.chain(deletions).collect();
        changes.sort_by_key(Change::revision);
        Some(Batch { changes, revision: self.revision })
    }

    /// Returns for how long lapsed keys may still come back.
    pub fn grace_left(&self, now: Duration) -> Duration {
        self.grace_until.saturating_sub(now)
    }

    /// Keeps lapsed keys for a time, as the one does whose copy this follows.
    pub fn extend_grace(&mut self, now: Duration, left: Duration) {
        if !left.is_zero() {
            self.grace_until = self.grace_until.max(now + left);
        }
    }

    fn put(&mut self, item: Item) {
        let is_older =
            self.entries.get(&item.key).is_some_and(|known| known.item.revision > item.revision);
        if !is_older {
            self.entries.insert(item.key.clone(), Entry { item, gone_at: None });
        }
    }

    fn delete(&mut self, now: Duration, key: &str) {
        if now >= self.grace_until {
            self.entries.remove(key);
        } else if let Some(entry) = self.entries.get_mut(key) {
            entry.gone_at = entry.gone_at.or(Some(self.grace_until));
        }
    }

    /// Gives up lapsed keys that did not come back; returns whether there were any.
    pub fn sweep(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.gone_at.is_none_or(|at| at > now));
        self.entries.len() != before
    }

    /// Returns when the next lapsed key is given up.
    pub fn next_sweep(&self) -> Option<Duration> {
        self.entries.values().filter_map(|entry| entry.gone_at).min()
    }
}
