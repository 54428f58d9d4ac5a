//! Permits: asks the gates of a pool and keeps the permit while the run lasts.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Outcome, PermitRequest, Placement, Resume},
    names::{DataCentreName, PoolName, UpstreamName},
    resources::EnginePoolSpec,
};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use super::Refusal;
use crate::{
    clock,
    daemon::Node,
    peers::{Exchange, GateId, Message, PeerAddress, PermitAsk},
    poison::RunGuard,
};

/// Wait at the nearest gate before the other data centres' gates are asked too.
const SPREAD_AFTER: Duration = Duration::from_millis(20);

/// Time between attempts to reach a gate.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts to reach a gate before it counts as unreachable.
const MAX_ATTEMPTS: u32 = 20;

/// When callers are told to come back if no gate can be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// An exchange with a gate; the gate is told when it is dropped.
#[derive(Debug)]
struct GateExchange {
    exchange: Exchange,
    peer: PeerAddress,
    outcome: Outcome,
}

impl Drop for GateExchange {
    fn drop(&mut self) {
        let _ = self.exchange.tx.try_send(Message::Ended(self.outcome));
    }
}

/// Permit to run one request on one upstream.
#[derive(Debug)]
pub struct Permit {
    node: Arc<Node>,
    ask: PermitAsk,
    gate: GateExchange,
    /// Upstream that runs the request.
    pub upstream: UpstreamName,
    /// Run that the home of the fingerprint let begin.
    pub trial: Option<RunGuard>,
}

impl Permit {
    /// Returns once the gate wants the run parked.
    ///
    /// A gate that dies or moves is replaced: the permit is counted by its successor.
    pub async fn park_wanted(&mut self) {
        let mut changes = self.node.fleet.changes();
        loop {
            tokio::select! {
                message = self.gate.exchange.rx.recv() => match message {
                    Some(Message::Park) => return,
                    Some(_) => {}
                    None => self.adopt().await,
                },
                changed = changes.changed() => {
                    if changed.is_err() {
                        return std::future::pending().await;
                    }
                    if self.moved() {
                        self.adopt().await;
                    }
                }
            }
        }
    }

    /// Tells the gate that the request is handed to the upstream now.
    pub fn dispatched(&self) {
        let _ = self.gate.exchange.tx.try_send(Message::Dispatched);
    }

    /// Tells the gate that the first token arrived.
    pub fn first_token(&self) {
        let _ = self.gate.exchange.tx.try_send(Message::FirstToken);
    }

    /// Tells the gate that the upstream can't be reached.
    pub fn unreachable(&mut self) {
        let message = Message::Unreachable(self.upstream.clone());
        let _ = self.gate.exchange.tx.try_send(message);
        self.gate.outcome = Outcome::Failed;
    }

    /// Returns whether the home of the fingerprint still lets the run begin.
    pub async fn may_dispatch(&mut self) -> bool {
        match &mut self.trial {
            Some(trial) => trial.may_dispatch().await,
            None => true,
        }
    }

    /// Tells the home of the fingerprint that the upstream crashed, before the permit ends.
    pub async fn crashed(&mut self) {
        if let Some(trial) = self.trial.take() {
            trial.report_crash().await;
        }
    }

    /// Gives the permit back.
    pub fn release(mut self, outcome: Outcome) {
        if let (Outcome::Finished(_), Some(trial)) = (outcome, self.trial.take()) {
            trial.complete();
        }
        self.gate.outcome = outcome;
    }

    /// Gives up the room of a parked run and waits at the same gate to go on.
    ///
    /// # Errors
    ///
    /// Refuses when the gate refuses or dies.
    pub async fn ask_again(mut self, resume: Resume) -> Result<Self, Refusal> {
        let gone = Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER);
        self.ask.ask.resume = Some(resume);
        self.ask.ask.placement = Placement::Any;
        let tx = &self.gate.exchange.tx;
        tx.send(Message::Parked).await.map_err(|_| gone)?;
        tx.send(Message::AskAgain(self.ask.ask.clone())).await.map_err(|_| gone)?;
        loop {
            match self.gate.exchange.rx.recv().await {
                Some(Message::Granted(upstream)) => {
                    self.upstream = upstream;
                    return Ok(self);
                }
                Some(Message::Refused { kind, retry_after_ms }) => {
                    return Err(Refusal::from_ms(kind, retry_after_ms));
                }
                Some(_) => {}
                None => return Err(gone),
            }
        }
    }

    fn moved(&self) -> bool {
        let holder = self.node.fleet.gate_holder(&self.ask.gate);
        holder.is_some_and(|holder| holder != self.gate.peer)
    }

    async fn adopt(&mut self) {
        self.gate = open_adopted(&self.node, &self.ask, &self.upstream).await;
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
    ask: PermitRequest,
) -> Result<Permit, Refusal> {
    let deadline = clock::now() + ask.max_wait;
    let mut centres = data_centres(node, pool).into_iter();
    let mut asking = JoinSet::new();
    let mut refusal = Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER);
    // Asked here and not by a timer of no length, which takes up to a millisecond.
    if let Some(data_centre) = centres.next() {
        let gate = GateId { pool: pool_name.clone(), data_centre };
        asking.spawn(ask_gate(node.clone(), PermitAsk { gate, ask: ask.clone() }));
    }
    let mut spread = Box::pin(sleep(SPREAD_AFTER));
    let mut late = Box::pin(sleep(ask.max_wait));
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
            () = &mut late => {
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
                let max_wait = deadline.saturating_sub(clock::now());
                let ask = PermitRequest { max_wait, ..ask.clone() };
                asking.spawn(ask_gate(node.clone(), PermitAsk { gate, ask }));
                spread = Box::pin(sleep(SPREAD_AFTER));
            }
        }
    }
}

/// Counts a run that goes on at an upstream as a permit.
pub async fn adopt(
    node: &Arc<Node>,
    pool_name: &PoolName,
    pool: &EnginePoolSpec,
    ask: PermitRequest,
    upstream: UpstreamName,
) -> Permit {
    let spec = pool.upstreams.iter().find(|spec| spec.name == upstream);
    let own = &node.settings.data_centre;
    let data_centre = spec.map_or(own, |spec| &spec.data_centre).clone();
    let gate = GateId { pool: pool_name.clone(), data_centre };
    let ask = PermitAsk { gate, ask };
    let (gate, ask) = (open_adopted(node, &ask, &upstream).await, ask);
    Permit { node: node.clone(), ask, gate, upstream, trial: None }
}

/// Tells the present holder of a gate of a permit, until one takes it.
async fn open_adopted(node: &Arc<Node>, ask: &PermitAsk, upstream: &UpstreamName) -> GateExchange {
    loop {
        if let Some(peer) = node.fleet.gate_holder(&ask.gate) {
            let message = Message::Adopt { permit: ask.clone(), upstream: upstream.clone() };
            if let Ok(exchange) = node.peers.open(&peer, message).await {
                return GateExchange { exchange, peer, outcome: Outcome::Cancelled };
            }
        }
        sleep(RETRY_INTERVAL).await;
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

/// Asks one gate, and its next holder when the gate dies or moves.
async fn ask_gate(node: Arc<Node>, ask: PermitAsk) -> Reply {
    let mut changes = node.fleet.changes();
    for _ in 0..MAX_ATTEMPTS {
        if let Some(reply) = ask_holder(&node, &ask).await {
            return reply;
        }
        let _ = timeout(RETRY_INTERVAL, changes.changed()).await;
    }
    Reply::Refused(Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER))
}

/// Asks the present holder of a gate; none when it died or the gate moved.
async fn ask_holder(node: &Arc<Node>, ask: &PermitAsk) -> Option<Reply> {
    let peer = node.fleet.gate_holder(&ask.gate)?;
    let exchange = node.peers.open(&peer, Message::Ask(ask.clone())).await.ok()?;
    let mut gate = GateExchange { exchange, peer, outcome: Outcome::Cancelled };
    let mut changes = node.fleet.changes();
    loop {
        let message = tokio::select! {
            message = gate.exchange.rx.recv() => message,
            _ = changes.changed() => {
                if node.fleet.gate_holder(&ask.gate).is_some_and(|holder| holder != gate.peer) {
                    return None;
                }
                continue;
            }
        };
        return match message? {
            Message::Granted(upstream) => {
                let (node, ask) = (node.clone(), ask.clone());
                let permit = Permit { node, ask, gate, upstream, trial: None };
                Some(Reply::Granted(Box::new(permit)))
            }
            Message::Refused { kind, retry_after_ms } => {
                Some(Reply::Refused(Refusal::from_ms(kind, retry_after_ms)))
            }
            _ => None,
        };
    }
}
