//! Fleet-wide limits of workspaces, which homes grant to entries in shares.
//!
//! Each instance requests a share from the home of each declared workspace before requests arrive,
//! so that a request is admitted without a round trip.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{catalog::Catalog, limits::ShareConfig, names::WorkspaceName};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock,
    daemon::Node,
    peers::{Message, ShareCall, ShareReply},
};

pub use self::admission::{Arrival, Slot};

use self::{admission::WorkspaceLimiters, home::ShareHome};

mod admission;
mod collect;
mod home;

/// Interval at which due demands for shares are sent.
const TICK: Duration = Duration::from_millis(25);

/// Number of ticks between two checks of which workspaces have this instance as home.
const TICKS_PER_REFRESH: u64 = 10;

/// Longest wait for the reply of a home.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of all workspaces, at this instance as home and as entry.
#[derive(Debug)]
pub struct Limits {
    home: ShareHome,
    limiters: WorkspaceLimiters,
}

impl Limits {
    /// Creates limits without any workspace.
    pub fn new() -> Self {
        let cfg = ShareConfig::default();
        Self { home: ShareHome::new(cfg.clone()), limiters: WorkspaceLimiters::new(cfg) }
    }

    /// Returns the limiters that admit requests at this entry.
    pub fn limiters(&self) -> &WorkspaceLimiters {
        &self.limiters
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}

/// Renews the shares of all declared workspaces, and refreshes the ledgers of those whose home is
/// this instance.
pub async fn renew_shares(node: Arc<Node>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changes = node.fleet.changes();
    for tick in 0_u64.. {
        ticks.tick().await;
        let changed = changes.has_changed().unwrap_or_default();
        if changed {
            changes.mark_unchanged();
            node.limits.limiters.renew_soon();
        }
        let catalog = node.catalog();
        // A refresh looks up the home of each workspace, which costs more as the fleet grows.
        if changed || tick.is_multiple_of(TICKS_PER_REFRESH) {
            refresh(&node, &catalog);
        }
        for workspace in catalog.workspaces.keys() {
            request_share_if_due(&node, workspace);
        }
    }
}

fn refresh(node: &Arc<Node>, catalog: &Catalog) {
    node.limits.limiters.retain(|workspace| catalog.workspaces.contains_key(workspace));
    for term in node.limits.home.refresh(clock::now(), node, catalog) {
        tokio::spawn(collect::collect_reports(node.clone(), term));
    }
}

/// Answers a call of another instance about shares.
pub fn serve(node: &Node, call: ShareCall) -> ShareReply {
    let now = clock::now();
    match call {
        ShareCall::Request { workspace, instance, incarnation, demand } => {
            let share =
                node.limits.home.grant(now, node, &workspace, &instance, incarnation, demand);
            share.map_or(ShareReply::NotHome, ShareReply::Granted)
        }
        ShareCall::Report { workspace } => {
            node.limits.home.give_up(&workspace);
            let demand = node.limits.limiters.of(now, &workspace).report(now);
            ShareReply::Held { incarnation: node.incarnation, demand }
        }
    }
}

/// Sends the demand for a share to the home of a workspace if one is due.
pub(crate) fn request_share_if_due(node: &Arc<Node>, workspace: &WorkspaceName) {
    let now = clock::now();
    let limiter = node.limits.limiters.of(now, workspace);
    let Some(demand) = limiter.poll_demand(now) else { return };
    let Some(home) = home::holder(node, workspace) else { return };
    let call = ShareCall::Request {
        workspace: workspace.clone(),
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        demand,
    };
    let (node, workspace) = (node.clone(), workspace.clone());
    tokio::spawn(async move {
        let reply = node.peers.call(&home, Message::Share(call), CALL_TIMEOUT).await;
        if let Ok(Message::ShareReply(ShareReply::Granted(share))) = reply {
            let catalog = node.catalog();
            let limits = catalog.workspaces.get(&workspace).map(|spec| &spec.limits);
            limiter.apply_share(clock::now(), share, limits);
        }
    });
}
