//! Observations of a round: the state of each engine and the open runs on closed engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use lacewingspring_core::{
    names::{DataCentreName, PoolName, UpstreamName},
    pool_control::Observation,
    resources::{EnginePoolSpec, UpstreamSpec},
};
use tokio::task::JoinSet;

use crate::{
    daemon::Node,
    peers::{CloseUpstreams, GateId, Message, PoolCall, PoolReply},
    upstreams::orders,
};

/// Timeout of a call to the instance that holds a gate.
const GATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Parses the address of an upstream.
pub(super) fn address(spec: &UpstreamSpec) -> Option<SocketAddr> {
    spec.address.parse().ok()
}

/// Reads the state of every engine of a pool concurrently.
pub(super) async fn engines(spec: &EnginePoolSpec) -> Vec<Observation> {
    let mut reads = JoinSet::new();
    for upstream in spec.upstreams.iter().cloned() {
        reads.spawn(async move {
            let state = match address(&upstream) {
                Some(address) => orders::read_state(address).await,
                None => None,
            };
            let UpstreamSpec { name, checks_fencing, leaving, .. } = upstream;
            Observation { upstream: name, checks_fencing, leaving, state, running: None }
        });
    }
    let mut observations = reads.join_all().await;
    observations.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    observations
}

/// Engines that the gates of a pool must not dispatch to, by data centre.
///
/// A data centre stays in the map with an empty set until its gate has confirmed that all its
/// engines are open again.
#[derive(Debug, Default)]
pub(super) struct ClosedEngines {
    by_data_centre: BTreeMap<DataCentreName, BTreeSet<UpstreamName>>,
}

impl ClosedEngines {
    /// Sends the closed engines to the gates; returns the number of open runs on each of them.
    pub(super) async fn update(
        &mut self,
        node: &Arc<Node>,
        pool: &PoolName,
        spec: &EnginePoolSpec,
        fencing: u64,
        closed: &BTreeSet<UpstreamName>,
    ) -> BTreeMap<UpstreamName, u32> {
        for upstreams in self.by_data_centre.values_mut() {
            upstreams.clear();
        }
        for upstream in spec.upstreams.iter().filter(|it| closed.contains(&it.name)) {
            let names = self.by_data_centre.entry(upstream.data_centre.clone()).or_default();
            names.insert(upstream.name.clone());
        }
        let mut running = BTreeMap::new();
        let mut opened = Vec::new();
        for (data_centre, upstreams) in &self.by_data_centre {
            let gate = GateId { pool: pool.clone(), data_centre: data_centre.clone() };
            let close = CloseUpstreams { gate, fencing, upstreams: upstreams.clone() };
            let Some(runs) = update_gate(node, close).await else { continue };
            running.extend(runs);
            if upstreams.is_empty() {
                opened.push(data_centre.clone());
            }
        }
        self.by_data_centre.retain(|data_centre, _| !opened.contains(data_centre));
        running
    }
}

/// Sends the closed engines to one gate; `None` if it doesn't answer or doesn't know the open runs
/// yet.
async fn update_gate(node: &Arc<Node>, close: CloseUpstreams) -> Option<Vec<(UpstreamName, u32)>> {
    let holder = node.fleet.gate_holder(&close.gate)?;
    let call = Message::Pool(PoolCall::Close(close));
    let reply = node.peers.call(&holder, call, GATE_TIMEOUT).await.ok()?;
    let Message::PoolReply(PoolReply::Running(Some(runs))) = reply else { return None };
    Some(runs.into_iter().map(|it| (it.upstream, it.running)).collect())
}
