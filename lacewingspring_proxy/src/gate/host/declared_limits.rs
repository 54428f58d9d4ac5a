//! Limits of workspaces by the latest configuration that the gate or an instance linked to it has.
//!
//! The key-value service may turn the gate away while it serves other instances. So each slot
//! request tells the limit of its workspace.

use std::collections::HashMap;

use lacewingspring_core::{
    dispatch::{Limits, SlotRequest},
    names::WorkspaceName,
};
use log::info;

use super::State;
use crate::gate::message::DeclaredQuota;

/// Version of the gate's own configuration, and limits that instances told by later ones.
#[derive(Debug, Default)]
pub(super) struct DeclaredLimits {
    /// 0 before the gate has a configuration.
    version: u64,
    later: HashMap<WorkspaceName, DeclaredQuota>,
}

impl DeclaredLimits {
    /// Notes the version of the gate's own configuration, and adds the limits of later ones to
    /// those of its own.
    fn set_own(&mut self, version: u64, limits: &mut Limits) {
        self.version = version;
        self.later.retain(|_, later| later.version > version);
        let later = self.later.iter().map(|(workspace, later)| (workspace.clone(), later.quota));
        limits.quotas.quotas.extend(later);
    }

    /// Notes what an instance told; returns whether it is later than what is known.
    fn learn(&mut self, workspace: &WorkspaceName, told: DeclaredQuota) -> bool {
        let known = self.later.get(workspace).map_or(self.version, |known| known.version);
        let is_later = told.version > known;
        if is_later {
            self.later.insert(workspace.clone(), told);
        }
        is_later
    }
}

impl State {
    /// Replaces the limits of the gate's own configuration.
    pub(super) fn set_limits(&mut self, version: u64, mut limits: Limits) {
        self.declared_limits.set_own(version, &mut limits);
        self.dispatcher.set_limits(limits);
    }

    /// Applies the limit of a request's workspace if the instance of the request knows a later one.
    pub(super) fn apply_told_limit(&mut self, request: &SlotRequest, told: Option<DeclaredQuota>) {
        let (Some(workspace), Some(told)) = (&request.workspace, told) else { return };
        // Without a configuration of its own, the gate does not know in which window limits count.
        let is_changed = self.declared_limits.learn(workspace, told)
            && self.declared_limits.version > 0
            && self.dispatcher.set_quota(workspace, told.quota);
        if !is_changed {
            return;
        }
        info!(
            workspace = workspace.as_str(), version = told.version,
            own_version = self.declared_limits.version, rate = told.quota.rate.unwrap_or_default(),
            burst = told.quota.burst;
            "An instance knows a later limit of a workspace than the gate; the gate keeps to it."
        );
    }
}
