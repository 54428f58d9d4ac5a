//! Pool controllers: one instance, elected by a lease, rolls out the weights of each managed pool.
//!
//! The candidate is the holder of the pool's role in the local view of the fleet. Views of
//! instances may differ, so the lease in the key-value service decides, and each order carries the
//! lease's fencing number.

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

/// Interval at which this instance checks which pools it must control.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);

/// Role of a pool's controller, hashed to find its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolRole(PoolName);

/// Runs a controller for each pool whose role this instance holds. Never returns.
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

/// Handles a message from a pool controller.
pub fn serve(node: &Node, call: PoolCall) -> PoolReply {
    match call {
        PoolCall::Close(close) => {
            PoolReply::Running(node.gates.close(clock::now(), &node.catalog(), close))
        }
        PoolCall::Report(report) => {
            node.pool_reports.record(report);
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
    !node.is_leaving() && holder.is_some_and(|holder| holder.name == node.settings.instance)
}

/// Returns a key-value client whose calls are counted under [`Purpose::Lease`].
fn store(node: &Node) -> KeyValue {
    node.store.with_purpose(Purpose::Lease)
}

/// Returns the declared target of a pool; `None` if the pool doesn't exist or isn't managed.
fn target(node: &Node, pool: &PoolName) -> Option<Target> {
    let snapshot = node.declared.snapshot();
    let id = ResourceId { kind: ResourceKind::EnginePool, name: pool.to_string() };
    let generation = snapshot.declared.generation_of(&id)?;
    Target::from_pool(node.catalog().pools.get(pool)?, generation)
}

/// Sleeps for 75 % to 100 % of a duration, so that controllers don't act in step.
async fn sleep_jittered(max: Duration) {
    let fraction = rand::rng().random_range(0.75..=1.0);
    sleep(max.mul_f64(fraction)).await;
}
