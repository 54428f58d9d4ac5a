//! Shares of the workspaces in each service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Dispatcher, finding::Finding, pool::Pool, workspace_shares::ShareConfig};
use crate::names::{ServiceName, WorkspaceName};

impl Dispatcher {
    /// Keeps shares for all services from now on, also for those whose upstreams do not report
    /// their load with a pace.
    pub fn enable_shares(&mut self) {
        self.set_share_config(self.share_config.with_shares_enabled());
    }

    /// Derives the weights of the workspaces from their declared limits.
    pub(super) fn update_weights(&mut self) {
        self.set_share_config(self.share_config.with_quotas(self.quotas.declared()));
    }

    fn set_share_config(&mut self, config: ShareConfig) {
        self.share_config = Arc::new(config);
        for pool in self.pools.values_mut() {
            pool.set_share_config(self.share_config.clone());
        }
    }

    /// Returns the scheduler of a service, which is created if there is none.
    pub(super) fn pool(&mut self, service: &ServiceName) -> &mut Pool {
        let create = || Pool::new(self.fleet_share, self.share_config.clone());
        self.pools.entry(service.clone()).or_insert_with(create)
    }

    /// Returns the refusals since the last call in services with shares.
    pub(super) fn take_share_refusals(&mut self) -> Vec<Finding> {
        let refusals = self.pools.iter_mut().flat_map(|(service, pool)| {
            let refusals = pool.take_share_refusals().into_iter();
            refusals.map(|refusal| Finding::RefusedUnderShares {
                service: service.clone(),
                ticket: refusal.ticket,
                share_use: refusal.share_use,
            })
        });
        refusals.collect()
    }

    /// Returns the upstream time of the runs that ended in services with shares, by workspace;
    /// `None` stands for requests without one.
    pub fn granted_time(&self) -> BTreeMap<Option<WorkspaceName>, Duration> {
        let mut granted: BTreeMap<Option<WorkspaceName>, Duration> = BTreeMap::new();
        for (workspace, time) in self.pools.values().flat_map(Pool::granted_time) {
            *granted.entry(workspace.cloned()).or_default() += time;
        }
        granted
    }
}
