//! Transactions and what they change.

use std::fmt::{self, Display, Formatter};

use lacewingspring_core::resources::{Resource, ResourceId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Changes that apply together or not at all.
#[derive(Debug, Serialize)]
pub struct Transaction {
    /// Changes, each of another resource.
    pub changes: Vec<Change>,
    /// Generation that the changes were made for; none accepts any.
    pub expect_generation: Option<u64>,
    /// Whether to check and compare only.
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

/// What a transaction changed, or would change.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Generation after the transaction.
    pub generation: u64,
    /// Changes by resource.
    pub diff: Vec<ResourceDiff>,
}

impl TransactionResult {
    /// Returns whether any resource changes.
    pub fn differs(&self) -> bool {
        self.diff.iter().any(|diff| diff.action != Action::None)
    }
}

/// What changes in one resource.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceDiff {
    /// Resource that changes.
    pub resource: ResourceRef,
    /// What happens to it.
    pub action: Action,
    /// Fields that change.
    #[serde(default)]
    pub fields: Vec<FieldDiff>,
}

/// A resource as answers name it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ResourceRef {
    /// By kind and name.
    Id(ResourceId),
    /// As `kind/name`.
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

/// What happens to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// It is declared for the first time.
    Create,
    /// Some of its fields change.
    Change,
    /// It is removed.
    Delete,
    /// It stays as it is.
    None,
}

/// A field before and after.
#[derive(Debug, Serialize, Deserialize)]
pub struct FieldDiff {
    /// Path of the field in the resource.
    pub path: String,
    /// Value before; null for none.
    #[serde(default)]
    pub before: Value,
    /// Value after; null for none.
    #[serde(default)]
    pub after: Value,
}
