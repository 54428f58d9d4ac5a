//! Reads of declared resources with their conditions and events.

use lacewingspring_core::{
    error::ErrorKind,
    resources::{Resource, ResourceId, ResourceKind},
};
use serde::Serialize;

use super::{
    Operators,
    fleet::{Condition, ConditionStatus, Event, FleetView},
    problem::Failure,
    query::Query,
    reply::OperatorReply,
    status::Laggard,
};
use crate::declared::Snapshot;

#[derive(Serialize)]
struct ResourceList<'a> {
    generation: u64,
    resources: Vec<&'a Resource>,
}

#[derive(Serialize)]
struct ResourceDetail<'a> {
    resource: &'a Resource,
    /// Generation that last changed the resource.
    generation: u64,
    status: ResourceStatus,
    events: Vec<Event>,
}

#[derive(Serialize)]
struct ResourceStatus {
    conditions: Vec<Condition>,
}

impl<F> Operators<F>
where
    F: FleetView,
{
    pub(super) fn list(&self, query: Query<'_>) -> Result<OperatorReply, Failure> {
        self.require_loaded()?;
        let kind: Option<ResourceKind> = query.parse("kind")?;
        let snapshot = self.declared.snapshot();
        let resources = snapshot.declared.resources.iter();
        let resources = resources.filter(|(id, _)| kind.is_none_or(|kind| id.kind == kind));
        let resources = resources.map(|(_, resource)| resource).collect();
        let generation = snapshot.generation();
        Ok(OperatorReply::json(&ResourceList { generation, resources }))
    }

    pub(super) fn describe(&self, kind: &str, name: &str) -> Result<OperatorReply, Failure> {
        self.require_loaded()?;
        let absent = || Failure::new(ErrorKind::NotFound);
        let kind: ResourceKind = kind.parse().map_err(|_| absent())?;
        let id = ResourceId { kind, name: name.to_owned() };
        let snapshot = self.declared.snapshot();
        let resource = snapshot.declared.resources.get(&id).ok_or_else(absent)?;
        let generation = snapshot.declared.generation_of(&id).ok_or_else(absent)?;
        let mut conditions = vec![in_force(generation, &self.laggards(generation))];
        conditions.extend(self.fleet.conditions(&id));
        let mut events = commits(&snapshot, &id);
        events.extend(self.fleet.events(&id));
        events.sort_by_key(|event| event.at);
        let status = ResourceStatus { conditions };
        Ok(OperatorReply::json(&ResourceDetail { resource, generation, status, events }))
    }
}

/// Returns the `InForce` condition: whether every instance applies the resource's last change.
fn in_force(generation: u64, laggards: &[Laggard]) -> Condition {
    let names: Vec<&str> = laggards.iter().map(|laggard| laggard.instance.as_str()).collect();
    if names.is_empty() {
        let message = format!("Every instance applies generation {generation}.");
        return Condition {
            kind: "InForce",
            status: ConditionStatus::True,
            reason: "AppliedEverywhere",
            message,
        };
    }
    let message = format!("Generation {generation} is not applied by {} yet.", names.join(", "));
    Condition { kind: "InForce", status: ConditionStatus::False, reason: "Laggards", message }
}

/// Returns the commits that changed a resource, as far as their records are kept.
fn commits(snapshot: &Snapshot, id: &ResourceId) -> Vec<Event> {
    let records = snapshot.history.values().filter(|head| head.changed.contains(id));
    let events = records.map(|head| Event {
        at: head.at_ms,
        reason: "Committed",
        message: format!("{} changed it in generation {}.", head.operator, head.generation),
    });
    events.collect()
}
