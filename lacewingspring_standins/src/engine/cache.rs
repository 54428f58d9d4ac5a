//! Prefix cache: prompt blocks by chained hash, with eviction of the least recently used.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde_json::{Value, json};

use super::answer::BLOCK_WORDS;
use crate::time::now_ms;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 20_000;

/// Cache event, as streamed by `GET /kv_events`.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    /// Sequence number, starting at 0.
    pub sequence: u64,
    /// Time of the event, in milliseconds of the process clock.
    pub at_ms: u64,
    /// JSON body of the event.
    pub data: Value,
}

/// Prefix cache of one engine.
#[derive(Default)]
pub struct Cache {
    capacity_blocks: usize,
    /// Blocks with the value of `use_counter` at their last use.
    blocks: HashMap<String, u64>,
    by_last_use: BTreeMap<u64, String>,
    use_counter: u64,
    events: VecDeque<CacheEvent>,
    next_sequence: u64,
}

impl Cache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        Self { capacity_blocks: capacity_tokens as usize / BLOCK_WORDS, ..Self::default() }
    }

    /// Drops all blocks and events, as a restart of the engine does. Sequence numbers start at 0
    /// again.
    pub fn reset(&mut self) {
        *self = Self { capacity_blocks: self.capacity_blocks, ..Self::default() };
    }

    /// Removes all blocks, as a load of other weights does, and records an event.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_last_use.clear();
        self.record_event(json!({ "type": "AllBlocksCleared" }));
    }

    /// Returns the length of the cached prefix in tokens, and marks its blocks as used.
    pub fn cached_tokens(&mut self, hashes: &[String]) -> u64 {
        let cached = hashes.iter().take_while(|h| self.blocks.contains_key(*h)).count();
        self.mark_used(&hashes[..cached]);
        (cached * BLOCK_WORDS) as u64
    }

    /// Stores the blocks of a prompt, up to the capacity, and evicts others as needed.
    pub fn store(&mut self, hashes: &[String]) {
        let hashes = &hashes[..hashes.len().min(self.capacity_blocks)];
        let known = hashes.iter().take_while(|h| self.blocks.contains_key(*h)).count();
        self.mark_used(hashes);
        if known < hashes.len() {
            let parent = known.checked_sub(1).map(|i| &hashes[i]);
            self.record_event(json!({
                "type": "BlockStored",
                "block_hashes": &hashes[known..],
                "parent_block_hash": parent,
                "block_size": BLOCK_WORDS,
            }));
        }
        self.evict_excess();
    }

    /// Events from sequence number `from` on that occurred at `before_ms` or earlier.
    pub fn events(&self, from: u64, before_ms: u64) -> Vec<CacheEvent> {
        let start = self.events.partition_point(|e| e.sequence < from);
        let due = self.events.iter().skip(start).take_while(|e| e.at_ms <= before_ms);
        due.cloned().collect()
    }

    /// Marks blocks as used. The last block of the chain counts as the least recent, so that
    /// eviction shortens chains from their end.
    fn mark_used(&mut self, hashes: &[String]) {
        for hash in hashes.iter().rev() {
            self.use_counter += 1;
            if let Some(before) = self.blocks.insert(hash.clone(), self.use_counter) {
                self.by_last_use.remove(&before);
            }
            self.by_last_use.insert(self.use_counter, hash.clone());
        }
    }

    fn evict_excess(&mut self) {
        let mut removed = Vec::new();
        while self.blocks.len() > self.capacity_blocks
            && let Some((_, hash)) = self.by_last_use.pop_first()
        {
            self.blocks.remove(&hash);
            removed.push(hash);
        }
        if !removed.is_empty() {
            self.record_event(json!({ "type": "BlockRemoved", "block_hashes": removed }));
        }
    }

    fn record_event(&mut self, data: Value) {
        self.events.push_back(CacheEvent { sequence: self.next_sequence, at_ms: now_ms(), data });
        self.next_sequence += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
