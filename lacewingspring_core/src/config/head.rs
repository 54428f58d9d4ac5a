//! Commit records, which order all commits.

use serde::{Deserialize, Serialize};

use crate::resources::ResourceId;

/// Record of one commit. The newest one is the head, which each commit compares and replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Generation that the commit produced.
    pub generation: u64,
    /// Digest of the declared state, see `DeclaredState::digest`.
    pub digest: String,
    /// Resources that the commit changed.
    pub changed: Vec<ResourceId>,
    /// Random number by which the committer recognises its own write after a lost reply.
    pub nonce: u64,
    /// Name of the operator who made the commit.
    pub operator: String,
    /// Wall-clock time of the commit, in milliseconds since the Unix epoch; only for display.
    pub at_ms: u64,
}
