//! Operators known before any operator resource is declared.

use serde::Deserialize;

/// An operator known from the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct BootstrapOperator {
    /// Name of the operator.
    pub name: String,
    /// SHA-256 digest of the bearer token, in hexadecimal.
    pub credential: String,
    /// What the operator may do.
    pub role: OperatorRole,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// Read resources and status.
    Read,
    /// Read and change resources.
    Change,
}
