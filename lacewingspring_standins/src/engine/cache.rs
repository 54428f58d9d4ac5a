//! Prefix cache: blocks by the hash of their chain, the least recently used going first.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde_json::{Value, json};

use super::answer::BLOCK_WORDS;
use crate::time::now_ms;

/// Events kept for readers.
const EVENTS: usize = 20_000;

/// Event of the cache for `GET /kv_events`.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    /// Sequence number from 0.
    pub number: u64,
    /// Time of the event, in milliseconds since process start.
    pub at_ms: u64,
    /// What happened.
    pub data: Value,
}

/// Prefix cache.
#[derive(Default)]
pub struct Cache {
    limit_blocks: usize,
    /// Last use of each block.
    blocks: HashMap<String, u64>,
    by_use: BTreeMap<u64, String>,
    uses: u64,
    events: VecDeque<CacheEvent>,
    next_event: u64,
}

impl Cache {
    /// Makes an empty cache for a number of tokens.
    pub fn new(limit_tokens: u64) -> Self {
        Self { limit_blocks: limit_tokens as usize / BLOCK_WORDS, ..Self::default() }
    }

    /// Forgets all blocks and events, as a restart does.
    pub fn restart(&mut self) {
        *self = Self { limit_blocks: self.limit_blocks, ..Self::default() };
    }

    /// Removes all blocks, as a load of other weights does.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
        self.record(json!({ "type": "AllBlocksCleared" }));
    }

    /// Counts the leading tokens that are cached, and marks their blocks as used.
    pub fn cached_tokens(&mut self, hashes: &[String]) -> u64 {
        let cached = hashes.iter().take_while(|h| self.blocks.contains_key(*h)).count();
        self.touch(&hashes[..cached]);
        (cached * BLOCK_WORDS) as u64
    }

    /// Stores the blocks of a prompt.
    pub fn store(&mut self, hashes: &[String]) {
        let hashes = &hashes[..hashes.len().min(self.limit_blocks)];
        let known = hashes.iter().take_while(|h| self.blocks.contains_key(*h)).count();
        self.touch(hashes);
        if known < hashes.len() {
            let parent = known.checked_sub(1).map(|i| &hashes[i]);
            self.record(json!({
                "type": "BlockStored",
                "block_hashes": &hashes[known..],
                "parent_block_hash": parent,
                "block_size": BLOCK_WORDS,
            }));
        }
        self.shrink();
    }

    /// Events from a number on that are older than a time in milliseconds.
    pub fn events(&self, from: u64, before_ms: u64) -> Vec<CacheEvent> {
        let start = self.events.partition_point(|e| e.number < from);
        let due = self.events.iter().skip(start).take_while(|e| e.at_ms <= before_ms);
        due.cloned().collect()
    }

    /// Marks blocks as used, the last of the chain as the least recent.
    fn touch(&mut self, hashes: &[String]) {
        for hash in hashes.iter().rev() {
            self.uses += 1;
            if let Some(before) = self.blocks.insert(hash.clone(), self.uses) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.uses, hash.clone());
        }
    }

    fn shrink(&mut self) {
        let mut removed = Vec::new();
        while self.blocks.len() > self.limit_blocks
            && let Some((_, hash)) = self.by_use.pop_first()
        {
            self.blocks.remove(&hash);
            removed.push(hash);
        }
        if !removed.is_empty() {
            self.record(json!({ "type": "BlockRemoved", "block_hashes": removed }));
        }
    }

    fn record(&mut self, data: Value) {
        self.events.push_back(CacheEvent { number: self.next_event, at_ms: now_ms(), data });
        self.next_event += 1;
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
