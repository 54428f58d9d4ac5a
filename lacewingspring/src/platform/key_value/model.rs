//! Arguments and results of the key-value client.

use bytes::Bytes;

/// Revision of the service's store; each write transaction increments it.
pub type Revision = i64;

/// Id of a lease, assigned by the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// One stored entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValueEntry {
    /// Key of the entry.
    pub key: String,
    /// Value of the entry.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the last write to the key.
    pub mod_revision: Revision,
}

/// Entries of a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeReply {
    /// Revision at which the entries were read.
    pub revision: Revision,
    /// Entries by ascending key.
    pub entries: Vec<KeyValueEntry>,
}

/// Outcome of a create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Created {
    /// The entry was created at this revision.
    Created(Revision),
    /// The key already existed, with this entry.
    Exists(KeyValueEntry),
}

/// A condition of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at this revision.
    ModRevision(String, Revision),
}

impl Compare {
    /// Returns the key that is compared.
    pub fn key(&self) -> &str {
        match self {
            Self::Absent(key) | Self::ModRevision(key, _) => key,
        }
    }
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// All writes took effect at this revision.
    Done(Revision),
    /// A compare failed and nothing was written; holds the current entries of the compared keys.
    Refused(Vec<KeyValueEntry>),
}

/// One entry to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key of the entry.
    pub key: String,
    /// Value to store.
    pub value: Bytes,
    /// Lease with which the entry expires; `None` for an entry without expiry.
    pub lease: Option<LeaseId>,
}

impl Put {
    /// Creates an entry without a lease, which stays until it is removed.
    pub fn new<K, V>(key: K, value: V) -> Self
    where
        K: Into<String>,
        V: Into<Bytes>,
    {
        Self { key: key.into(), value: value.into(), lease: None }
    }

    /// Attaches the entry to a lease.
    pub fn with_lease(self, lease: LeaseId) -> Self {
        Self { lease: Some(lease), ..self }
    }
}
