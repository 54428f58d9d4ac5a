//! The fleet, metrics and decisions as operators see them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use lacewingspring_core::{
    catalog::Catalog,
    key_index::KeyId,
    membership::{MemberState, View, ViewMember},
    resources::{ResourceId, ResourceKind},
};

use crate::{
    entry::{RunTable, StepReport},
    gates::{GateHost, GateReport},
    membership::{Fleet, watchers},
    metrics::{Metrics, MetricsReport},
    operators::{CallsView, Condition, Event, FleetView, InstanceState, InstanceView, RoleView},
    peers::GateId,
    platform::key_value::{KeyValue, Purpose},
    pool_control::PoolReports,
};

/// Parts of an instance whose state operators can read.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Fleet as this instance sees it.
    pub fleet: Arc<Fleet>,
    /// Metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Gates whose holder is this instance.
    pub gates: Arc<GateHost>,
    /// Runs at this instance.
    pub runs: Arc<RunTable>,
    /// Roll-outs of the engine pools, as their controllers reported them.
    pub pool_reports: Arc<PoolReports>,
    /// Client of the key-value service.
    pub store: KeyValue,
}

impl FleetView for NodeView {
    fn own(&self) -> InstanceView {
        let view = self.fleet.view();
        let own = self.fleet.own();
        let state = view.member(own.name.as_str()).map_or(InstanceState::Live, state);
        InstanceView {
            name: own.name.clone(),
            data_centre: own.data_centre.clone(),
            address: own.caller_address,
            state,
            generation: None,
            heartbeat_age: Some(Duration::ZERO),
        }
    }

    fn others(&self) -> Vec<InstanceView> {
        let view = self.fleet.view();
        let others = view.members.iter().filter(|member| member.name != view.own);
        others.filter(|member| member.state != MemberState::Gone).map(instance).collect()
    }

    fn roles(&self, catalog: &Catalog) -> Vec<RoleView> {
        let view = self.fleet.view();
        let mut roles = self.pool_reports.controllers();
        roles.extend(gate_roles(&view, catalog));
        roles.extend(watcher_roles(&view));
        roles.extend(limit_roles(&view, catalog));
        roles
    }

    fn conditions(&self, id: &ResourceId) -> Vec<Condition> {
        let pool = (id.kind == ResourceKind::EnginePool).then(|| self.pool_reports.condition(id));
        pool.flatten().into_iter().collect()
    }

    fn events(&self, id: &ResourceId) -> Vec<Event> {
        let is_pool = id.kind == ResourceKind::EnginePool;
        if is_pool { self.pool_reports.events(id) } else { Vec::new() }
    }

    fn metrics(&self) -> Option<MetricsReport> {
        Some(self.metrics.report(self.fleet.own().name.as_str()))
    }

    fn key_value_calls(&self) -> Vec<CallsView> {
        let counts = self.store.calls();
        let calls = |purpose: Purpose| CallsView {
            purpose: purpose.as_str(),
            calls: counts.for_purpose(purpose),
        };
        Purpose::ALL.map(calls).into()
    }

    fn gates(&self) -> Vec<GateReport> {
        self.gates.report()
    }

    fn explain(&self, id: &KeyId) -> Option<Vec<StepReport>> {
        self.runs.explain(id)
    }
}

/// Returns the holder of the gate of each pool and data centre.
fn gate_roles(view: &View, catalog: &Catalog) -> Vec<RoleView> {
    let mut gates = BTreeSet::new();
    for (pool, spec) in &catalog.pools {
        let centres = spec.upstreams.iter().map(|upstream| upstream.data_centre.clone());
        gates.extend(centres.map(|data_centre| GateId { pool: pool.clone(), data_centre }));
    }
    let gates = gates.into_iter().map(|gate| {
        let holder = view.holder(&gate, Some(&gate.data_centre));
        role(format!("gate {}@{}", gate.pool, gate.data_centre), holder)
    });
    gates.collect()
}

/// Returns the members of each data centre that watch the key-value service.
fn watcher_roles(view: &View) -> Vec<RoleView> {
    let centres: BTreeSet<_> = view.eligible().map(|member| &member.data_centre).collect();
    let watches = centres.into_iter().flat_map(|data_centre| {
        let watchers = watchers(view, data_centre).into_iter();
        watchers.map(move |member| role(format!("watch@{data_centre}"), Some(member)))
    });
    watches.collect()
}

/// Returns the home of the limits of each workspace.
fn limit_roles(view: &View, catalog: &Catalog) -> Vec<RoleView> {
    let workspaces: BTreeSet<_> = catalog.workspaces.keys().collect();
    let limits = workspaces.into_iter();
    limits.map(|name| role(format!("limits {name}"), view.holder(name, None))).collect()
}

fn role(role: String, holder: Option<&ViewMember>) -> RoleView {
    RoleView { role, holder: holder.map(|member| member.name.clone()) }
}

fn instance(member: &ViewMember) -> InstanceView {
    InstanceView {
        name: member.name.clone(),
        data_centre: member.data_centre.clone(),
        address: member.caller_address,
        state: state(member),
        generation: member.heartbeat_age.map(|_| member.applied_generation),
        heartbeat_age: member.heartbeat_age,
    }
}

fn state(member: &ViewMember) -> InstanceState {
    match member.state {
        MemberState::Live => InstanceState::Live,
        MemberState::Leaving => InstanceState::Leaving,
        MemberState::Suspect | MemberState::Gone => InstanceState::Suspect,
    }
}
