//! Seam to the platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identity of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of its creation.
    pub created_revision: u64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It is gone.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the change.
        revision: u64,
    },
}

impl Change {
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// A part of the keys below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Keys in order.
    pub items: Vec<Item>,
    /// Whether more follow.
    pub has_more: bool,
    /// Revision of the service when it answered.
    pub revision: u64,
}

/// What changed below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The changes asked for are no longer kept.
    #[error("the history is no longer kept")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended")]
    NoLease,
    /// The service turned the call away.
    #[error("the service answered {0}")]
    Refused(u16),
    /// There was no answer; a write may have been made.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer could not be read.
    #[error("the answer could not be read: {0}")]
    Malformed(String),
}

/// Calls to the key-value service.
pub trait Store: Send + Sync + 'static {
    /// Reads keys below a prefix, after a key when one is given.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Waits for changes below a prefix after a revision, `wait` at most.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Takes a lease.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    fn keep_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease and so its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a key, which ends with a lease when one is given.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
