//! Transactions and their results.

use std::fmt::{self, Display, Formatter};

use lacewingspring_core::resources::{Resource, ResourceId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Changes that are applied atomically.
#[derive(Debug, Serialize)]
pub struct Transaction {
    /// Changes, at most one per resource.
    pub changes: Vec<Change>,
    /// Latest generation that the changes assume; `None` to apply them to any.
    pub expect_generation: Option<u64>,
    /// Whether to validate and compare without applying the changes.
    pub dry_run: bool,
}

/// One change of a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Declares a resource.
    Put(Resource),
    /// Removes a resource.
    Delete(ResourceId),
}

/// Differences that a transaction made or, in a dry run, would make.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Generation after the transaction.
    pub generation: u64,
    /// Differences by resource.
    pub diff: Vec<ResourceDiff>,
}

impl TransactionResult {
    /// Returns whether any resource changes.
    pub fn differs(&self) -> bool {
        self.diff.iter().any(|diff| diff.action != Action::None)
    }
}

/// Differences in one resource.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceDiff {
    /// Resource that the transaction names.
    pub resource: ResourceRef,
    /// What the transaction does to it.
    pub action: Action,
    /// Fields that change.
    #[serde(default)]
    pub fields: Vec<FieldDiff>,
}

/// Reference to a resource in either of the formats that the server sends.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ResourceRef {
    /// Object with kind and name.
    Id(ResourceId),
    /// Text of the form `kind/name`.
    Text(String),
}

impl Display for ResourceRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id(id) => Display::fmt(id, f),
            Self::Text(text) => f.write_str(text),
        }
    }
}

/// What a transaction does to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates it.
    Create,
    /// Changes some of its fields.
    Change,
    /// Removes it.
    Delete,
    /// Leaves it unchanged.
    None,
}

/// Value of a field before and after the transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct FieldDiff {
    /// Path of the field in the resource.
    pub path: String,
    /// Value before; null if the field was absent.
    #[serde(default)]
    pub before: Value,
    /// Value after; null if the field is absent.
    #[serde(default)]
    pub after: Value,
}
