//! Status of the fleet and the call that waits until a generation is in force.

use std::{net::SocketAddr, time::Duration};

use lacewingspring_core::{
    error::ErrorKind,
    names::{DataCentreName, InstanceName},
};
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::{
    Operators,
    fleet::{CallsView, FleetView, InstanceState, InstanceView, RoleView},
    problem::Failure,
    query::Query,
    reply::OperatorReply,
};

/// Poll interval of a wait.
const WAIT_POLL: Duration = Duration::from_millis(50);

/// Timeout of a wait that sets none, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// Longest timeout of a wait, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

#[derive(Serialize)]
struct FleetStatus {
    instance: InstanceName,
    data_centre: DataCentreName,
    generation: u64,
    instances: Vec<InstanceStatus>,
    roles: Vec<RoleView>,
    key_value_calls: Vec<CallsView>,
}

#[derive(Serialize)]
struct InstanceStatus {
    name: InstanceName,
    data_centre: DataCentreName,
    address: SocketAddr,
    state: InstanceState,
    generation: Option<u64>,
    heartbeat_age_ms: Option<u64>,
}

#[derive(Serialize)]
struct WaitResult {
    in_force: bool,
    generation: u64,
    laggards: Vec<Laggard>,
}

/// An instance that isn't known to apply the generation asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Laggard {
    /// Name of the instance.
    pub(super) instance: InstanceName,
    /// Generation that it applies; `None` if unknown.
    pub(super) generation: Option<u64>,
}

impl From<InstanceView> for InstanceStatus {
    fn from(view: InstanceView) -> Self {
        Self {
            name: view.name,
            data_centre: view.data_centre,
            address: view.address,
            state: view.state,
            generation: view.generation,
            heartbeat_age_ms: view.heartbeat_age.map(|age| age.as_millis() as u64),
        }
    }
}

impl<F> Operators<F>
where
    F: FleetView,
{
    pub(super) fn status(&self) -> OperatorReply {
        let own = self.fleet.own();
        OperatorReply::json(&FleetStatus {
            instance: own.name,
            data_centre: own.data_centre,
            generation: self.declared.generation(),
            instances: self.instances().into_iter().map(InstanceStatus::from).collect(),
            roles: self.fleet.roles(&self.declared.catalog()),
            key_value_calls: self.fleet.key_value_calls(),
        })
    }

    pub(super) async fn wait(&self, query: Query<'_>) -> Result<OperatorReply, Failure> {
        let missing = || Failure::new(ErrorKind::Malformed).with_detail("`generation` is missing.");
        let generation: u64 = query.parse("generation")?.ok_or_else(missing)?;
        let limit = query.parse("timeout_ms")?.unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
        let in_force = async {
            while !self.laggards(generation).is_empty() {
                sleep(WAIT_POLL).await;
            }
        };
        // A timeout is no error: the reply then names the laggards.
        let _ = timeout(Duration::from_millis(limit), in_force).await;
        let laggards = self.laggards(generation);
        let in_force = laggards.is_empty();
        Ok(OperatorReply::json(&WaitResult { in_force, generation, laggards }))
    }

    /// Returns the instances that aren't known to apply a generation.
    pub(super) fn laggards(&self, generation: u64) -> Vec<Laggard> {
        let lagging = |view: &InstanceView| view.generation < Some(generation);
        let laggards = self.instances().into_iter().filter(lagging);
        laggards.map(|it| Laggard { instance: it.name, generation: it.generation }).collect()
    }

    /// Returns all instances, sorted by name; this one with the generation in force.
    fn instances(&self) -> Vec<InstanceView> {
        let generation = self.declared.loaded().then(|| self.declared.generation());
        let own = InstanceView { generation, ..self.fleet.own() };
        let mut instances = self.fleet.others();
        instances.push(own);
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        instances
    }
}
