//! Commits of transactions. Each commit is one compare-and-swap of the head record.

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

/// Author and wall-clock time of a commit.
#[derive(Clone, Copy, Debug)]
pub struct Author<'a> {
    /// Name of the operator.
    pub operator: &'a str,
    /// Wall-clock time in milliseconds since the Unix epoch; shown to operators only.
    pub at_ms: u64,
}

/// Result of a committed transaction or of a dry run.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Generation that contains the transaction.
    pub generation: u64,
    /// Changes that the transaction makes.
    pub diff: Vec<ResourceDiff>,
}

/// Commits that a transaction conflicts with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Current generation.
    pub generation: u64,
    /// Resources that changed since the generation that the transaction is based on.
    pub changed: Vec<ResourceId>,
}

/// Why a transaction failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// The transaction violates constraints and had no effect.
    #[error("the transaction violates {} constraints", .0.len())]
    Invalid(Vec<Violation>),
    /// Another transaction was committed first; this one had no effect.
    #[error("the transaction conflicts with generation {}", .0.generation)]
    Conflict(Conflict),
    /// The key-value service is unavailable. The transaction had no effect and will have none.
    #[error("the declared state cannot be changed now: {0}")]
    Unavailable(String),
    /// No reply arrived after the write was sent. It may have taken effect or may still do so.
    #[error("the change may have taken effect: {0}")]
    Unknown(String),
}

/// Outcome of the compare-and-swap of a commit.
enum Swapped {
    /// The commit took effect at this revision.
    Done(Revision),
    /// Another commit took effect first.
    Superseded,
}

/// Write of a commit. Its copies are sent until the outcome is known.
struct Attempt {
    compares: Vec<Compare>,
    puts: Vec<Put>,
    deletes: Vec<String>,
    head: Head,
}

impl DeclaredStore {
    /// Validates a transaction against the current state without changing it.
    ///
    /// # Errors
    ///
    /// Fails if the transaction is invalid or conflicts, or if the state can't be read.
    pub async fn dry_run(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let base = self.refreshed_snapshot(transaction.expect_generation).await?;
        check_expected_generation(&base, transaction)?;
        let after = base.declared.apply(transaction).map_err(CommitError::Invalid)?;
        let diff = diff(&base.declared, &after, transaction);
        Ok(Commit { generation: after.generation, diff })
    }

    /// Commits a transaction. The state is in force at this instance once this returns.
    ///
    /// # Errors
    ///
    /// The kind of the error tells whether the transaction may have taken effect.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        author: Author<'_>,
    ) -> Result<Commit, CommitError> {
        let mut backoff = self.backoff();
        let mut attempts_left = self.policy.commit_attempts;
        loop {
            let base = self.refreshed_snapshot(transaction.expect_generation).await?;
            check_expected_generation(&base, transaction)?;
            let after = base.declared.apply(transaction).map_err(CommitError::Invalid)?;
            let diff = diff(&base.declared, &after, transaction);
            let attempt = self.attempt(&base, &after, transaction, author);
            let generation = after.generation;
            if let Swapped::Done(revision) = self.write_until_settled(&attempt).await? {
                self.committed(&base, after, attempt.head, revision);
                return Ok(Commit { generation, diff });
            }
            let conflict = self.conflict_since(base.generation()).await?;
            let named = transaction.ids();
            let overlap = conflict.changed.iter().any(|id| named.contains(id));
            attempts_left = attempts_left.saturating_sub(1);
            if overlap || transaction.expect_generation.is_some() || attempts_left == 0 {
                return Err(CommitError::Conflict(conflict));
            }
            sleep(backoff.next_wait()).await;
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

    /// Returns a state as new as the service's head record, at least generation `wanted` if that
    /// exists.
    async fn refreshed_snapshot(&self, wanted: Option<u64>) -> Result<Arc<Snapshot>, CommitError> {
        let mut backoff = self.backoff();
        let mut attempts = self.policy.settle_attempts;
        loop {
            match self.refresh(wanted).await {
                Ok(()) => return Ok(self.snapshot()),
                Err(err) if attempts <= 1 => return Err(CommitError::Unavailable(err.to_string())),
                // Retries after a stale read only; reports an outage at once.
                Err(LoadError::Older(_)) => attempts -= 1,
                Err(err) => return Err(CommitError::Unavailable(err.to_string())),
            }
            sleep(backoff.next_wait()).await;
        }
    }

    async fn refresh(&self, wanted: Option<u64>) -> Result<(), LoadError> {
        let head = self.read_head_record().await?;
        // The read of the head may be stale.
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

    /// Returns the puts and deletes of a commit; both are empty if it changes nothing.
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

    /// Sends the write until its outcome is known or the attempts are used up.
    ///
    /// Sending it again is safe: each copy compares the head's revision, which never recurs, so at
    /// most one copy takes effect, however late the others arrive.
    async fn write_until_settled(&self, attempt: &Attempt) -> Result<Swapped, CommitError> {
        let mut backoff = self.backoff();
        let mut attempts_left = self.policy.settle_attempts;
        let mut may_be_applied = false;
        loop {
            let err = match self.swap(attempt, may_be_applied).await {
                Ok(swapped) => return Ok(swapped),
                Err(err) => err,
            };
            let sent = !matches!(err, KeyValueError::Unavailable(_) | KeyValueError::Rejected(_));
            may_be_applied |= sent && !attempt.puts.is_empty();
            if !may_be_applied || !self.policy.mechanisms.settle_lost_replies {
                return Err(CommitError::Unavailable(err.to_string()));
            }
            attempts_left = attempts_left.saturating_sub(1);
            if attempts_left == 0 {
                let generation = attempt.head.generation;
                log::error!(
                    target: LOG, generation, reason:% = err;
                    "The outcome of a commit is unknown."
                );
                return Err(CommitError::Unknown(err.to_string()));
            }
            sleep(backoff.next_wait()).await;
        }
    }

    /// Sends the write once. If it is refused and an earlier copy may have taken effect, checks
    /// whose commit did.
    async fn swap(
        &self,
        attempt: &Attempt,
        may_be_applied: bool,
    ) -> Result<Swapped, KeyValueError> {
        let Attempt { compares, puts, deletes, head } = attempt;
        let (compares, puts) = (compares.clone(), puts.clone());
        match self.commit_kv.compare_and_swap(compares, puts, deletes.clone()).await? {
            Swap::Done(revision) => Ok(Swapped::Done(revision)),
            Swap::Refused(_) if may_be_applied => self.find_own(head).await,
            Swap::Refused(_) => Ok(Swapped::Superseded),
        }
    }

    /// Reads the record of the generation of `head` and tells by its nonce whether it is this
    /// commit's. A refused compare shows that a commit of that generation exists.
    async fn find_own(&self, head: &Head) -> Result<Swapped, KeyValueError> {
        let Some(entry) = self.commit_kv.get(&self.keys.history(head.generation)).await? else {
            // Either the read is stale or later commits have removed the record.
            return Err(KeyValueError::Unknown("the record of the generation is gone".into()));
        };
        let found: Head = serde_json::from_slice(&entry.value)
            .map_err(|err| KeyValueError::Malformed(err.to_string()))?;
        let own = found.nonce == head.nonce;
        log::info!(
            target: LOG, generation = head.generation, own;
            "Determined the outcome of a commit."
        );
        Ok(if own { Swapped::Done(entry.mod_revision) } else { Swapped::Superseded })
    }

    fn committed(&self, base: &Snapshot, after: DeclaredState, head: Head, revision: Revision) {
        if head.changed.is_empty() {
            return;
        }
        let operator = head.operator.as_str();
        log::info!(target: LOG, generation = head.generation, operator; "Committed a generation.");
        self.note_generation(head.generation);
        // Leaves the known revision as it is: no other key of the prefix can have changed in
        // between, and the watch may deliver this commit again, which has no effect.
        self.install(base.with_commit(after, head, revision));
    }

    /// Returns the commits since a generation, for a transaction that they superseded.
    async fn conflict_since(&self, generation: u64) -> Result<Conflict, CommitError> {
        let snapshot = self.refreshed_snapshot(Some(generation + 1)).await?;
        let changed: BTreeSet<ResourceId> = snapshot.changed_since(generation);
        let changed = changed.into_iter().collect();
        Ok(Conflict { generation: snapshot.generation(), changed })
    }
}

/// Refuses a transaction that expects another generation.
fn check_expected_generation(
    base: &Snapshot,
    transaction: &Transaction,
) -> Result<(), CommitError> {
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
