//! Permits: requests one from the gates of a pool and holds it while the run lasts.

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
    peers::{Exchange, GateId, GatePermitRequest, Message, PeerAddress},
    poison::RunGuard,
};

/// Time after a request to the gate of one data centre until the next data centre's gate is asked
/// too. This instance's own data centre comes first.
const FAN_OUT_DELAY: Duration = Duration::from_millis(20);

/// Interval between attempts to reach a gate.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of attempts to reach a gate before it counts as unreachable.
const MAX_ATTEMPTS: u32 = 20;

/// Retry-after of a refusal because no gate can be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// An exchange with a gate. Sends the outcome to the gate when dropped.
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
    request: GatePermitRequest,
    gate: GateExchange,
    /// Upstream that runs the request.
    pub upstream: UpstreamName,
    /// Run that the home of the fingerprint permitted; `None` for a plain call and while poison
    /// detection is off.
    pub run_guard: Option<RunGuard>,
}

impl Permit {
    /// Waits until the gate requests that the run be parked.
    ///
    /// If the gate dies or moves, its new holder adopts the permit.
    pub async fn park_requested(&mut self) {
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
                    if self.has_moved() {
                        self.adopt().await;
                    }
                }
            }
        }
    }

    /// Reports to the gate that the request is dispatched now.
    pub fn report_dispatch(&self) {
        let _ = self.gate.exchange.tx.try_send(Message::Dispatched);
    }

    /// Reports the first token to the gate.
    pub fn report_first_token(&self) {
        let _ = self.gate.exchange.tx.try_send(Message::FirstToken);
    }

    /// Reports to the gate that the upstream cannot be reached.
    pub fn report_unreachable(&mut self) {
        let message = Message::Unreachable(self.upstream.clone());
        let _ = self.gate.exchange.tx.try_send(message);
        self.gate.outcome = Outcome::Failed;
    }

    /// Returns whether the home of the fingerprint still allows the run to start.
    pub async fn may_dispatch(&mut self) -> bool {
        match &mut self.run_guard {
            Some(guard) => guard.may_dispatch().await,
            None => true,
        }
    }

    /// Reports the crash of the upstream to the home of the fingerprint, before the permit ends.
    pub async fn report_crash(&mut self) {
        if let Some(guard) = self.run_guard.take() {
            guard.report_crash().await;
        }
    }

    /// Returns the permit to the gate with the outcome of the run.
    pub fn release(mut self, outcome: Outcome) {
        if let (Outcome::Finished(_), Some(guard)) = (outcome, self.run_guard.take()) {
            guard.complete();
        }
        self.gate.outcome = outcome;
    }

    /// Releases the room of a parked run and waits at the same gate for a new permit.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the gate, or `NoUpstream` if the exchange with it closes.
    pub async fn request_again(mut self, resume: Resume) -> Result<Self, Refusal> {
        let gone = Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER);
        self.request.request.resume = Some(resume);
        self.request.request.placement = Placement::Any;
        let tx = &self.gate.exchange.tx;
        tx.send(Message::Parked).await.map_err(|_| gone)?;
        tx.send(Message::RequestPermitAgain(self.request.request.clone()))
            .await
            .map_err(|_| gone)?;
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

    fn has_moved(&self) -> bool {
        let holder = self.node.fleet.gate_holder(&self.request.gate);
        holder.is_some_and(|holder| holder != self.gate.peer)
    }

    async fn adopt(&mut self) {
        self.gate = open_adopted(&self.node, &self.request, &self.upstream).await;
    }
}

/// Reply of one gate.
enum GateReply {
    Granted(Box<Permit>),
    Refused(Refusal),
}

/// Requests a permit from the gates of a pool until one grants it or all have refused.
///
/// # Errors
///
/// Returns the last refusal once all gates have refused, or `DeadlineExceeded` after the maximum
/// wait.
pub async fn acquire(
    node: &Arc<Node>,
    pool_name: &PoolName,
    pool: &EnginePoolSpec,
    request: PermitRequest,
) -> Result<Permit, Refusal> {
    let deadline = clock::now() + request.max_wait;
    let mut centres = data_centres(node, pool).into_iter();
    let mut requests = JoinSet::new();
    let mut refusal = Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER);
    // The first gate is asked directly: a timer of zero length takes up to 1 ms to fire.
    if let Some(data_centre) = centres.next() {
        let gate = GateId { pool: pool_name.clone(), data_centre };
        requests.spawn(request_from_gate(
            node.clone(),
            GatePermitRequest { gate, request: request.clone() },
        ));
    }
    let mut fan_out = Box::pin(sleep(FAN_OUT_DELAY));
    let mut timed_out = Box::pin(sleep(request.max_wait));
    loop {
        tokio::select! {
            biased;
            Some(reply) = requests.join_next() => match reply {
                Ok(GateReply::Granted(permit)) => return Ok(*permit),
                Ok(GateReply::Refused(other)) => {
                    refusal = other;
                    fan_out = Box::pin(sleep(Duration::ZERO));
                }
                Err(_) => {}
            },
            () = &mut timed_out => {
                return Err(Refusal::new(ErrorKind::DeadlineExceeded, refusal.retry_after));
            }
            () = &mut fan_out => {
                let Some(data_centre) = centres.next() else {
                    if requests.is_empty() {
                        return Err(refusal);
                    }
                    fan_out = Box::pin(sleep(request.max_wait));
                    continue;
                };
                let gate = GateId { pool: pool_name.clone(), data_centre };
                let max_wait = deadline.saturating_sub(clock::now());
                let request = PermitRequest { max_wait, ..request.clone() };
                requests.spawn(request_from_gate(
                    node.clone(),
                    GatePermitRequest { gate, request },
                ));
                fan_out = Box::pin(sleep(FAN_OUT_DELAY));
            }
        }
    }
}

/// Creates a permit for a run that is already at an upstream, and has a gate adopt it.
pub async fn adopt(
    node: &Arc<Node>,
    pool_name: &PoolName,
    pool: &EnginePoolSpec,
    request: PermitRequest,
    upstream: UpstreamName,
) -> Permit {
    let spec = pool.upstreams.iter().find(|spec| spec.name == upstream);
    let own = &node.settings.data_centre;
    let data_centre = spec.map_or(own, |spec| &spec.data_centre).clone();
    let gate = GateId { pool: pool_name.clone(), data_centre };
    let request = GatePermitRequest { gate, request };
    let (gate, request) = (open_adopted(node, &request, &upstream).await, request);
    Permit { node: node.clone(), request, gate, upstream, run_guard: None }
}

/// Sends a permit to the current holder of its gate, with retries until one accepts it.
async fn open_adopted(
    node: &Arc<Node>,
    request: &GatePermitRequest,
    upstream: &UpstreamName,
) -> GateExchange {
    loop {
        if let Some(peer) = node.fleet.gate_holder(&request.gate) {
            let message = Message::Adopt { permit: request.clone(), upstream: upstream.clone() };
            if let Ok(exchange) = node.peers.open(&peer, message).await {
                return GateExchange { exchange, peer, outcome: Outcome::Cancelled };
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the data centres of a pool's upstreams that are not leaving, this instance's own first.
fn data_centres(node: &Node, pool: &EnginePoolSpec) -> Vec<DataCentreName> {
    let own = &node.settings.data_centre;
    let centres = pool.upstreams.iter().filter(|upstream| !upstream.leaving);
    let mut centres: Vec<_> = centres.map(|upstream| upstream.data_centre.clone()).collect();
    centres.sort_by_key(|centre| (centre != own, centre.clone()));
    centres.dedup();
    centres
}

/// Requests a permit from one gate, and from its next holder if the gate dies or moves.
async fn request_from_gate(node: Arc<Node>, request: GatePermitRequest) -> GateReply {
    let mut changes = node.fleet.changes();
    for _ in 0..MAX_ATTEMPTS {
        if let Some(reply) = request_from_holder(&node, &request).await {
            return reply;
        }
        let _ = timeout(RETRY_INTERVAL, changes.changed()).await;
    }
    GateReply::Refused(Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER))
}

/// Requests a permit from the current holder of a gate. `None` if the holder died or the gate
/// moved.
async fn request_from_holder(node: &Arc<Node>, request: &GatePermitRequest) -> Option<GateReply> {
    let peer = node.fleet.gate_holder(&request.gate)?;
    let exchange = node.peers.open(&peer, Message::RequestPermit(request.clone())).await.ok()?;
    let mut gate = GateExchange { exchange, peer, outcome: Outcome::Cancelled };
    let mut changes = node.fleet.changes();
    loop {
        let message = tokio::select! {
            message = gate.exchange.rx.recv() => message,
            _ = changes.changed() => {
                if node.fleet.gate_holder(&request.gate).is_some_and(|holder| holder != gate.peer) {
                    return None;
                }
                continue;
            }
        };
        return match message? {
            Message::Granted(upstream) => {
                let (node, request) = (node.clone(), request.clone());
                let permit = Permit { node, request, gate, upstream, run_guard: None };
                Some(GateReply::Granted(Box::new(permit)))
            }
            Message::Refused { kind, retry_after_ms } => {
                Some(GateReply::Refused(Refusal::from_ms(kind, retry_after_ms)))
            }
            _ => None,
        };
    }
}
