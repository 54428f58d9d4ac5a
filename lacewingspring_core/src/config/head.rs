//! Record that orders all commits.

use serde::{Deserialize, Serialize};

use crate::resources::ResourceId;

/// Record of one commit. The newest is the head, which every commit compares and replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Generation that the commit made.
    pub generation: u64,
    /// Digest of the declared state, see `Declared::digest`.
    pub digest: String,
    /// Resources that the commit changed.
    pub changed: Vec<ResourceId>,
    /// Random number that tells the committer its own write.
    pub nonce: u64,
    /// Name of the operator.
    pub operator: String,
    /// Wall-clock time of the commit, in milliseconds since the Unix epoch; for people only.
    pub at_ms: u64,
}
