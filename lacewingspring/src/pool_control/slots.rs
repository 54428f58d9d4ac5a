//! Shared budget of weight loads: a load needs one of a fixed number of slots over the fleet.
//!
//! A slot is a key in the key-value service. It hangs on no lease: an engine loads on when its
//! controller dies, so the slot stays until the pool's next controller sees that the load is over.

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

/// Part of the keys of slots that follows the prefix.
const SLOTS: &str = "weight_loads/";

/// First wait for a slot when all are taken.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for a slot.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Who has a slot.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SlotRecord {
    pool: PoolName,
    /// Generation of the declared state in which the pool was managed.
    generation: u64,
}

/// A slot of this pool.
#[derive(Clone, Debug)]
struct Slot {
    key: String,
    revision: Revision,
}

/// Slots that a pool has.
#[derive(Debug)]
pub(super) struct LoadSlots {
    pool: PoolName,
    held: Vec<Slot>,
    wait: Duration,
    next: Duration,
    /// Whether a call failed since the last read, so that a slot may be there or gone.
    unsure: bool,
}

impl LoadSlots {
    /// Reads the slots that an earlier tenure left to this pool.
    pub(super) async fn adopt(node: &Node, pool: &PoolName) -> Result<Self, KeyValueError> {
        let (held, wait, next) = (Vec::new(), MIN_WAIT, Duration::ZERO);
        let mut slots = Self { pool: pool.clone(), held, wait, next, unsure: false };
        slots.read(node).await?;
        Ok(slots)
    }

    /// Returns how many engines of the pool may load.
    pub(super) fn len(&self, node: &Node) -> usize {
        if node.settings.test.is_on(Mechanism::LoadSlots) { self.held.len() } else { usize::MAX }
    }

    /// Gives back what is not wanted, or tries to take one more slot when it is time.
    pub(super) async fn settle(&mut self, node: &Node, wanted: usize) {
        let result = if self.unsure && clock::now() >= self.next {
            self.read(node).await.map(|_| self.unsure = false)
        } else if self.held.len() > wanted {
            self.give_back(node, wanted).await
        } else if self.held.len() < wanted && clock::now() >= self.next {
            self.take(node).await
        } else {
            Ok(())
        };
        if let Err(e) = result {
            log::warn!(pool:% = self.pool, reason:% = e; "Pool control: no change of load slots.");
            self.unsure = true;
            self.back_off();
        }
    }

    async fn give_back(&mut self, node: &Node, wanted: usize) -> Result<(), KeyValueError> {
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
        // A slot whose reply was lost shows up in the read.
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
                self.wait = MIN_WAIT;
            }
            Created::Exists(_) => self.back_off(),
        }
        Ok(())
    }

    /// Reads all slots, keeps those of this pool, and frees those of pools that are no more.
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
            } else if record.is_none_or(|record| is_left_over(node, &record)) {
                delete(node, &slot).await?;
                continue;
            }
            taken.insert(entry.key);
        }
        Ok(taken)
    }

    fn back_off(&mut self) {
        let part = rand::rng().random_range(0.5..=1.0);
        self.next = clock::now() + self.wait.mul_f64(part);
        self.wait = (self.wait * 2).min(MAX_WAIT);
    }

    fn key(&self, node: &Node, index: u32) -> String {
        format!("{}{SLOTS}{index}", node.settings.key_value.prefix)
    }
}

fn record(entry: &KeyValueEntry) -> Option<SlotRecord> {
    serde_json::from_slice(&entry.value).ok()
}

/// Returns whether the pool of a slot is no longer managed, by a state that is not older.
fn is_left_over(node: &Node, record: &SlotRecord) -> bool {
    node.declared.generation() >= record.generation && target(node, &record.pool).is_none()
}

/// Removes a slot unless another took it since.
async fn delete(node: &Node, slot: &Slot) -> Result<(), KeyValueError> {
    let compare = Compare::ModRevision(slot.key.clone(), slot.revision);
    let deletes = vec![slot.key.clone()];
    store(node).compare_and_swap(vec![compare], Vec::new(), deletes).await.map(|_| ())
}
