//! The gates that this instance holds.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    catalog::Catalog,
    gate::{Decision, Gate, Ticket},
    resources::UpstreamSpec,
};
use tokio::sync::mpsc;

use crate::peers::{Exchange, GateId, Message, PermitAsk};

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
    tickets: HashMap<Ticket, mpsc::Sender<Message>>,
}

impl HeldGate {
    fn new() -> Self {
        Self { gate: Gate::default(), generation: 0, tickets: HashMap::new() }
    }

    fn refresh(&mut self, id: &GateId, catalog: &Catalog) {
        if self.generation == catalog.generation && self.generation > 0 {
            return;
        }
        self.generation = catalog.generation;
        self.gate.set_upstreams(upstreams(id, catalog));
    }

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
            if let Some(tx) = self.tickets.get(&ticket) {
                let _ = tx.try_send(message);
            }
        }
    }
}

impl GateHost {
    /// Serves one exchange that asks for a permit, until the permit ends.
    pub async fn serve_ask(&self, now: Duration, catalog: &Catalog, ask: PermitAsk, end: Exchange) {
        let ticket = self.ticket();
        {
            let mut gates = self.lock();
            let held = gates.entry(ask.gate.clone()).or_insert_with(HeldGate::new);
            held.refresh(&ask.gate, catalog);
            held.tickets.insert(ticket, end.tx);
            let decisions = held.gate.ask(now, ticket, ask.ask);
            held.deliver(decisions);
        }
        self.hold(&ask.gate, ticket, end.rx).await;
    }

    /// Serves one exchange that brings a permit of the gate's earlier holder.
    pub async fn serve_adopt(
        &self,
        catalog: &Catalog,
        permit: PermitAsk,
        upstream: lacewingspring_core::names::UpstreamName,
        end: Exchange,
    ) {
        let ticket = self.ticket();
        {
            let mut gates = self.lock();
            let held = gates.entry(permit.gate.clone()).or_insert_with(HeldGate::new);
            held.refresh(&permit.gate, catalog);
            held.tickets.insert(ticket, end.tx);
            held.gate.adopt(ticket, permit.ask, upstream);
        }
        self.hold(&permit.gate, ticket, end.rx).await;
    }

    /// Lets time pass at every gate.
    pub fn tick(&self, now: Duration, catalog: &Catalog) {
        for (id, held) in self.lock().iter_mut() {
            held.refresh(id, catalog);
            let decisions = held.gate.tick(now);
            held.deliver(decisions);
        }
    }

    async fn hold(&self, gate: &GateId, ticket: Ticket, mut rx: mpsc::Receiver<Message>) {
        while let Some(message) = rx.recv().await {
            if message == Message::Released {
                break;
            }
        }
        let mut gates = self.lock();
        let Some(held) = gates.get_mut(gate) else { return };
        held.tickets.remove(&ticket);
        let decisions = held.gate.release(ticket);
        held.deliver(decisions);
    }

    fn ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GateId, HeldGate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn upstreams(id: &GateId, catalog: &Catalog) -> Vec<UpstreamSpec> {
    let Some(pool) = catalog.pools.get(&id.pool) else { return Vec::new() };
    let own = pool.upstreams.iter().filter(|upstream| upstream.data_centre == id.data_centre);
    own.cloned().collect()
}
