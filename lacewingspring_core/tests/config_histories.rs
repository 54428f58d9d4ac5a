//! Random histories of transactions: every accepted state fulfils the constraints, and a state that
//! lacks any write or removal of a commit does not match its head record.

use std::collections::HashSet;

use lacewingspring_core::{
    config::{Change, DeclaredResource, DeclaredState, Head, Transaction},
    resources::{Resource, ResourceId, ResourceKind, Spec},
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use serde_json::{Value, json};

/// Transactions over few names and values, so that they often refer to and conflict with each
/// other.
#[derive(Clone, Debug)]
struct History(Vec<Transaction>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = usize::arbitrary(g) % 40;
        Self((0..len).map(|_| transaction(g)).collect())
    }
}

fn transaction(g: &mut Gen) -> Transaction {
    let len = 1 + usize::arbitrary(g) % 3;
    Transaction { changes: (0..len).map(|_| change(g)).collect(), expect_generation: None }
}

fn change(g: &mut Gen) -> Change {
    let name = *g.choose(&["a", "b", "c"]).unwrap();
    let other = *g.choose(&["a", "b", "c"]).unwrap();
    let kind = *g.choose(&ResourceKind::ALL).unwrap();
    if u8::arbitrary(g).is_multiple_of(3) {
        return Change::Delete(ResourceId { kind, name: name.into() });
    }
    let digest = format!("{:064}", u8::arbitrary(g) % 4);
    let spec: Value = match kind {
        ResourceKind::Tier => json!({"rank": u8::arbitrary(g) % 4}),
        ResourceKind::EnginePool => json!({"type": "engine", "upstreams": []}),
        ResourceKind::Service => json!({"protocol": "completions", "pool": name, "tier": other,
            "idempotent": true}),
        ResourceKind::Workspace => json!({"credentials": [digest]}),
        ResourceKind::Operator => json!({"credentials": [digest], "role": "read"}),
    };
    let resource = json!({"name": name, "kind": kind, "spec": spec});
    Change::Put(serde_json::from_value::<Resource>(resource).unwrap())
}

/// Checks the main constraints independently of the implementation.
fn fulfils_constraints(declared: &DeclaredState) -> bool {
    let mut used = HashSet::new();
    let has =
        |kind, name: &str| declared.resources.contains_key(&ResourceId { kind, name: name.into() });
    let resources_are_valid = declared.resources.values().all(|resource| match &resource.spec {
        Spec::Tier(spec) => used.insert(format!("rank {}", spec.rank)),
        Spec::EnginePool(_) => true,
        Spec::Service(spec) => {
            has(ResourceKind::Tier, spec.tier.as_str())
                && has(ResourceKind::EnginePool, spec.pool.as_str())
        }
        Spec::Workspace(spec) => spec.credentials.iter().all(|text| used.insert(text.clone())),
        Spec::Operator(spec) => spec.credentials.iter().all(|text| used.insert(text.clone())),
    });
    resources_are_valid && declared.resources.keys().any(|id| id.kind == ResourceKind::Tier)
}

/// Returns the head record, writes and removals that a watch delivers for a commit.
fn commit_events(
    before: &DeclaredState,
    after: &DeclaredState,
) -> (Head, Vec<DeclaredResource>, Vec<ResourceId>) {
    let changed = |id: &&ResourceId| before.generation_of(id) != after.generation_of(id);
    let puts = after.resources.keys().filter(changed).map(|id| after.stored(id).unwrap());
    let deletes = before.resources.keys().filter(|id| !after.resources.contains_key(id));
    let head = Head {
        generation: after.generation,
        digest: after.digest(),
        changed: Vec::new(),
        nonce: 0,
        operator: String::new(),
        at_ms: 0,
    };
    (head, puts.collect(), deletes.cloned().collect())
}

quickcheck! {
    fn accepted_states_fulfil_the_constraints(history: History) -> bool {
        let mut declared = DeclaredState::default();
        history.0.iter().all(|transaction| match declared.apply(transaction) {
            Ok(next) => {
                let step = next.generation - declared.generation;
                let changed = next.resources != declared.resources;
                declared = next;
                fulfils_constraints(&declared) && step == u64::from(changed)
            }
            Err(violations) => !violations.is_empty(),
        })
    }

    fn state_that_lacks_an_event_is_rejected(history: History, lost_event: usize) -> bool {
        let mut declared = DeclaredState::default();
        for transaction in &history.0 {
            let Ok(next) = declared.apply(transaction) else { continue };
            let (head, puts, deletes) = commit_events(&declared, &next);
            if declared.advance(&head, puts.clone(), deletes.clone()) != Ok(next.clone()) {
                return false;
            }
            let total = puts.len() + deletes.len();
            if total > 0 {
                let lost = lost_event % total;
                let keep = |i: usize| i != lost;
                let some_puts = puts.iter().enumerate().filter(|(i, _)| keep(*i));
                let some_deletes =
                    deletes.iter().enumerate().filter(|(i, _)| keep(puts.len() + *i));
                let partial = declared.advance(
                    &head,
                    some_puts.map(|(_, put)| put.clone()),
                    some_deletes.map(|(_, id)| id.clone()),
                );
                if partial.is_ok() {
                    return false;
                }
            }
            declared = next;
        }
        true
    }
}
