//! Operators and what they may do.

use serde::{Deserialize, Serialize};

/// An operator with credentials and a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSpec {
    /// Accepted credentials, each the SHA-256 digest of a bearer token in hexadecimal.
    pub credentials: Vec<String>,
    /// What the operator may do.
    pub role: OperatorRole,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// Read resources and status.
    Read,
    /// Read, and change resources.
    Change,
}
