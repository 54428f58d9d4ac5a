//! State of the key-value service: keys, leases and the history of changes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::messages::{
    Base64, Compare, CompareResult, CompareTarget, Int64, LeaseRequest, Operation, Pair,
    PutRequest, RangeRequest, TxnRequest,
};

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of operations in a branch of a transaction.
const MAX_TXN_OPERATIONS: usize = 128;
/// Maximum number of events kept for watches that start at a past revision.
const MAX_HISTORY_EVENTS: usize = 20_000;
/// Maximum time to live of a lease, in seconds.
const MAX_TTL_SECONDS: i64 = 9_000_000_000;
/// First lease identifier that the store chooses.
const FIRST_LEASE_ID: i64 = 7_000_000_001;

/// Reason to refuse a request. The messages are those of etcd.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The request is not valid JSON of the expected format.
    #[error("{0}")]
    Message(#[from] serde_json::Error),
    /// The key is empty.
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    /// The value exceeds the maximum size.
    #[error("etcdserver: request is too large")]
    TooLarge,
    /// The lease is unknown or has expired.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// A lease with this identifier exists already.
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    /// A branch of a transaction puts a key twice.
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    /// A branch of a transaction has too many operations.
    #[error("etcdserver: too many operations in txn request")]
    TooManyOperations,
    /// The requested revision is not the current one; the stand-in keeps no others.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    /// An injected fault closes the connection without a reply.
    #[error("connection closed by an injected fault")]
    Aborted,
}

/// Change of a key, as reported by watches.
#[derive(Clone, Debug)]
pub struct Event {
    /// Whether the key was deleted rather than written.
    pub deleted: bool,
    /// Key after the change; without value and creation revision if it was deleted.
    pub pair: Pair,
}

struct Lease {
    /// Time to live, in seconds.
    ttl: i64,
    expires: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// Keys and leases at the current revision, and the recent events.
pub struct Store {
    revision: i64,
    pairs: BTreeMap<Vec<u8>, Pair>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<Event>,
    /// Oldest revision from which on the history holds all events.
    history_start: i64,
    /// Previous state of the keys that the last revision changed, for stale reads; `None` for keys
    /// that did not exist.
    before_last_revision: BTreeMap<Vec<u8>, Option<Pair>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            pairs: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: FIRST_LEASE_ID,
            history: VecDeque::new(),
            history_start: 1,
            before_last_revision: BTreeMap::new(),
        }
    }
}

impl Store {
    /// Current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Oldest revision from which on the history holds all events.
    pub fn history_start(&self) -> i64 {
        self.history_start
    }

    /// Response header with the current revision.
    pub fn header(&self) -> Value {
        header_at(self.revision)
    }

    /// Events of a range of keys at `revision` or later.
    pub fn events_since(&self, first: &Base64, end: &Base64, revision: i64) -> Vec<Event> {
        let start = self.history.partition_point(|e| e.pair.mod_revision.0 < revision);
        let later = self.history.iter().skip(start);
        later.filter(|e| in_range(&e.pair.key.0, first, end)).cloned().collect()
    }

    /// Reads a range of keys; `stale` reads the state of the preceding revision.
    pub fn range(&self, req: &RangeRequest, stale: bool) -> Result<Value, StoreError> {
        if !req.revision.is_zero() && req.revision.0 != self.revision {
            return Err(StoreError::Compacted);
        }
        let mut found = self.pairs_in(&req.key, &req.range_end)?;
        let mut revision = self.revision;
        if stale {
            revision = (revision - 1).max(1);
            self.revert_last_revision(req, &mut found);
        }
        Ok(range_reply(req, found, revision))
    }

    /// Writes a key in a new revision.
    pub fn put(&mut self, req: &PutRequest) -> Result<Value, StoreError> {
        self.check_put(req)?;
        self.start_revision();
        self.put_checked(req);
        Ok(json!({ "header": self.header() }))
    }

    /// Deletes a range of keys, in a new revision if there are any.
    pub fn delete_range(&mut self, req: &RangeRequest) -> Result<Value, StoreError> {
        let found = self.pairs_in(&req.key, &req.range_end)?;
        if !found.is_empty() {
            self.start_revision();
        }
        Ok(self.delete_found(found))
    }

    /// Runs a transaction. Its changes share one new revision.
    pub fn txn(&mut self, req: &TxnRequest) -> Result<Value, StoreError> {
        self.check_branch(&req.success)?;
        self.check_branch(&req.failure)?;
        let succeeded = req.compare.iter().all(|c| self.compare_holds(c));
        let branch = if succeeded { &req.success } else { &req.failure };
        if branch.iter().any(|op| self.would_change(op)) {
            self.start_revision();
        }
        let mut responses = Vec::new();
        for op in branch {
            responses.push(self.apply_operation(op)?);
        }
        let mut reply = json!({ "header": self.header() });
        if succeeded {
            reply["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            reply["responses"] = json!(responses);
        }
        Ok(reply)
    }

    /// Grants a lease. The time to live is clamped to 1 s up to `MAX_TTL_SECONDS`.
    pub fn grant_lease(&mut self, req: &LeaseRequest) -> Result<Value, StoreError> {
        let id = if req.id.is_zero() { self.next_lease } else { req.id.0 };
        self.next_lease += 1;
        if self.leases.contains_key(&id) {
            return Err(StoreError::LeaseExists);
        }
        let ttl = req.ttl.0.clamp(1, MAX_TTL_SECONDS);
        self.leases.insert(id, Lease { ttl, expires: expiry(ttl), keys: BTreeSet::new() });
        Ok(json!({ "header": self.header(), "ID": Int64(id), "TTL": Int64(ttl) }))
    }

    /// Renews a lease. The reply has no time to live if the lease is unknown.
    pub fn keep_lease_alive(&mut self, req: &LeaseRequest) -> Result<Value, StoreError> {
        let mut result = json!({ "header": self.header(), "ID": req.id });
        if let Some(lease) = self.leases.get_mut(&req.id.0) {
            lease.expires = expiry(lease.ttl);
            result["TTL"] = json!(Int64(lease.ttl));
        }
        Ok(json!({ "result": result }))
    }

    /// Revokes a lease and deletes its keys in a new revision.
    pub fn revoke_lease(&mut self, req: &LeaseRequest) -> Result<Value, StoreError> {
        let lease = self.leases.remove(&req.id.0).ok_or(StoreError::LeaseNotFound)?;
        self.delete_keys(lease.keys);
        Ok(json!({ "header": self.header() }))
    }

    /// Revokes the leases that expired at `now` or earlier.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired = self.leases.extract_if(.., |_, lease| lease.expires <= now);
        let expired: Vec<Lease> = expired.map(|(_, lease)| lease).collect();
        for lease in expired {
            self.delete_keys(lease.keys);
        }
    }

    fn pairs_in(&self, first: &Base64, end: &Base64) -> Result<Vec<Pair>, StoreError> {
        if first.0.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        let from = self.pairs.range::<[u8], _>((Bound::Included(&first.0[..]), Bound::Unbounded));
        let found = from.take_while(|(key, _)| in_range(key, first, end));
        Ok(found.map(|(_, pair)| pair.clone()).collect())
    }

    /// Reverts the last revision in the pairs found for a range.
    fn revert_last_revision(&self, req: &RangeRequest, found: &mut Vec<Pair>) {
        let mut pairs: BTreeMap<Vec<u8>, Pair> =
            found.drain(..).map(|pair| (pair.key.0.clone(), pair)).collect();
        for (key, before) in &self.before_last_revision {
            if !in_range(key, &req.key, &req.range_end) {
                continue;
            }
            match before {
                Some(pair) => pairs.insert(key.clone(), pair.clone()),
                None => pairs.remove(key),
            };
        }
        found.extend(pairs.into_values());
    }

    fn start_revision(&mut self) {
        self.revision += 1;
        self.before_last_revision.clear();
    }

    fn check_put(&self, req: &PutRequest) -> Result<(), StoreError> {
        if req.key.0.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        if req.value.0.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if !req.lease.is_zero() && !self.leases.contains_key(&req.lease.0) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    fn check_branch(&self, branch: &[Operation]) -> Result<(), StoreError> {
        if branch.len() > MAX_TXN_OPERATIONS {
            return Err(StoreError::TooManyOperations);
        }
        let mut keys = BTreeSet::new();
        for put in branch.iter().filter_map(|op| op.request_put.as_ref()) {
            self.check_put(put)?;
            if !keys.insert(&put.key) {
                return Err(StoreError::DuplicateKey);
            }
        }
        let ranges = branch.iter().filter(|op| op.request_put.is_none());
        let ranges =
            ranges.filter_map(|op| op.request_range.as_ref().or(op.request_delete_range.as_ref()));
        if ranges.into_iter().any(|range| range.key.0.is_empty()) {
            return Err(StoreError::EmptyKey);
        }
        Ok(())
    }

    fn put_checked(&mut self, req: &PutRequest) {
        let before = self.pairs.get(&req.key.0).cloned();
        let revision = Int64(self.revision);
        let pair = Pair {
            key: req.key.clone(),
            create_revision: before.as_ref().map_or(revision, |p| p.create_revision),
            mod_revision: revision,
            version: Int64(before.as_ref().map_or(0, |p| p.version.0) + 1),
            value: req.value.clone(),
            lease: req.lease,
        };
        self.detach_from_lease(before.as_ref());
        if let Some(lease) = self.leases.get_mut(&req.lease.0) {
            lease.keys.insert(req.key.0.clone());
        }
        self.before_last_revision.entry(req.key.0.clone()).or_insert(before);
        self.pairs.insert(req.key.0.clone(), pair.clone());
        self.record(Event { deleted: false, pair });
    }

    fn delete_keys(&mut self, keys: BTreeSet<Vec<u8>>) {
        let found: Vec<Pair> = keys.iter().filter_map(|k| self.pairs.get(k).cloned()).collect();
        if !found.is_empty() {
            self.start_revision();
            self.delete_found(found);
        }
    }

    fn delete_found(&mut self, found: Vec<Pair>) -> Value {
        let deleted = found.len() as i64;
        for pair in found {
            self.pairs.remove(&pair.key.0);
            self.detach_from_lease(Some(&pair));
            let mod_revision = Int64(self.revision);
            let tombstone = Pair { key: pair.key.clone(), mod_revision, ..Pair::default() };
            self.before_last_revision.entry(pair.key.0.clone()).or_insert(Some(pair));
            self.record(Event { deleted: true, pair: tombstone });
        }
        let mut reply = json!({ "header": self.header() });
        if deleted > 0 {
            reply["deleted"] = json!(Int64(deleted));
        }
        reply
    }

    /// Detaches a key from its lease, if it has one.
    fn detach_from_lease(&mut self, pair: Option<&Pair>) {
        let Some(pair) = pair else { return };
        if let Some(lease) = self.leases.get_mut(&pair.lease.0) {
            lease.keys.remove(&pair.key.0);
        }
    }

    fn record(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY_EVENTS
            && let Some(dropped) = self.history.pop_front()
        {
            self.history_start = dropped.pair.mod_revision.0 + 1;
        }
    }

    fn would_change(&self, op: &Operation) -> bool {
        let deletes = |req: &RangeRequest| {
            self.pairs_in(&req.key, &req.range_end).is_ok_and(|found| !found.is_empty())
        };
        op.request_put.is_some() || op.request_delete_range.as_ref().is_some_and(deletes)
    }

    fn apply_operation(&mut self, op: &Operation) -> Result<Value, StoreError> {
        if let Some(req) = &op.request_put {
            self.put_checked(req);
            return Ok(json!({ "response_put": { "header": self.header() } }));
        }
        if let Some(req) = &op.request_delete_range {
            let found = self.pairs_in(&req.key, &req.range_end)?;
            return Ok(json!({ "response_delete_range": self.delete_found(found) }));
        }
        let req = op.request_range.clone().unwrap_or_default();
        Ok(json!({ "response_range": self.range(&req, false)? }))
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        let pair = self.pairs.get(&compare.key.0);
        let stored = pair.cloned().unwrap_or_default();
        let ordering = match compare.target {
            CompareTarget::Version => stored.version.cmp(&compare.version),
            CompareTarget::Create => stored.create_revision.cmp(&compare.create_revision),
            CompareTarget::Mod => stored.mod_revision.cmp(&compare.mod_revision),
            CompareTarget::Lease => stored.lease.cmp(&compare.lease),
            // A key that does not exist fails every comparison of its value.
            CompareTarget::Value if pair.is_none() => return false,
            CompareTarget::Value => stored.value.cmp(&compare.value),
        };
        match compare.result {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }
}

fn expiry(ttl_seconds: i64) -> Instant {
    Instant::now() + Duration::from_secs(ttl_seconds as u64)
}

/// Returns whether a key is in a range. An empty end selects the first key only, and `\0` all keys
/// from the first on.
fn in_range(key: &[u8], first: &Base64, end: &Base64) -> bool {
    match end.0.as_slice() {
        [] => key == first.0,
        [0] => key >= first.0.as_slice(),
        end => key >= first.0.as_slice() && key < end,
    }
}

fn header_at(revision: i64) -> Value {
    let revision = Int64(revision);
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision, "raft_term": "1" })
}

fn range_reply(req: &RangeRequest, mut found: Vec<Pair>, revision: i64) -> Value {
    let mut reply = json!({ "header": header_at(revision) });
    let count = found.len();
    if count == 0 {
        return reply;
    }
    reply["count"] = json!(Int64(count as i64));
    if req.count_only {
        return reply;
    }
    let limit = usize::try_from(req.limit.0).unwrap_or(0);
    if limit > 0 && count > limit {
        found.truncate(limit);
        reply["more"] = json!(true);
    }
    if req.keys_only {
        found.iter_mut().for_each(|pair| pair.value.0.clear());
    }
    reply["kvs"] = json!(found);
    reply
}
