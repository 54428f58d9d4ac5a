//! Interface to the platform's key-value service.

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

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
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

/// Some of the keys below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// Revision of the service at the time of the answer.
    pub revision: u64,
}

/// Changes below a prefix, from one watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision after which the next watch continues.
    pub revision: u64,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The service no longer keeps the requested changes.
    #[error("the requested changes are no longer kept")]
    Compacted,
    /// The lease has ended or never existed.
    #[error("lease does not exist or has ended")]
    NoLease,
    /// The service rejected the call, with this HTTP status.
    #[error("key-value service answered with status {0}")]
    Refused(u16),
    /// No answer arrived; a write may have taken effect.
    #[error("no answer from the key-value service: {0}")]
    NoAnswer(String),
    /// The request could not be written or the answer could not be read.
    #[error("malformed request or answer: {0}")]
    Malformed(String),
}

/// Client of the key-value service.
pub trait Store: Send + Sync + 'static {
    /// Reads a page of the keys below a prefix, starting after the key `after` if it is given.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Returns the changes below a prefix after a revision; waits up to `wait` for the first.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Creates a lease.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    fn keep_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease, which deletes its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a key; if a lease is given, the key is deleted when the lease ends.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
