//! Permits: asks the gates of a pool and keeps the permit while the run lasts.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    error::ErrorKind,
    gate::Ask,
    names::{DataCentreName, PoolName, UpstreamName},
    resources::EnginePoolSpec,
};
use tokio::{task::JoinSet, time::sleep};

use super::Refusal;
use crate::{
    daemon::Node,
    peers::{Exchange, GateId, Message, PermitAsk},
};

/// Wait at the nearest gate before the other data centres' gates are asked too.
const SPREAD_AFTER: Duration = Duration::from_millis(20);

/// Time between attempts to reach a gate.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// When callers are told to come back if no gate can be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Permit to run one request on one upstream.
#[derive(Debug)]
pub struct Permit {
    node: Arc<Node>,
    ask: PermitAsk,
    exchange: Exchange,
    /// Upstream that runs the request.
    pub upstream: UpstreamName,
}

impl Permit {
    /// Returns once the gate wants the run parked.
    ///
    /// A gate that dies is replaced: the permit is counted by its successor.
    pub async fn park_wanted(&mut self) {
        loop {
            match self.exchange.rx.recv().await {
                Some(Message::Park) => return,
                Some(_) => {}
                None => self.adopt().await,
            }
        }
    }

    async fn adopt(&mut self) {
        loop {
            sleep(RETRY_INTERVAL).await;
            let Some(peer) = self.node.fleet.gate_holder(&self.ask.gate) else { continue };
            let permit = self.ask.clone();
            let message = Message::Adopt { permit, upstream: self.upstream.clone() };
            let Ok(exchange) = self.node.peers.open(&peer, message).await else { continue };
            self.exchange = exchange;
            return;
        }
    }

    /// Gives the permit back.
    pub async fn release(self) {
        let _ = self.exchange.tx.send(Message::Released).await;
    }
}

/// Outcome of asking one gate.
enum Reply {
    Granted(Box<Permit>),
    Refused(Refusal),
}

/// Asks the gates of a pool until one grants a permit or all have refused.
///
/// # Errors
///
/// Returns the refusal once every gate that could have granted a permit has refused.
pub async fn acquire(
    node: &Arc<Node>,
    pool_name: &PoolName,
    pool: &EnginePoolSpec,
    ask: Ask,
) -> Result<Permit, Refusal> {
    let deadline = tokio::time::sleep(ask.max_wait);
    tokio::pin!(deadline);
    let mut centres = data_centres(node, pool).into_iter();
    let mut asking = JoinSet::new();
    let mut refusal = Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER);
    let mut spread = Box::pin(sleep(Duration::ZERO));
    loop {
        tokio::select! {
            biased;
            Some(reply) = asking.join_next() => match reply {
                Ok(Reply::Granted(permit)) => return Ok(*permit),
                Ok(Reply::Refused(other)) => {
                    refusal = other;
                    spread = Box::pin(sleep(Duration::ZERO));
                }
                Err(_) => {}
            },
            () = &mut deadline => {
                return Err(Refusal::new(ErrorKind::DeadlineExceeded, refusal.retry_after));
            }
            () = &mut spread => {
                let Some(data_centre) = centres.next() else {
                    if asking.is_empty() {
                        return Err(refusal);
                    }
                    spread = Box::pin(sleep(ask.max_wait));
                    continue;
                };
                let gate = GateId { pool: pool_name.clone(), data_centre };
                asking.spawn(ask_gate(node.clone(), PermitAsk { gate, ask: ask.clone() }));
                spread = Box::pin(sleep(SPREAD_AFTER));
            }
        }
    }
}

/// Data centres of a pool's upstreams, the own one first.
fn data_centres(node: &Node, pool: &EnginePoolSpec) -> Vec<DataCentreName> {
    let own = &node.settings.data_centre;
    let centres = pool.upstreams.iter().filter(|upstream| !upstream.leaving);
    let mut centres: Vec<_> = centres.map(|upstream| upstream.data_centre.clone()).collect();
    centres.sort_by_key(|centre| (centre != own, centre.clone()));
    centres.dedup();
    centres
}

async fn ask_gate(node: Arc<Node>, ask: PermitAsk) -> Reply {
    let unreachable = Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER);
    let Some(peer) = node.fleet.gate_holder(&ask.gate) else {
        return Reply::Refused(unreachable);
    };
    let Ok(mut exchange) = node.peers.open(&peer, Message::Ask(ask.clone())).await else {
        return Reply::Refused(unreachable);
    };
    match exchange.rx.recv().await {
        Some(Message::Granted(upstream)) => {
            Reply::Granted(Box::new(Permit { node, ask, exchange, upstream }))
        }
        Some(Message::Refused { kind, retry_after_ms }) => {
            Reply::Refused(Refusal::new(kind, Duration::from_millis(retry_after_ms)))
        }
        _ => Reply::Refused(unreachable),
    }
}
