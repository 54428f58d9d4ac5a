//! Operators and their permissions.

use serde::{Deserialize, Serialize};

/// An operator, authenticated by its credentials and authorised by its role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSpec {
    /// Accepted credentials, each the SHA-256 digest of a bearer token in hexadecimal.
    pub credentials: Vec<String>,
    /// Permissions of the operator.
    pub role: OperatorRole,
}

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// May read resources and status.
    Read,
    /// May read resources and status, and change resources.
    Change,
}
