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
    gate::{Decision, Gate, GateSummary, Outcome, Ticket},
    names::{DataCentreName, PoolName, UpstreamName},
    resources::UpstreamSpec,
};
use serde::Serialize;
use tokio::{sync::mpsc, time::sleep};

use crate::{
    clock,
    peers::{Exchange, GateId, Message, PermitAsk},
};

/// Time in which a new holder of a gate learns the open permits of its predecessor.
const LEARNING_WINDOW: Duration = Duration::from_millis(400);

/// Time for which the permit of an entry that died is still counted: its run goes on at the
/// upstream.
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
    tickets: HashMap<Ticket, mpsc::Sender<Message>>,
}

impl HeldGate {
    fn new(now: Duration, id: &GateId, catalog: &Catalog) -> Self {
        let gate = Gate::recovering(now, LEARNING_WINDOW, upstreams(id, catalog));
        let gate = gate.timed_from_dispatch();
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
            Message::Dispatched => {
                self.gate.dispatched(now, ticket);
                Vec::new()
            }
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
            let held = held(&mut gates, now, &ask.gate, catalog);
            held.tickets.insert(ticket, end.tx);
            let decisions = held.gate.ask(now, ticket, ask.ask);
            held.deliver(decisions);
        }
        self.hold(&ask.gate, ticket, end.rx).await;
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
        {
            let mut gates = self.lock();
            let held = held(&mut gates, now, &permit.gate, catalog);
            held.tickets.insert(ticket, end.tx);
            held.gate.adopt(ticket, permit.ask, upstream);
        }
        self.hold(&permit.gate, ticket, end.rx).await;
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

    async fn hold(&self, gate: &GateId, ticket: Ticket, mut rx: mpsc::Receiver<Message>) {
        while let Some(message) = rx.recv().await {
            let ended = matches!(message, Message::Ended(_));
            self.take(gate, ticket, message);
            if ended {
                return self.forget(gate, ticket);
            }
        }
        // The entry died without a word; what it ran goes on at the upstream for a while.
        sleep(ORPHAN_PERMIT).await;
        self.take(gate, ticket, Message::Ended(Outcome::Cancelled));
        self.forget(gate, ticket);
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
