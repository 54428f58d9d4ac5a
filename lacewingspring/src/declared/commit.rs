//! Commits: one compare-and-swap of the head record each.

use std::{collections::BTreeSet, sync::Arc};

use lacewingspring_core::{
    config::{DeclaredState, Head, ResourceDiff, Transaction, Violation, diff},
    resources::ResourceId,
};
use serde::Serialize;
use thiserror::Error;
use tokio::time::sleep;

use super::{
    snapshot::{HISTORY_LEN, Snapshot, SnapshotError},
    store::{DeclaredStore, LOG, LoadError},
};
use crate::platform::key_value::{Compare, KeyValueError, Put, Revision, Swap};

/// Who commits, and when by the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Author<'a> {
    /// Name of the operator.
    pub operator: &'a str,
    /// Milliseconds since the Unix epoch; for people only.
    pub at_ms: u64,
}

/// A transaction that took effect, or would.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Generation with the transaction in it.
    pub generation: u64,
    /// What the transaction did.
    pub diff: Vec<ResourceDiff>,
}

/// What came in between.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Generation that is there.
    pub generation: u64,
    /// Resources that changed since the generation that the transaction was made for.
    pub changed: Vec<ResourceId>,
}

/// Why a transaction has no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// It breaks constraints; nothing changed.
    #[error("the transaction breaks {} constraints", .0.len())]
    Invalid(Vec<Violation>),
    /// Another change came first; this one had no effect.
    #[error("generation {} came first", .0.generation)]
    Conflict(Conflict),
    /// The service can't be reached; nothing changed and nothing will.
    #[error("the declared state cannot be changed now: {0}")]
    Unavailable(String),
    /// The service was lost after the write was sent; it may have taken effect or still do so.
    #[error("the change may have taken effect: {0}")]
    Unknown(String),
}

enum Swapped {
    Done(Revision),
    Lost,
}

/// A write that is tried until its outcome is known.
struct Attempt {
    compares: Vec<Compare>,
    puts: Vec<Put>,
    deletes: Vec<String>,
    head: Head,
}

impl DeclaredStore {
    /// Checks a transaction against the present state and changes nothing.
    ///
    /// # Errors
    ///
    /// Fails as a commit would.
    pub async fn dry_run(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let base = self.fresh(transaction.expect_generation).await?;
        expect(&base, transaction)?;
        let after = base.declared.apply(transaction).map_err(CommitError::Invalid)?;
        let diff = diff(&base.declared, &after, transaction);
        Ok(Commit { generation: after.generation, diff })
    }

    /// Commits a transaction. When it returns, the state is in force at this instance.
    ///
    /// # Errors
    ///
    /// Each kind of error says whether the transaction can have taken effect.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        author: Author<'_>,
    ) -> Result<Commit, CommitError> {
        let mut backoff = self.backoff();
        let mut tries = self.policy.commit_attempts;
        loop {
            let base = self.fresh(transaction.expect_generation).await?;
            expect(&base, transaction)?;
            let after = base.declared.apply(transaction).map_err(CommitError::Invalid)?;
            let diff = diff(&base.declared, &after, transaction);
            let attempt = self.attempt(&base, &after, transaction, author);
            let generation = after.generation;
            if let Swapped::Done(revision) = self.settle(&attempt).await? {
                self.committed(&base, after, attempt.head, revision);
                return Ok(Commit { generation, diff });
            }
            let conflict = self.lost_to(base.generation()).await?;
            let named = transaction.ids();
            let overlap = conflict.changed.iter().any(|id| named.contains(id));
            tries = tries.saturating_sub(1);
            if overlap || transaction.expect_generation.is_some() || tries == 0 {
                return Err(CommitError::Conflict(conflict));
            }
            sleep(backoff.wait()).await;
        }
    }

    pub(super) async fn read_head_record(&self) -> Result<Option<Head>, LoadError> {
        let Some(entry) = self.commit_kv.get(&self.keys.head).await? else { return Ok(None) };
        let head = serde_json::from_slice(&entry.value).map_err(|err| SnapshotError::Record {
            key: entry.key.clone(),
            reason: err.to_string(),
        })?;
        Ok(Some(head))
    }

    /// Returns a state as new as the service's, which holds `wanted` if that exists.
    async fn fresh(&self, wanted: Option<u64>) -> Result<Arc<Snapshot>, CommitError> {
        let mut backoff = self.backoff();
        let mut tries = self.policy.settle_attempts;
        loop {
            match self.refresh(wanted).await {
                Ok(()) => return Ok(self.snapshot()),
                Err(err) if tries <= 1 => return Err(CommitError::Unavailable(err.to_string())),
                // Only an old read is worth another try; an outage is told at once.
                Err(LoadError::Older(_)) => tries -= 1,
                Err(err) => return Err(CommitError::Unavailable(err.to_string())),
            }
            sleep(backoff.wait()).await;
        }
    }

    async fn refresh(&self, wanted: Option<u64>) -> Result<(), LoadError> {
        let head = self.read_head_record().await?;
        // The read of the head may be an old one.
        let generation = head.map_or(0, |head| head.generation).max(wanted.unwrap_or(0));
        if generation > self.generation() || !self.loaded() {
            self.load().await?;
        }
        Ok(())
    }

    fn attempt(
        &self,
        base: &Snapshot,
        after: &DeclaredState,
        transaction: &Transaction,
        author: Author<'_>,
    ) -> Attempt {
        let changed = after.changed_from(&base.declared, transaction);
        let head = Head {
            generation: after.generation,
            digest: after.digest(),
            changed,
            nonce: rand::random(),
            operator: author.operator.to_owned(),
            at_ms: author.at_ms,
        };
        let (puts, deletes) = self.writes(after, &head);
        Attempt { compares: self.compares(base), puts, deletes, head }
    }

    fn compares(&self, base: &Snapshot) -> Vec<Compare> {
        let key = self.keys.head.clone();
        match (self.policy.mechanisms.compare_head, base.head_revision) {
            (false, _) => Vec::new(),
            (true, 0) => vec![Compare::Absent(key)],
            (true, revision) => vec![Compare::ModRevision(key, revision)],
        }
    }

    /// Returns the writes of a commit; none when nothing changes.
    fn writes(&self, after: &DeclaredState, head: &Head) -> (Vec<Put>, Vec<String>) {
        if head.changed.is_empty() {
            return (Vec::new(), Vec::new());
        }
        let record = to_json(head);
        let mut puts = vec![
            Put::new(self.keys.head.clone(), record.clone()),
            Put::new(self.keys.history(head.generation), record),
        ];
        let mut deletes = Vec::new();
        if let Some(old) = head.generation.checked_sub(HISTORY_LEN) {
            deletes.push(self.keys.history(old));
        }
        for id in &head.changed {
            match after.stored(id) {
                Some(stored) => puts.push(Put::new(self.keys.resource(id), to_json(&stored))),
                None => deletes.push(self.keys.resource(id)),
            }
        }
        (puts, deletes)
    }

    /// Sends the write until its outcome is known.
    ///
    /// Sending it again is safe: the head's revision never comes back, so of all copies, however
    /// late they arrive, at most one takes effect.
    async fn settle(&self, attempt: &Attempt) -> Result<Swapped, CommitError> {
        let mut backoff = self.backoff();
        let mut tries = self.policy.settle_attempts;
        let mut unsure = false;
        loop {
            let err = match self.swap(attempt, unsure).await {
                Ok(swapped) => return Ok(swapped),
                Err(err) => err,
            };
            let sent = !matches!(err, KeyValueError::Unavailable(_) | KeyValueError::Rejected(_));
            unsure |= sent && !attempt.puts.is_empty();
            if !unsure || !self.policy.mechanisms.settle_lost_replies {
                return Err(CommitError::Unavailable(err.to_string()));
            }
            tries = tries.saturating_sub(1);
            if tries == 0 {
                let generation = attempt.head.generation;
                log::error!(target: LOG, generation, reason:% = err; "A commit is not settled.");
                return Err(CommitError::Unknown(err.to_string()));
            }
            sleep(backoff.wait()).await;
        }
    }

    /// Sends the write once; if an earlier copy may have taken effect, looks for its record.
    async fn swap(&self, attempt: &Attempt, unsure: bool) -> Result<Swapped, KeyValueError> {
        let Attempt { compares, puts, deletes, head } = attempt;
        let (compares, puts) = (compares.clone(), puts.clone());
        match self.commit_kv.compare_and_swap(compares, puts, deletes.clone()).await? {
            Swap::Done(revision) => Ok(Swapped::Done(revision)),
            Swap::Refused(_) if unsure => self.find_own(head).await,
            Swap::Refused(_) => Ok(Swapped::Lost),
        }
    }

    /// Finds out whose commit has the generation of `head`, now that one has.
    async fn find_own(&self, head: &Head) -> Result<Swapped, KeyValueError> {
        let Some(entry) = self.commit_kv.get(&self.keys.history(head.generation)).await? else {
            // The record is there unless the read is old or the commit is long past.
            return Err(KeyValueError::Unknown("the record of the generation is gone".into()));
        };
        let found: Head = serde_json::from_slice(&entry.value)
            .map_err(|err| KeyValueError::Malformed(err.to_string()))?;
        let own = found.nonce == head.nonce;
        log::info!(target: LOG, generation = head.generation, own; "Settled a lost reply.");
        Ok(if own { Swapped::Done(entry.mod_revision) } else { Swapped::Lost })
    }

    fn committed(&self, base: &Snapshot, after: DeclaredState, head: Head, revision: Revision) {
        if head.changed.is_empty() {
            return;
        }
        let operator = head.operator.as_str();
        log::info!(target: LOG, generation = head.generation, operator; "Committed a generation.");
        self.note_generation(head.generation);
        // The known revision stays: other keys of the prefix can't have changed in between, and
        // the watch shows this commit again without harm.
        self.install(base.followed_by(after, head, revision));
    }

    /// Names what came in between; this transaction had no effect.
    async fn lost_to(&self, generation: u64) -> Result<Conflict, CommitError> {
        let snapshot = self.fresh(Some(generation + 1)).await?;
        let changed: BTreeSet<ResourceId> = snapshot.changed_since(generation);
        let changed = changed.into_iter().collect();
        Ok(Conflict { generation: snapshot.generation(), changed })
    }
}

/// Refuses a transaction that was made for another generation.
fn expect(base: &Snapshot, transaction: &Transaction) -> Result<(), CommitError> {
    let generation = base.generation();
    match transaction.expect_generation {
        Some(expected) if expected != generation => {
            let changed = base.changed_since(expected).into_iter().collect();
            Err(CommitError::Conflict(Conflict { generation, changed }))
        }
        _ => Ok(()),
    }
}

fn to_json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    // Resources and head records have no map keys or numbers that JSON can't hold.
    serde_json::to_vec(value).unwrap_or_default()
}
