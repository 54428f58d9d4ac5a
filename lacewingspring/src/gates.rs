//! The gates that this instance holds.

use std::{
    collections::{BTreeSet, HashMap},
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
    peers::{CloseUpstreams, Exchange, GateId, GatePermitRequest, Message, UpstreamRuns},
};

/// Time in which a new holder of a gate learns the open permits of its predecessor.
const LEARNING_WINDOW: Duration = Duration::from_millis(400);

/// Time for which the permit of an entry that died, or takes no messages, is still counted: its run
/// goes on at the upstream.
const ORPHAN_PERMIT: Duration = Duration::from_secs(2);

/// Time for which an engine stays closed without another word from its pool controller. It is
/// longer than a successor needs to take over.
const CLOSED_LIFETIME: Duration = Duration::from_secs(10);

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
    learned_at: Duration,
    closing: Closing,
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

/// Upstreams that a pool controller has taken out, and until when without another word.
#[derive(Debug, Default)]
struct Closing {
    fencing: u64,
    upstreams: BTreeSet<UpstreamName>,
    until: Duration,
}

impl HeldGate {
    fn new(now: Duration, id: &GateId, catalog: &Catalog) -> Self {
        let closing = Closing::default();
        let specs = upstreams(id, catalog, &closing);
        Self {
            gate: Gate::recovering(now, LEARNING_WINDOW, specs).timed_from_dispatch(),
            generation: catalog.generation,
            tickets: HashMap::new(),
            learned_at: now + LEARNING_WINDOW,
            closing,
        }
    }

    fn refresh(&mut self, now: Duration, id: &GateId, catalog: &Catalog) {
        let lapsed = !self.closing.upstreams.is_empty() && now >= self.closing.until;
        if lapsed {
            self.closing.upstreams.clear();
        }
        if lapsed || self.generation != catalog.generation {
            self.generation = catalog.generation;
            self.gate.set_upstreams(upstreams(id, catalog, &self.closing));
        }
    }

    /// Closes these upstreams and no others; a late message of an earlier holder does nothing.
    fn close(&mut self, now: Duration, id: &GateId, catalog: &Catalog, close: CloseUpstreams) {
        if close.fencing < self.closing.fencing {
            return;
        }
        let changed = self.closing.upstreams != close.upstreams;
        let CloseUpstreams { fencing, upstreams: closed, .. } = close;
        self.closing = Closing { fencing, upstreams: closed, until: now + CLOSED_LIFETIME };
        if changed {
            self.gate.set_upstreams(upstreams(id, catalog, &self.closing));
        }
    }

    /// Returns how many requests run on the closed upstreams; none while that is not known.
    fn running(&self, now: Duration) -> Option<Vec<UpstreamRuns>> {
        let summary = self.gate.summary().upstreams.into_iter();
        let closed = summary.filter(|it| self.closing.upstreams.contains(&it.name));
        let runs = closed.map(|it| UpstreamRuns { upstream: it.name, running: it.running });
        (now >= self.learned_at).then(|| runs.collect())
    }

    fn take(&mut self, now: Duration, ticket: Ticket, message: Message) -> Vec<Decision> {
        match message {
            Message::Dispatched => {
                self.gate.dispatched(now, ticket);
                Vec::new()
            }
            Message::FirstToken => self.gate.first_token(now, ticket),
            Message::Parked => self.gate.parked(now, ticket),
            Message::RequestPermitAgain(ask) => self.gate.request_permit(now, ticket, ask),
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
    pub async fn serve_permit(
        &self,
        now: Duration,
        catalog: &Catalog,
        ask: GatePermitRequest,
        end: Exchange,
    ) {
        let ticket = self.ticket();
        let (sender, receiver) = split(end);
        {
            let mut gates = self.lock();
            let held = held(&mut gates, now, &ask.gate, catalog);
            held.tickets.insert(ticket, sender);
            let decisions = held.gate.request_permit(now, ticket, ask.request);
            held.deliver(decisions);
        }
        self.hold(&ask.gate, ticket, receiver).await;
    }

    /// Serves one exchange that brings a permit of the gate's earlier holder.
    pub async fn serve_adopted_permit(
        &self,
        now: Duration,
        catalog: &Catalog,
        permit: GatePermitRequest,
        upstream: UpstreamName,
        end: Exchange,
    ) {
        let ticket = self.ticket();
        let (sender, receiver) = split(end);
        {
            let mut gates = self.lock();
            let held = held(&mut gates, now, &permit.gate, catalog);
            held.tickets.insert(ticket, sender);
            held.gate.adopt(ticket, permit.request, upstream);
        }
        self.hold(&permit.gate, ticket, receiver).await;
    }

    /// Closes upstreams of a gate to new work and returns what still runs on them; none while the
    /// gate learns it.
    pub fn close(
        &self,
        now: Duration,
        catalog: &Catalog,
        close: CloseUpstreams,
    ) -> Option<Vec<UpstreamRuns>> {
        let mut gates = self.lock();
        let id = close.gate.clone();
        let held = held(&mut gates, now, &id, catalog);
        held.close(now, &id, catalog, close);
        held.running(now)
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
            held.refresh(now, id, catalog);
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
    held.refresh(now, id, catalog);
    held
}

fn upstreams(id: &GateId, catalog: &Catalog, closing: &Closing) -> Vec<UpstreamSpec> {
    let Some(pool) = catalog.pools.get(&id.pool) else { return Vec::new() };
    let own = pool.upstreams.iter().filter(|upstream| upstream.data_centre == id.data_centre);
    let spec = |upstream: &UpstreamSpec| {
        let leaving = upstream.leaving || closing.upstreams.contains(&upstream.name);
        UpstreamSpec { leaving, ..upstream.clone() }
    };
    own.map(spec).collect()
}
