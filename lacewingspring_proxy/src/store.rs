//! Interface to the platform's key-value service.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Memory of a key beyond its bytes and those of its value, in bytes.
pub const MEMORY_OVERHEAD_BYTES: usize = 128;

/// Era of the service's content. It rises each time that the service is restored from a copy, which
/// lacks the latest writes and leases; revisions and lease ids are then given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// Revision of the service's content; any revision of a later era is later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era in which the revision was given out.
    pub era: Era,
    /// Number within the era.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era.0, self.number)
    }
}

/// A lease, which does not outlast its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Era in which the lease was granted.
    pub era: Era,
    /// Identity of the lease within the era.
    pub id: u64,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
    /// Revision of its creation.
    pub created_revision: Revision,
}

impl Item {
    /// Returns the memory that it takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.key.len() + self.value.len() + MEMORY_OVERHEAD_BYTES
    }
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
        revision: Revision,
    },
}

impl Change {
    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(item) => item.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }

    /// Returns the memory that it takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        match self {
            Self::Put(item) => item.held_bytes(),
            Self::Deleted { key, .. } => Self::deletion_bytes(key),
        }
    }

    /// Returns the memory that the deletion of a key takes, in bytes.
    pub fn deletion_bytes(key: &str) -> usize {
        key.len() + MEMORY_OVERHEAD_BYTES
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
    pub revision: Revision,
}

/// Changes below a prefix, from one watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision after which the next watch continues.
    pub revision: Revision,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The service no longer keeps the requested changes.
    #[error("the requested changes are no longer kept")]
    Compacted,
    /// The answer is from an earlier era than one before it.
    #[error("the answer is from before the key-value service was restored")]
    EarlierEra,
    /// The key had another revision than expected; nothing was written.
    #[error("the key was changed by another writer")]
    Conflict(Option<Item>),
    /// The lease has ended or never existed, or is from an earlier era.
    #[error("lease does not exist or has ended")]
    NoLease,
    /// The answer, or all keys of a topic together, are larger than the process may hold.
    #[error("the answer has more than {0} bytes")]
    TooLarge(usize),
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
    /// Returns the latest era of which the service has answered a call.
    fn era(&self) -> Era;

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
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Creates a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>> + Send;

    /// Renews a lease.
    fn keep_lease(&self, lease: Lease) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease, which deletes its keys.
    fn end_lease(&self, lease: Lease) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a key if its revision is `expected`, or if it does not exist and `expected` is
    /// `None`; returns its new revision. If a lease is given, the key is deleted when it ends.
    ///
    /// A write without an answer may be executed seconds later, if its condition holds then.
    fn put_if(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Revision>,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<Revision, StoreError>> + Send;
}
