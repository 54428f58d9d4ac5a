//! The fleet, metrics and decisions as operators see them.

use std::sync::Arc;

use crate::{
    entry::{RunId, RunTable, StepReport},
    membership::{Fleet, Member},
    metrics::{Metrics, MetricsReport},
    operators::{FleetView, InstanceState, InstanceView},
};

/// What one instance shows to operators.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Fleet as this instance sees it.
    pub fleet: Arc<Fleet>,
    /// Metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Runs of this instance.
    pub runs: Arc<RunTable>,
}

impl FleetView for NodeView {
    fn own(&self) -> InstanceView {
        view(self.fleet.own())
    }

    fn others(&self) -> Vec<InstanceView> {
        let own = &self.fleet.own().name;
        self.fleet.members().iter().filter(|member| member.name != *own).map(view).collect()
    }

    fn metrics(&self) -> Option<MetricsReport> {
        Some(self.metrics.report(self.fleet.own().name.as_str()))
    }

    fn explain(&self, id: &RunId) -> Option<Vec<StepReport>> {
        self.runs.explain(id)
    }
}

fn view(member: &Member) -> InstanceView {
    InstanceView {
        name: member.name.clone(),
        data_centre: member.data_centre.clone(),
        address: member.callers,
        state: if member.leaving { InstanceState::Leaving } else { InstanceState::Live },
        generation: None,
        heartbeat_age: None,
    }
}
