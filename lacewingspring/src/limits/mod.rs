//! Limits of workspaces over the fleet: shares asked for, given out and used.
//!
//! Each instance asks the home of each declared workspace for a share ahead of the requests, so
//! that a request is admitted without a round trip.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{catalog::Catalog, limits::ShareConfig, names::WorkspaceName};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock,
    daemon::Node,
    peers::{Message, ShareCall, ShareReply},
};

pub use self::usage::{Arrival, Slot};

use self::{home::ShareHome, usage::WorkspaceLimiters};

mod home;
mod learn;
mod usage;

/// Time between two looks at which shares are due.
const TICK: Duration = Duration::from_millis(25);

/// Ticks between two looks at which ledgers this instance holds.
const TICKS_PER_REFRESH: u64 = 10;

/// Longest wait for the answer of a home.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Both sides of the limits at this instance.
#[derive(Debug)]
pub struct Limits {
    home: ShareHome,
    limiters: WorkspaceLimiters,
}

impl Limits {
    /// Creates both sides without any workspace.
    pub fn new() -> Self {
        let cfg = ShareConfig::default();
        Self { home: ShareHome::new(cfg.clone()), limiters: WorkspaceLimiters::new(cfg) }
    }

    /// Returns the use of the limits at this entry.
    pub fn limiters(&self) -> &WorkspaceLimiters {
        &self.limiters
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}

/// Keeps the shares of all declared workspaces fresh, and the ledgers of those whose home this
/// instance is.
pub async fn keep_shares(node: Arc<Node>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changes = node.fleet.changes();
    for tick in 0_u64.. {
        ticks.tick().await;
        let changed = changes.has_changed().unwrap_or_default();
        if changed {
            changes.mark_unchanged();
            node.limits.limiters.ask_soon();
        }
        let catalog = node.catalog();
        // It looks up the home of each workspace, which costs more as the fleet grows.
        if changed || tick.is_multiple_of(TICKS_PER_REFRESH) {
            refresh(&node, &catalog);
        }
        for workspace in catalog.workspaces.keys() {
            ask_if_due(&node, workspace);
        }
    }
}

fn refresh(node: &Arc<Node>, catalog: &Catalog) {
    node.limits.limiters.retain(|workspace| catalog.workspaces.contains_key(workspace));
    for term in node.limits.home.refresh(clock::now(), node, catalog) {
        tokio::spawn(learn::learn(node.clone(), term));
    }
}

/// Answers a question about shares.
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

/// Asks the home of a workspace for a share when it is time.
pub(crate) fn ask_if_due(node: &Arc<Node>, workspace: &WorkspaceName) {
    let now = clock::now();
    let used = node.limits.limiters.of(now, workspace);
    let Some(demand) = used.ask(now) else { return };
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
            used.granted(clock::now(), share, limits);
        }
    });
}
