//! Transactions: changes to several resources that take effect atomically.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::resources::{Resource, ResourceId};

/// Changes that are checked and committed atomically.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// Changes to apply; each resource may be named only once.
    pub changes: Vec<Change>,
    /// Generation that the operator read; the commit is refused if it is not the current one.
    #[serde(default)]
    pub expect_generation: Option<u64>,
}

impl Transaction {
    /// Returns the resources that the transaction names.
    pub fn ids(&self) -> BTreeSet<ResourceId> {
        self.changes.iter().map(Change::id).collect()
    }
}

/// Change of one resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a resource.
    Put(Resource),
    /// Removes a resource.
    Delete(ResourceId),
}

impl Change {
    /// Returns the resource that the change names.
    pub fn id(&self) -> ResourceId {
        match self {
            Self::Put(resource) => resource.id(),
            Self::Delete(id) => id.clone(),
        }
    }
}
