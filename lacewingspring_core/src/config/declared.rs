//! The declared state: all resources of one generation.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::{
    constraints,
    head::Head,
    transaction::{Change, Transaction},
    violation::{Rule, Violation},
};
use crate::resources::{Resource, ResourceId};

/// All resources of one generation. Only transactions that pass all constraints change it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredState {
    /// Number of commits up to this state.
    pub generation: u64,
    /// Resources by kind and name.
    pub resources: BTreeMap<ResourceId, Resource>,
    /// Generation in which each resource was last changed.
    changed_at: BTreeMap<ResourceId, u64>,
}

/// A resource with the generation of its last change, as the key-value service stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclaredResource {
    /// Generation in which the resource was last changed.
    pub generation: u64,
    /// Declared resource.
    pub resource: Resource,
}

/// The resources do not match the digest in the head record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the resources do not match the head record of generation {0}")]
pub struct IncompleteState(pub u64);

impl DeclaredState {
    /// Assembles the state from stored resources; fails if they do not match the digest of `head`.
    pub fn assemble<I>(head: &Head, resources: I) -> Result<Self, IncompleteState>
    where
        I: IntoIterator<Item = DeclaredResource>,
    {
        let mut declared = Self { generation: head.generation, ..Self::default() };
        for stored in resources {
            declared.insert(stored);
        }
        declared.verified(head)
    }

    /// Applies the writes and removals of one commit; fails if the result does not match the digest
    /// of `head`, that is if one of them is missing.
    pub fn advance<P, D>(&self, head: &Head, puts: P, deletes: D) -> Result<Self, IncompleteState>
    where
        P: IntoIterator<Item = DeclaredResource>,
        D: IntoIterator<Item = ResourceId>,
    {
        let mut next = Self { generation: head.generation, ..self.clone() };
        for id in deletes {
            next.remove(&id);
        }
        for stored in puts {
            next.insert(stored);
        }
        next.verified(head)
    }

    /// Returns the state after `transaction`, or every constraint that it violates.
    ///
    /// The generation increases by one, unless no resource changes.
    pub fn apply(&self, transaction: &Transaction) -> Result<Self, Vec<Violation>> {
        let mut violations = constraints::transaction(self, transaction);
        let next = self.after(transaction);
        let deleted = transaction.changes.iter().filter_map(|change| match change {
            Change::Delete(id) => Some(id),
            Change::Put(_) => None,
        });
        let deleted: BTreeSet<&ResourceId> = deleted.collect();
        violations.extend(constraints::state(&next, &deleted));
        if violations.is_empty() { Ok(next) } else { Err(violations) }
    }

    /// Returns the generation in which a resource was last changed.
    pub fn generation_of(&self, id: &ResourceId) -> Option<u64> {
        self.changed_at.get(id).copied()
    }

    /// Returns a resource in the form in which it is stored.
    pub fn stored(&self, id: &ResourceId) -> Option<DeclaredResource> {
        let resource = self.resources.get(id)?.clone();
        Some(DeclaredResource { generation: self.generation_of(id)?, resource })
    }

    /// Returns the resources named by `transaction` that differ from those of `before`.
    pub fn changed_from(&self, before: &Self, transaction: &Transaction) -> Vec<ResourceId> {
        let differs = |id: &ResourceId| self.resources.get(id) != before.resources.get(id);
        transaction.ids().into_iter().filter(differs).collect()
    }

    /// Returns the SHA-256 digest of kinds, names and generations, in hexadecimal.
    ///
    /// Commits are totally ordered, so a resource and the generation of its last change determine
    /// the content. The content itself is left out so that releases that serialise a field
    /// differently agree on the digest.
    pub fn digest(&self) -> String {
        let mut hasher = Sha256::new();
        for (id, generation) in &self.changed_at {
            hasher.update(format!("{id}@{generation}\n"));
        }
        hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    fn after(&self, transaction: &Transaction) -> Self {
        let mut next = self.clone();
        let generation = self.generation + 1;
        for change in &transaction.changes {
            match change {
                Change::Put(resource) if self.resources.get(&resource.id()) == Some(resource) => {}
                Change::Put(resource) => {
                    next.insert(DeclaredResource { generation, resource: resource.clone() });
                }
                Change::Delete(id) => next.remove(id),
            }
        }
        if next.resources != self.resources {
            next.generation = generation;
        }
        next
    }

    fn insert(&mut self, stored: DeclaredResource) {
        let id = stored.resource.id();
        self.changed_at.insert(id.clone(), stored.generation);
        self.resources.insert(id, stored.resource);
    }

    fn remove(&mut self, id: &ResourceId) {
        self.changed_at.remove(id);
        self.resources.remove(id);
    }

    fn verified(self, head: &Head) -> Result<Self, IncompleteState> {
        if self.digest() == head.digest { Ok(self) } else { Err(IncompleteState(head.generation)) }
    }
}

impl Violation {
    /// Creates the violation of a rule by a field of a resource.
    pub(super) fn of<F>(resource: &ResourceId, field: F, rule: Rule) -> Self
    where
        F: Into<String>,
    {
        Self { resource: Some(resource.clone()), field: field.into(), rule }
    }
}
