//! All resources of one generation.

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

/// All resources of one generation. It changes only by a checked transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredState {
    /// Number of commits that led here.
    pub generation: u64,
    /// Resources by kind and name.
    pub resources: BTreeMap<ResourceId, Resource>,
    /// Generation of the last change of each resource.
    changed_at: BTreeMap<ResourceId, u64>,
}

/// A resource with the generation of its last change, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclaredResource {
    /// Generation of the last change.
    pub generation: u64,
    /// The resource.
    pub resource: Resource,
}

/// The resources are not those that the head record was written with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the resources do not match the head record of generation {0}")]
pub struct IncompleteState(pub u64);

impl DeclaredState {
    /// Assembles stored resources; an error when they are not the state of `head`.
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

    /// Applies what one commit wrote and removed; an error when something is missing.
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

    /// Returns the state after `transaction`, or every constraint that it would break.
    ///
    /// The generation grows by one unless nothing changes.
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

    /// Returns the generation of the last change of a resource.
    pub fn generation_of(&self, id: &ResourceId) -> Option<u64> {
        self.changed_at.get(id).copied()
    }

    /// Returns a resource as it is stored.
    pub fn stored(&self, id: &ResourceId) -> Option<DeclaredResource> {
        let resource = self.resources.get(id)?.clone();
        Some(DeclaredResource { generation: self.generation_of(id)?, resource })
    }

    /// Returns the resources of `transaction` that differ from `before`.
    pub fn changed_from(&self, before: &Self, transaction: &Transaction) -> Vec<ResourceId> {
        let differs = |id: &ResourceId| self.resources.get(id) != before.resources.get(id);
        transaction.ids().into_iter().filter(differs).collect()
    }

    /// Returns the SHA-256 digest of names and generations, in hexadecimal.
    ///
    /// Commits are in one order, so a resource and the generation of its last change determine
    /// the content; releases that write a field differently still agree.
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
    /// Names a broken constraint of a resource.
    pub(super) fn of<F>(resource: &ResourceId, field: F, rule: Rule) -> Self
    where
        F: Into<String>,
    {
        Self { resource: Some(resource.clone()), field: field.into(), rule }
    }
}
