//! Differences between two declared states, field by field.

use std::collections::BTreeMap;

use serde::{Serialize, Serializer};
use serde_json::Value;

use super::{declared::DeclaredState, transaction::Transaction};
use crate::resources::{Resource, ResourceId};

/// Effect of a transaction on one resource.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResourceDiff {
    /// Resource that the transaction names.
    #[serde(serialize_with = "text")]
    pub resource: ResourceId,
    /// Kind of the effect.
    pub action: DiffAction,
    /// Fields that differ, sorted by path.
    pub fields: Vec<FieldDiff>,
}

/// Kind of effect on a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiffAction {
    /// The resource is created.
    Create,
    /// Some fields of the resource change.
    Change,
    /// The resource is removed.
    Delete,
    /// The resource stays unchanged.
    None,
}

/// One field that differs. The value is null on a side that lacks the field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldDiff {
    /// Path of the field, such as `spec.limits.concurrency`.
    pub path: String,
    /// Value before the transaction.
    pub before: Value,
    /// Value after the transaction.
    pub after: Value,
}

/// Returns the effect of `transaction` on each resource that it names.
pub fn diff(
    before: &DeclaredState,
    after: &DeclaredState,
    transaction: &Transaction,
) -> Vec<ResourceDiff> {
    let ids = transaction.ids().into_iter();
    ids.map(|id| resource_diff(before.resources.get(&id), after.resources.get(&id), id)).collect()
}

fn resource_diff(
    before: Option<&Resource>,
    after: Option<&Resource>,
    resource: ResourceId,
) -> ResourceDiff {
    let action = match (before, after) {
        (None, Some(_)) => DiffAction::Create,
        (Some(_), None) => DiffAction::Delete,
        (before, after) if before == after => DiffAction::None,
        _ => DiffAction::Change,
    };
    ResourceDiff { resource, action, fields: field_diffs(&leaves(before), &leaves(after)) }
}

fn field_diffs(
    before: &BTreeMap<String, Value>,
    after: &BTreeMap<String, Value>,
) -> Vec<FieldDiff> {
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let value = |leaves: &BTreeMap<String, Value>, path| leaves.get(path).cloned();
    let fields = paths.into_iter().map(|path| FieldDiff {
        path: path.clone(),
        before: value(before, path).unwrap_or_default(),
        after: value(after, path).unwrap_or_default(),
    });
    fields.filter(|field| field.before != field.after).collect()
}

/// Returns the scalar values of a resource's spec by path.
fn leaves(resource: Option<&Resource>) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    if let Some(Ok(Value::Object(fields))) = resource.map(serde_json::to_value) {
        let spec = fields.into_iter().find(|(name, _)| name == "spec");
        if let Some((name, spec)) = spec {
            collect_leaves(name, spec, &mut leaves);
        }
    }
    leaves
}

fn collect_leaves(path: String, value: Value, leaves: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                collect_leaves(format!("{path}.{name}"), value, leaves);
            }
        }
        Value::Array(items) => {
            for (i, value) in items.into_iter().enumerate() {
                collect_leaves(format!("{path}[{i}]"), value, leaves);
            }
        }
        value => {
            leaves.insert(path, value);
        }
    }
}

fn text<S>(id: &ResourceId, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(id)
}
