//! Metric of the upstream time that workspaces were granted, at the gate.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use lacewingspring_core::names::WorkspaceName;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use super::series::{OTHER_WORKSPACES, OwnSeries};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    /// Empty for requests without a workspace.
    workspace: String,
}

/// Upstream time by workspace.
#[derive(Default)]
pub(super) struct ShareMetrics {
    own_series: OwnSeries<WorkspaceLabels>,
    /// Upstream time at the last update. The dispatcher forgets that of workspaces that are no
    /// longer declared, and a counter must not fall.
    last: Mutex<BTreeMap<Option<WorkspaceName>, Duration>>,
    granted: Family<WorkspaceLabels, Counter<f64, AtomicU64>>,
}

impl ShareMetrics {
    /// Registers the metric.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "granted_upstream_seconds",
            "Upstream time of runs that ended, in services with shares, at the gate",
            self.granted.clone(),
        );
    }

    /// Adds what was granted since the last update.
    pub fn update(&self, granted: &BTreeMap<Option<WorkspaceName>, Duration>) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        for (workspace, time) in granted {
            let before = last.get(workspace).copied().unwrap_or_default();
            // Less than before is granted to a workspace that was declared again.
            let added = time.checked_sub(before).unwrap_or(*time);
            let name = workspace.as_ref().map_or("", WorkspaceName::as_str);
            let mut labels = WorkspaceLabels { workspace: name.to_owned() };
            if !self.own_series.admit(&labels) {
                OTHER_WORKSPACES.clone_into(&mut labels.workspace);
            }
            self.granted.get_or_create(&labels).inc_by(added.as_secs_f64());
        }
        last.clone_from(granted);
    }
}
