//! Cached prefixes by upstream, derived from the gate's own grants and from cache events.

use std::collections::{HashMap, VecDeque};

use super::work::{CacheChange, CacheEvent, Prefix};

/// Fraction of a cached prefix that counts after cache events were missed.
const MISSED_EVENTS_WEIGHT: f64 = 0.5;

/// Maximum number of upstreams recorded for one prefix.
const MAX_HOLDERS: usize = 8;

/// Fraction of the KV memory that is assumed to hold prefixes of past requests.
const CACHED_KV_FRACTION: f64 = 0.5;

/// Tokens by which one recorded prefix is assumed to extend the one before it.
const TOKENS_PER_PREFIX: f64 = 512.0;

/// Upstream that has a prefix in its cache.
#[derive(Clone, Copy, Debug)]
struct Holder {
    upstream: usize,
    stamp: u64,
}

/// Use of a prefix on an upstream; stale once the holder has a newer stamp.
#[derive(Clone, Copy, Debug)]
struct PrefixUse {
    hash: u64,
    stamp: u64,
}

/// Prefixes of one upstream, least recently used first.
#[derive(Debug)]
struct History {
    uses: VecDeque<PrefixUse>,
    /// Number of recorded prefixes, without stale uses.
    live: usize,
    /// Maximum number of recorded prefixes.
    capacity: usize,
    /// Sequence number of the next cache event; `None` before the first one.
    next_sequence: Option<u64>,
    /// Whether a gap in the sequence numbers showed that events were missed.
    missed_events: bool,
}

/// Cached prefixes of all upstreams of a gate.
#[derive(Debug, Default)]
pub(super) struct Affinity {
    /// Upstreams by prefix hash.
    holders: HashMap<u64, Vec<Holder>>,
    histories: Vec<History>,
    /// Stamp of the last use of any prefix.
    stamp: u64,
    /// Cached tokens by upstream; holds the result of the last lookup.
    cached: Vec<u32>,
    /// Upstreams that the last lookup wrote to `cached`.
    touched: Vec<usize>,
}

impl Affinity {
    /// Creates an empty record for upstreams with these amounts of KV memory in tokens.
    pub fn new<I>(kv_tokens: I) -> Self
    where
        I: IntoIterator<Item = u64>,
    {
        let histories: Vec<_> = kv_tokens
            .into_iter()
            .map(|tokens| {
                let prefixes_that_fit = tokens as f64 * CACHED_KV_FRACTION / TOKENS_PER_PREFIX;
                History {
                    uses: VecDeque::new(),
                    live: 0,
                    capacity: (prefixes_that_fit as usize).max(1),
                    next_sequence: None,
                    missed_events: false,
                }
            })
            .collect();
        let cached = vec![0; histories.len()];
        Self { histories, cached, ..Self::default() }
    }

    /// Moves the records of the upstreams: `indices[old]` is the new index, `None` for a removed
    /// one.
    pub fn reindex(&mut self, mut earlier: Self, indices: &[Option<usize>]) {
        let moved = earlier.histories.drain(..).zip(indices);
        for (history, index) in moved {
            if let Some(index) = index {
                self.histories[*index] = history;
            }
        }
        self.stamp = earlier.stamp;
        self.holders = earlier.holders;
        self.holders.retain(|_, holders| {
            holders.retain_mut(|holder| match indices[holder.upstream] {
                Some(index) => {
                    holder.upstream = index;
                    true
                }
                None => false,
            });
            !holders.is_empty()
        });
    }

    /// Returns the number of cached prompt tokens for each upstream.
    pub fn lookup(&mut self, prefixes: &[Prefix]) -> &[u32] {
        for upstream in self.touched.drain(..) {
            self.cached[upstream] = 0;
        }
        for prefix in prefixes {
            for holder in self.holders.get(&prefix.hash).into_iter().flatten() {
                let share = if self.histories[holder.upstream].missed_events {
                    MISSED_EVENTS_WEIGHT
                } else {
                    1.0
                };
                let tokens = (f64::from(prefix.tokens) * share) as u32;
                let cached = &mut self.cached[holder.upstream];
                *cached = tokens.max(*cached);
                self.touched.push(holder.upstream);
            }
        }
        &self.cached
    }

    /// Records that a prompt with these prefixes was granted to the upstream.
    pub fn dispatched(&mut self, upstream: usize, prefixes: &[Prefix]) {
        for prefix in prefixes {
            self.store(upstream, *prefix);
        }
    }

    /// Applies a cache event. A gap in the sequence numbers lowers the weight of the recorded
    /// prefixes but does not remove them.
    pub fn event(&mut self, upstream: usize, event: CacheEvent) {
        let history = &mut self.histories[upstream];
        if history.next_sequence.is_some_and(|next| event.sequence < next) {
            return;
        }
        if history.next_sequence.is_some_and(|next| event.sequence > next) {
            history.missed_events = true;
        }
        history.next_sequence = Some(event.sequence.saturating_add(1));
        match event.change {
            CacheChange::Stored(prefix) => self.store(upstream, prefix),
            CacheChange::Evicted(hash) => self.evict(upstream, hash),
            CacheChange::Cleared => self.clear(upstream),
        }
    }

    /// Removes all prefixes of an upstream that restarted or emptied its cache.
    pub fn clear(&mut self, upstream: usize) {
        let uses = std::mem::take(&mut self.histories[upstream].uses);
        for used in uses {
            self.evict(upstream, used.hash);
        }
        self.histories[upstream].missed_events = false;
    }

    fn store(&mut self, upstream: usize, prefix: Prefix) {
        self.stamp += 1;
        let stamp = self.stamp;
        let holders = self.holders.entry(prefix.hash).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.upstream == upstream) {
            holder.stamp = stamp;
        } else {
            if holders.len() >= MAX_HOLDERS {
                let first = holders.remove(0);
                self.histories[first.upstream].live -= 1;
            }
            holders.push(Holder { upstream, stamp });
            self.histories[upstream].live += 1;
        }
        self.histories[upstream].uses.push_back(PrefixUse { hash: prefix.hash, stamp });
        self.trim(upstream);
    }

    fn trim(&mut self, upstream: usize) {
        loop {
            let history = &mut self.histories[upstream];
            let full = history.live > history.capacity;
            if !full && history.uses.len() <= 2 * history.capacity {
                return;
            }
            let Some(used) = history.uses.pop_front() else { return };
            let current = self.holders.get(&used.hash).into_iter().flatten();
            let mut current = current.filter(|holder| holder.upstream == upstream);
            if current.any(|holder| holder.stamp == used.stamp) {
                self.evict(upstream, used.hash);
            }
        }
    }

    fn evict(&mut self, upstream: usize, hash: u64) {
        let Some(holders) = self.holders.get_mut(&hash) else { return };
        let before = holders.len();
        holders.retain(|holder| holder.upstream != upstream);
        self.histories[upstream].live -= before - holders.len();
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }
}
