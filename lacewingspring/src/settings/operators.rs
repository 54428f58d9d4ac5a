//! Operators that are known before any operator resource is declared.

use serde::Deserialize;

/// Operator that the settings define.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct BootstrapOperator {
    /// Name of the operator.
    pub name: String,
    /// SHA-256 digest of the bearer token, in hexadecimal.
    pub credential: String,
    /// Permissions of the operator.
    pub role: OperatorRole,
}

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// Read resources and status.
    Read,
    /// Read and change resources.
    Change,
}
