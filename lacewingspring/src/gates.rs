//! The gates that this instance holds.

use std::{
    collections::HashMap,
    convert::Infallible,
    future::pending,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    catalog::Catalog,
    gate::{Decision, Gate, GateSummary, Outcome, Ticket},
    names::{DataCentreName, PoolName, UpstreamName},
    resources::UpstreamSpec,
};
use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    clock,
    peers::{Exchange, GateId, Message, PermitAsk},
};

/// Time in which a new holder of a gate learns the open permits of its predecessor.
const LEARNING_WINDOW: Duration = Duration::from_millis(400);

/// Time for which the permit of an entry that died, or takes no messages, is still counted: its run
/// goes on at the upstream.
const ORPHAN_PERMIT: Duration = Duration::from_secs(2);

/// State of one gate, as it is reported.
#[derive(Clone, Debug, Serialize)]
pub struct GateReport {
    /// Engine pool.
    pub pool: PoolName,
    /// Data centre of the upstreams.
    pub data_centre: DataCentreName,
    /// What the gate tells of itself.
    #[serde(flatten)]
    pub summary: GateSummary,
}

/// The gates that this instance holds.
#[derive(Debug, Default)]
pub struct GateHost {
    gates: Mutex<HashMap<GateId, HeldGate>>,
    next_ticket: AtomicU64,
}

#[derive(Debug)]
struct HeldGate {
    gate: Gate,
    generation: u64,
    tickets: HashMap<Ticket, Sender>,
}

/// Sends to the holder of a ticket; the exchange is closed when it is dropped.
#[derive(Debug)]
struct Sender {
    tx: mpsc::Sender<Message>,
    _open: oneshot::Sender<Infallible>,
}

/// Receives from the holder of a ticket.
#[derive(Debug)]
struct Receiver {
    rx: mpsc::Receiver<Message>,
    /// Resolves once the gate has closed the exchange.
    closed: oneshot::Receiver<Infallible>,
}

fn split(end: Exchange) -> (Sender, Receiver) {
    let (open, closed) = oneshot::channel();
    (Sender { tx: end.tx, _open: open }, Receiver { rx: end.rx, closed })
}

impl HeldGate {
    fn new(now: Duration, id: &GateId, catalog: &Catalog) -> Self {
        let gate = Gate::recovering(now, LEARNING_WINDOW, upstreams(id, catalog));
        Self { gate, generation: catalog.generation, tickets: HashMap::new() }
    }

    fn refresh(&mut self, id: &GateId, catalog: &Catalog) {
        if self.generation != catalog.generation {
            self.generation = catalog.generation;
            self.gate.set_upstreams(upstreams(id, catalog));
        }
    }

    fn take(&mut self, now: Duration, ticket: Ticket, message: Message) -> Vec<Decision> {
        match message {
            Message::FirstToken => self.gate.first_token(now, ticket),
            Message::Parked => self.gate.parked(now, ticket),
            Message::AskAgain(ask) => self.gate.ask(now, ticket, ask),
            Message::Ended(outcome) => self.gate.ended(now, ticket, outcome),
            Message::Unreachable(upstream) => {
                self.gate.upstream_failed(now, &upstream);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Tells the decisions; an exchange that can't take one is closed, so that its entry learns it.
    fn deliver(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (ticket, message) = match decision {
                Decision::Granted(ticket, upstream) => (ticket, Message::Granted(upstream)),
                Decision::Refused(ticket, kind, after) => {
                    let retry_after_ms = after.as_millis() as u64;
                    (ticket, Message::Refused { kind, retry_after_ms })
                }
                Decision::Park(ticket) => (ticket, Message::Park),
            };
            let Some(sender) = self.tickets.get(&ticket) else { continue };
            if let Err(e) = sender.tx.try_send(message) {
                log::warn!(reason:% = e; "Closes an exchange that takes no messages.");
                self.tickets.remove(&ticket);
            }
        }
    }
}

impl GateHost {
    /// Serves one exchange that asks for a permit, until the permit ends.
    pub async fn serve_ask(&self, now: Duration, catalog: &Catalog, ask: PermitAsk, end: Exchange) {
        let ticket = self.ticket();
        let (sender, receiver) = split(end);
        {
            let mut gates = self.lock();
            let held = held(&mut gates, now, &ask.gate, catalog);
            held.tickets.insert(ticket, sender);
            let decisions = held.gate.ask(now, ticket, ask.ask);
            held.deliver(decisions);
        }
        self.hold(&ask.gate, ticket, receiver).await;
    }

    /// Serves one exchange that brings a permit of the gate's earlier holder.
    pub async fn serve_adopt(
        &self,
        now: Duration,
        catalog: &Catalog,
        permit: PermitAsk,
        upstream: UpstreamName,
        end: Exchange,
    ) {
        let ticket = self.ticket();
        let (sender, receiver) = split(end);
        {
            let mut gates = self.lock();
            let held = held(&mut gates, now, &permit.gate, catalog);
            held.tickets.insert(ticket, sender);
            held.gate.adopt(ticket, permit.ask, upstream);
        }
        self.hold(&permit.gate, ticket, receiver).await;
    }

    /// Reports the gates that this instance holds.
    pub fn report(&self) -> Vec<GateReport> {
        let gates = self.lock();
        let reports = gates.iter().map(|(id, held)| GateReport {
            pool: id.pool.clone(),
            data_centre: id.data_centre.clone(),
            summary: held.gate.summary(),
        });
        reports.collect()
    }

    /// Lets time pass at every gate.
    pub fn tick(&self, now: Duration, catalog: &Catalog) {
        for (id, held) in self.lock().iter_mut() {
            held.refresh(id, catalog);
            let decisions = held.gate.tick(now);
            held.deliver(decisions);
        }
    }

    /// Forgets the gates for which `keep` is false and that have no tickets: another holds them.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&GateId) -> bool,
    {
        self.lock().retain(|id, held| keep(id) || !held.tickets.is_empty());
    }

    async fn hold(&self, gate: &GateId, ticket: Ticket, end: Receiver) {
        let Receiver { mut rx, mut closed } = end;
        let ended = tokio::select! {
            biased;
            ended = self.take_all(gate, ticket, &mut rx) => ended,
            _ = &mut closed => false,
        };
        if !ended {
            let late = async {
                if !self.take_all(gate, ticket, &mut rx).await {
                    pending::<()>().await;
                }
            };
            if timeout(ORPHAN_PERMIT, late).await.is_err() {
                self.take(gate, ticket, Message::Ended(Outcome::Cancelled));
            }
        }
        self.forget(gate, ticket);
    }

    /// Takes messages until the permit ends; false when the exchange ends before.
    async fn take_all(
        &self,
        gate: &GateId,
        ticket: Ticket,
        rx: &mut mpsc::Receiver<Message>,
    ) -> bool {
        while let Some(message) = rx.recv().await {
            let ended = matches!(message, Message::Ended(_));
            self.take(gate, ticket, message);
            if ended {
                return true;
            }
        }
        false
    }

    fn take(&self, gate: &GateId, ticket: Ticket, message: Message) {
        let mut gates = self.lock();
        let Some(held) = gates.get_mut(gate) else { return };
        let decisions = held.take(clock::now(), ticket, message);
        held.deliver(decisions);
    }

    fn forget(&self, gate: &GateId, ticket: Ticket) {
        if let Some(held) = self.lock().get_mut(gate) {
            held.tickets.remove(&ticket);
        }
    }

    fn ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GateId, HeldGate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn held<'a>(
    gates: &'a mut HashMap<GateId, HeldGate>,
    now: Duration,
    id: &GateId,
    catalog: &Catalog,
) -> &'a mut HeldGate {
    let held = gates.entry(id.clone()).or_insert_with(|| HeldGate::new(now, id, catalog));
    held.refresh(id, catalog);
    held
}

fn upstreams(id: &GateId, catalog: &Catalog) -> Vec<UpstreamSpec> {
    let Some(pool) = catalog.pools.get(&id.pool) else { return Vec::new() };
    let own = pool.upstreams.iter().filter(|upstream| upstream.data_centre == id.data_centre);
    own.cloned().collect()
}
