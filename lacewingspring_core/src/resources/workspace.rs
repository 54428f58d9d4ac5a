//! Workspaces and their limits.

use serde::{Deserialize, Serialize};

/// A workspace: a customer with its credentials, weight and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Accepted credentials, each the SHA-256 digest of a bearer token in hexadecimal.
    pub credentials: Vec<String>,
    /// Share within a tier relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits over the whole fleet.
    #[serde(default)]
    pub limits: WorkspaceLimits,
}

const fn default_weight() -> u32 {
    1
}

/// Limits of a workspace over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceLimits {
    /// Requests accepted a second.
    pub requests_per_second: u32,
    /// Requests accepted and not yet answered.
    pub concurrency: u32,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self { requests_per_second: 1_000, concurrency: 1_000 }
    }
}
