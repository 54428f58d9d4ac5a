//! Pool controllers: each managed engine pool has one, on one instance, under a lease.
//!
//! The instance is the holder of the role in the view of the fleet. Views may differ, so the lease
//! in the key-value service decides; its fencing number goes with each order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use lacewingspring_core::{
    names::PoolName,
    pool_control::Target,
    resources::{ResourceId, ResourceKind},
};
use rand::RngExt;
use tokio::{
    task::JoinHandle,
    time::{interval, sleep},
};

pub use self::reports::PoolReports;
use crate::{
    clock,
    daemon::Node,
    peers::{PoolCall, PoolReply},
    platform::key_value::{KeyValue, Purpose},
};

mod controller;
mod observe;
mod reports;
mod slots;
mod tenure;

/// Time between two looks at which pools this instance controls.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);

/// Role of the controller of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolRole(PoolName);

/// Runs a controller for each pool whose role this instance holds, for ever.
pub async fn control_pools(node: Arc<Node>) {
    let mut running: BTreeMap<PoolName, JoinHandle<()>> = BTreeMap::new();
    let mut ticks = interval(ROLE_INTERVAL);
    loop {
        ticks.tick().await;
        running.retain(|_, controller| !controller.is_finished());
        for pool in own_pools(&node) {
            let start = || tokio::spawn(controller::run(node.clone(), pool.clone()));
            running.entry(pool.clone()).or_insert_with(start);
        }
    }
}

/// Answers a message of a pool controller.
pub fn serve(node: &Node, call: PoolCall) -> PoolReply {
    match call {
        PoolCall::Close(close) => {
            PoolReply::Running(node.gates.close(clock::now(), &node.catalog(), close))
        }
        PoolCall::Report(report) => {
            node.pool_reports.take(report);
            PoolReply::Done
        }
    }
}

fn own_pools(node: &Node) -> BTreeSet<PoolName> {
    let catalog = node.catalog();
    let managed = catalog.pools.iter().filter(|(_, spec)| spec.managed);
    managed.map(|(pool, _)| pool.clone()).filter(|pool| is_own(node, pool)).collect()
}

/// Returns whether this instance holds the role of the pool's controller.
fn is_own(node: &Node, pool: &PoolName) -> bool {
    let view = node.fleet.view();
    let holder = view.holder(&PoolRole(pool.clone()), None);
    !node.leaving() && holder.is_some_and(|holder| holder.name == node.settings.instance)
}

/// Returns the client of the key-value service whose calls are counted for controllers.
fn store(node: &Node) -> KeyValue {
    node.store.with_purpose(Purpose::Lease)
}

/// Returns what a pool declares now; none when its engines get no orders.
fn target(node: &Node, pool: &PoolName) -> Option<Target> {
    let snapshot = node.declared.snapshot();
    let id = ResourceId { kind: ResourceKind::EnginePool, name: pool.to_string() };
    let generation = snapshot.declared.generation_of(&id)?;
    Target::from_pool(node.catalog().pools.get(pool)?, generation)
}

/// Sleeps for three quarters of a time to the whole of it, so that controllers spread.
async fn sleep_jittered(time: Duration) {
    let part = rand::rng().random_range(0.75..=1.0);
    sleep(time.mul_f64(part)).await;
}
