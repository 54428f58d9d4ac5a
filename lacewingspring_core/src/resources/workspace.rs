//! Workspaces and their limits.

use serde::{Deserialize, Serialize};

/// A workspace: the account of a customer, with its credentials, weight and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Accepted credentials, each the SHA-256 digest of a bearer token in hexadecimal.
    pub credentials: Vec<String>,
    /// Weight of the workspace in the fair shares within a tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits that apply across the whole fleet.
    #[serde(default)]
    pub limits: WorkspaceLimits,
}

const fn default_weight() -> u32 {
    1
}

/// Limits of a workspace across the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceLimits {
    /// Most requests accepted per second.
    pub requests_per_second: u32,
    /// Most requests accepted and not yet answered.
    pub concurrency: u32,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self { requests_per_second: 1_000, concurrency: 1_000 }
    }
}
