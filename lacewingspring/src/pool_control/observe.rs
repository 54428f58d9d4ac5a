//! What a round sees: the state of each engine, and what runs on those that are out.

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

/// Longest wait for the holder of a gate.
const GATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the address of an upstream.
pub(super) fn address(spec: &UpstreamSpec) -> Option<SocketAddr> {
    spec.address.parse().ok()
}

/// Reads the state of every engine of a pool, all at once.
pub(super) async fn engines(spec: &EnginePoolSpec) -> Vec<Observation> {
    let mut reads = JoinSet::new();
    for upstream in spec.upstreams.iter().cloned() {
        reads.spawn(async move {
            let state = match address(&upstream) {
                Some(address) => orders::read(address).await,
                None => None,
            };
            let UpstreamSpec { name, checks_fencing, leaving, .. } = upstream;
            Observation { upstream: name, checks_fencing, leaving, state, running: None }
        });
    }
    let mut seen = reads.join_all().await;
    seen.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    seen
}

/// Engines that gates were told to close, by data centre.
#[derive(Debug, Default)]
pub(super) struct ClosedEngines {
    told: BTreeMap<DataCentreName, BTreeSet<UpstreamName>>,
}

impl ClosedEngines {
    /// Tells the gates which engines are out, and learns what still runs on them.
    pub(super) async fn tell(
        &mut self,
        node: &Arc<Node>,
        pool: &PoolName,
        spec: &EnginePoolSpec,
        fencing: u64,
        closed: &BTreeSet<UpstreamName>,
    ) -> BTreeMap<UpstreamName, u32> {
        for upstreams in self.told.values_mut() {
            upstreams.clear();
        }
        for upstream in spec.upstreams.iter().filter(|it| closed.contains(&it.name)) {
            let told = self.told.entry(upstream.data_centre.clone()).or_default();
            told.insert(upstream.name.clone());
        }
        let mut running = BTreeMap::new();
        let mut opened = Vec::new();
        for (data_centre, upstreams) in &self.told {
            let gate = GateId { pool: pool.clone(), data_centre: data_centre.clone() };
            let close = CloseUpstreams { gate, fencing, upstreams: upstreams.clone() };
            let Some(runs) = tell_gate(node, close).await else { continue };
            running.extend(runs);
            if upstreams.is_empty() {
                opened.push(data_centre.clone());
            }
        }
        self.told.retain(|data_centre, _| !opened.contains(data_centre));
        running
    }
}

/// Tells one gate; none when it doesn't answer or doesn't know yet what runs.
async fn tell_gate(node: &Arc<Node>, close: CloseUpstreams) -> Option<Vec<(UpstreamName, u32)>> {
    let holder = node.fleet.gate_holder(&close.gate)?;
    let call = Message::Pool(PoolCall::Close(close));
    let reply = node.peers.call(&holder, call, GATE_TIMEOUT).await.ok()?;
    let Message::PoolReply(PoolReply::Running(Some(runs))) = reply else { return None };
    Some(runs.into_iter().map(|it| (it.upstream, it.running)).collect())
}
