//! Metric of the upstream time that workspaces were granted, at the gate.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use lacewingspring_core::names::WorkspaceName;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use super::{MAX_SERIES, OTHER_WORKSPACES};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    /// Empty for requests without a workspace.
    workspace: String,
}

/// Upstream time by workspace. The first [`MAX_SERIES`] labels, the empty one included, have series
/// of their own.
#[derive(Default)]
pub(super) struct ShareMetrics {
    known: Mutex<HashSet<String>>,
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
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        for (workspace, time) in granted {
            let before = last.get(workspace).copied().unwrap_or_default();
            // Less than before is granted to a workspace that was declared again.
            let added = time.checked_sub(before).unwrap_or(*time);
            let name = workspace.as_ref().map_or("", WorkspaceName::as_str);
            if known.len() < MAX_SERIES {
                known.insert(name.to_owned());
            }
            let label = if known.contains(name) { name } else { OTHER_WORKSPACES };
            let labels = WorkspaceLabels { workspace: label.to_owned() };
            self.granted.get_or_create(&labels).inc_by(added.as_secs_f64());
        }
        last.clone_from(granted);
    }
}
