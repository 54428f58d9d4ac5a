//! Fleet-wide limit on concurrent weight loads: a load needs one of a fixed number of slots.
//!
//! A slot is a key in the key-value service. The key has no lease: an engine goes on loading when
//! its controller dies, so the slot stays until the pool's next controller sees that the load has
//! ended.

use std::{collections::BTreeSet, time::Duration};

use lacewingspring_core::names::PoolName;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{store, target};
use crate::{
    clock,
    daemon::Node,
    platform::key_value::{Compare, Created, KeyValueEntry, KeyValueError, Put, Revision},
    settings::Mechanism,
};

/// Folder of the slot keys, below the configured prefix.
const SLOTS: &str = "weight_loads/";

/// First wait before another attempt to take a slot.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Longest wait before another attempt to take a slot.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Stored value of a slot: its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SlotRecord {
    pool: PoolName,
    /// Generation of the declared state when the slot was taken.
    generation: u64,
}

/// A stored slot; the revision guards its removal.
#[derive(Clone, Debug)]
struct Slot {
    key: String,
    revision: Revision,
}

/// Slots that a pool owns.
#[derive(Debug)]
pub(super) struct LoadSlots {
    pool: PoolName,
    held: Vec<Slot>,
    wait: Duration,
    next_attempt: Duration,
    /// Whether a call failed since the last read, so that `held` may differ from the stored slots.
    must_reread: bool,
}

impl LoadSlots {
    /// Reads the slots that an earlier controller of this pool took.
    pub(super) async fn adopt(node: &Node, pool: &PoolName) -> Result<Self, KeyValueError> {
        let (held, wait, next_attempt) = (Vec::new(), MIN_BACKOFF, Duration::ZERO);
        let mut slots = Self { pool: pool.clone(), held, wait, next_attempt, must_reread: false };
        slots.read(node).await?;
        Ok(slots)
    }

    /// Returns how many engines of the pool may load at once: one for each slot held, or any number
    /// if a test has switched the slots off.
    pub(super) fn max_loads(&self, node: &Node) -> usize {
        if node.settings.test.is_on(Mechanism::LoadSlots) { self.held.len() } else { usize::MAX }
    }

    /// Releases the slots beyond `wanted`, or tries to take one more if the backoff is over. Once
    /// the backoff after a failed call is over, only rereads the slots.
    pub(super) async fn adjust(&mut self, node: &Node, wanted: usize) {
        let result = if self.must_reread && clock::now() >= self.next_attempt {
            self.read(node).await.map(|_| self.must_reread = false)
        } else if self.held.len() > wanted {
            self.release_to(node, wanted).await
        } else if self.held.len() < wanted && clock::now() >= self.next_attempt {
            self.take(node).await
        } else {
            Ok(())
        };
        if let Err(e) = result {
            log::warn!(
                pool:% = self.pool, reason:% = e;
                "Pool control: could not change the load slots; reads them again."
            );
            self.must_reread = true;
            self.back_off();
        }
    }

    async fn release_to(&mut self, node: &Node, wanted: usize) -> Result<(), KeyValueError> {
        while self.held.len() > wanted
            && let Some(slot) = self.held.last()
        {
            delete(node, slot).await?;
            self.held.pop();
        }
        Ok(())
    }

    async fn take(&mut self, node: &Node) -> Result<(), KeyValueError> {
        let before = self.held.len();
        let taken = self.read(node).await?;
        // An earlier attempt took a slot whose reply was lost.
        if self.held.len() > before {
            return Ok(());
        }
        let all = 0..node.settings.pool_control.loads_at_once;
        let free = all.map(|i| self.key(node, i)).find(|key| !taken.contains(key));
        let Some(key) = free else {
            self.back_off();
            return Ok(());
        };
        let generation = node.declared.generation();
        let record = SlotRecord { pool: self.pool.clone(), generation };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        match store(node).create_entry(Put::new(key.clone(), value)).await? {
            Created::Created(revision) => {
                self.held.push(Slot { key, revision });
                self.wait = MIN_BACKOFF;
            }
            Created::Exists(_) => self.back_off(),
        }
        Ok(())
    }

    /// Reads the slots of this pool into `held`; deletes slots that can't be parsed or whose pool is
    /// no longer managed. Returns the keys of all remaining slots.
    async fn read(&mut self, node: &Node) -> Result<BTreeSet<String>, KeyValueError> {
        let folder = format!("{}{SLOTS}", node.settings.key_value.prefix);
        let mut taken = BTreeSet::new();
        let entries = store(node).range(&folder).await?.entries;
        self.held.clear();
        for entry in entries {
            let slot = Slot { key: entry.key.clone(), revision: entry.mod_revision };
            let record = record(&entry);
            let is_own = record.as_ref().is_some_and(|record| record.pool == self.pool);
            if is_own {
                self.held.push(slot);
            } else if record.is_none_or(|record| is_abandoned(node, &record)) {
                delete(node, &slot).await?;
                continue;
            }
            taken.insert(entry.key);
        }
        Ok(taken)
    }

    fn back_off(&mut self) {
        let fraction = rand::rng().random_range(0.5..=1.0);
        self.next_attempt = clock::now() + self.wait.mul_f64(fraction);
        self.wait = (self.wait * 2).min(MAX_BACKOFF);
    }

    fn key(&self, node: &Node, index: u32) -> String {
        format!("{}{SLOTS}{index}", node.settings.key_value.prefix)
    }
}

fn record(entry: &KeyValueEntry) -> Option<SlotRecord> {
    serde_json::from_slice(&entry.value).ok()
}

/// Returns whether the pool of a slot is no longer managed, according to a declared state that is
/// at least as new as the slot.
fn is_abandoned(node: &Node, record: &SlotRecord) -> bool {
    node.declared.generation() >= record.generation && target(node, &record.pool).is_none()
}

/// Deletes a slot unless its key was written since it was read.
async fn delete(node: &Node, slot: &Slot) -> Result<(), KeyValueError> {
    let compare = Compare::ModRevision(slot.key.clone(), slot.revision);
    let deletes = vec![slot.key.clone()];
    store(node).compare_and_swap(vec![compare], Vec::new(), deletes).await.map(|_| ())
}
