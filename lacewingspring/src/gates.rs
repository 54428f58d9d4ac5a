//! Gates whose holder is this instance, and the exchanges through which entries hold permits.

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

/// Time for which a new holder of a gate collects the open permits of its predecessor.
const RECOVERY_WINDOW: Duration = Duration::from_millis(400);

/// Time for which a permit is still counted after its entry has died or stopped taking messages,
/// since the run continues at the upstream.
const ORPHANED_PERMIT_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which upstreams stay closed after the last message of their pool controller. It exceeds
/// the time that another controller needs to take over.
const CLOSED_LIFETIME: Duration = Duration::from_secs(10);

/// State of one gate, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct GateReport {
    /// Engine pool.
    pub pool: PoolName,
    /// Data centre of the upstreams.
    pub data_centre: DataCentreName,
    /// Queue and upstreams of the gate.
    #[serde(flatten)]
    pub summary: GateSummary,
}

/// Gates whose holder is this instance.
#[derive(Debug, Default)]
pub struct GateHost {
    gates: Mutex<HashMap<GateId, HeldGate>>,
    next_ticket: AtomicU64,
}

#[derive(Debug)]
struct HeldGate {
    gate: Gate,
    /// Generation of the declared state from which the gate has its upstreams.
    generation: u64,
    /// Entries of the requests that wait at the gate or hold a permit of it.
    tickets: HashMap<Ticket, Sender>,
    /// End of the recovery window.
    recovered_at: Duration,
    closed: ClosedUpstreams,
}

/// Sending half of the exchange with an entry. Dropping it closes the exchange.
#[derive(Debug)]
struct Sender {
    tx: mpsc::Sender<Message>,
    _close_on_drop: oneshot::Sender<Infallible>,
}

/// Receiving half of the exchange with an entry.
#[derive(Debug)]
struct Receiver {
    rx: mpsc::Receiver<Message>,
    /// Resolves once the gate has closed the exchange.
    closed: oneshot::Receiver<Infallible>,
}

fn split_exchange(end: Exchange) -> (Sender, Receiver) {
    let (open, closed) = oneshot::channel();
    (Sender { tx: end.tx, _close_on_drop: open }, Receiver { rx: end.rx, closed })
}

/// Upstreams that a pool controller has closed to new work.
#[derive(Debug, Default)]
struct ClosedUpstreams {
    fencing: u64,
    upstreams: BTreeSet<UpstreamName>,
    expires_at: Duration,
}

impl HeldGate {
    fn new(now: Duration, id: &GateId, catalog: &Catalog) -> Self {
        let closed = ClosedUpstreams::default();
        let specs = gate_upstreams(id, catalog, &closed);
        Self {
            gate: Gate::recovering(now, RECOVERY_WINDOW, specs).timed_from_dispatch(),
            generation: catalog.generation,
            tickets: HashMap::new(),
            recovered_at: now + RECOVERY_WINDOW,
            closed,
        }
    }

    fn refresh(&mut self, now: Duration, id: &GateId, catalog: &Catalog) {
        let expired = !self.closed.upstreams.is_empty() && now >= self.closed.expires_at;
        if expired {
            self.closed.upstreams.clear();
        }
        if expired || self.generation != catalog.generation {
            self.generation = catalog.generation;
            self.gate.set_upstreams(gate_upstreams(id, catalog, &self.closed));
        }
    }

    /// Closes exactly these upstreams. A late message of an earlier pool controller, which has a
    /// lower fencing number, is ignored.
    fn close(&mut self, now: Duration, id: &GateId, catalog: &Catalog, close: CloseUpstreams) {
        if close.fencing < self.closed.fencing {
            return;
        }
        let changed = self.closed.upstreams != close.upstreams;
        let CloseUpstreams { fencing, upstreams: closed, .. } = close;
        self.closed =
            ClosedUpstreams { fencing, upstreams: closed, expires_at: now + CLOSED_LIFETIME };
        if changed {
            self.gate.set_upstreams(gate_upstreams(id, catalog, &self.closed));
        }
    }

    /// Returns the number of requests that run on each closed upstream; `None` while the gate still
    /// collects the permits of its predecessor.
    fn closed_upstream_runs(&self, now: Duration) -> Option<Vec<UpstreamRuns>> {
        let summary = self.gate.summary().upstreams.into_iter();
        let closed = summary.filter(|it| self.closed.upstreams.contains(&it.name));
        let runs = closed.map(|it| UpstreamRuns { upstream: it.name, running: it.running });
        (now >= self.recovered_at).then(|| runs.collect())
    }

    fn handle_message(&mut self, now: Duration, ticket: Ticket, message: Message) -> Vec<Decision> {
        match message {
            Message::Dispatched => {
                self.gate.dispatched(now, ticket);
                Vec::new()
            }
            Message::FirstToken => self.gate.first_token(now, ticket),
            Message::Parked => self.gate.parked(now, ticket),
            Message::RequestPermitAgain(request) => self.gate.request_permit(now, ticket, request),
            Message::Ended(outcome) => self.gate.ended(now, ticket, outcome),
            Message::Unreachable(upstream) => {
                self.gate.upstream_failed(now, &upstream);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Sends decisions to the entries. An exchange whose buffer is full is closed, so that its
    /// entry notices.
    fn send_decisions(&mut self, decisions: Vec<Decision>) {
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
                log::warn!(
                    reason:% = e;
                    "Cannot send a gate's decision to an entry; closing the exchange."
                );
                self.tickets.remove(&ticket);
            }
        }
    }
}

impl GateHost {
    /// Serves one exchange that requests a permit, until the permit ends.
    pub async fn serve_permit(
        &self,
        now: Duration,
        catalog: &Catalog,
        permit: GatePermitRequest,
        end: Exchange,
    ) {
        let GatePermitRequest { gate, request } = permit;
        let (ticket, receiver) = self.open_ticket(now, catalog, &gate, end, |held, ticket| {
            let decisions = held.gate.request_permit(now, ticket, request);
            held.send_decisions(decisions);
        });
        self.serve_ticket(&gate, ticket, receiver).await;
    }

    /// Serves one exchange that reports a permit of the gate's previous holder, until it ends.
    pub async fn serve_adopted_permit(
        &self,
        now: Duration,
        catalog: &Catalog,
        permit: GatePermitRequest,
        upstream: UpstreamName,
        end: Exchange,
    ) {
        let GatePermitRequest { gate, request } = permit;
        let (ticket, receiver) = self.open_ticket(now, catalog, &gate, end, |held, ticket| {
            held.gate.adopt(ticket, request, upstream);
        });
        self.serve_ticket(&gate, ticket, receiver).await;
    }

    /// Creates the ticket of an exchange and tells the gate of it by `register`.
    fn open_ticket<F>(
        &self,
        now: Duration,
        catalog: &Catalog,
        gate: &GateId,
        end: Exchange,
        register: F,
    ) -> (Ticket, Receiver)
    where
        F: FnOnce(&mut HeldGate, Ticket),
    {
        let ticket = self.new_ticket();
        let (sender, receiver) = split_exchange(end);
        let mut gates = self.lock();
        let held = held_gate(&mut gates, now, gate, catalog);
        held.tickets.insert(ticket, sender);
        register(held, ticket);
        (ticket, receiver)
    }

    /// Closes upstreams of a gate to new work and returns the number of requests that still run on
    /// each; `None` while the gate still collects the permits of its predecessor.
    pub fn close(
        &self,
        now: Duration,
        catalog: &Catalog,
        close: CloseUpstreams,
    ) -> Option<Vec<UpstreamRuns>> {
        let mut gates = self.lock();
        let id = close.gate.clone();
        let held = held_gate(&mut gates, now, &id, catalog);
        held.close(now, &id, catalog, close);
        held.closed_upstream_runs(now)
    }

    /// Returns the state of each gate of this instance, for operators.
    pub fn report(&self) -> Vec<GateReport> {
        let gates = self.lock();
        let reports = gates.iter().map(|(id, held)| GateReport {
            pool: id.pool.clone(),
            data_centre: id.data_centre.clone(),
            summary: held.gate.summary(),
        });
        reports.collect()
    }

    /// Runs the time-outs and the grants that are due at every gate.
    pub fn tick(&self, now: Duration, catalog: &Catalog) {
        for (id, held) in self.lock().iter_mut() {
            held.refresh(now, id, catalog);
            let decisions = held.gate.tick(now);
            held.send_decisions(decisions);
        }
    }

    /// Removes the gates that have another holder, for which `keep` is false, unless they have
    /// tickets.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&GateId) -> bool,
    {
        self.lock().retain(|id, held| keep(id) || !held.tickets.is_empty());
    }

    async fn serve_ticket(&self, gate: &GateId, ticket: Ticket, end: Receiver) {
        let Receiver { mut rx, mut closed } = end;
        let ended = tokio::select! {
            biased;
            ended = self.handle_until_end(gate, ticket, &mut rx) => ended,
            _ = &mut closed => false,
        };
        if !ended {
            let late_end = async {
                if !self.handle_until_end(gate, ticket, &mut rx).await {
                    pending::<()>().await;
                }
            };
            if timeout(ORPHANED_PERMIT_LIFETIME, late_end).await.is_err() {
                self.handle_message(gate, ticket, Message::Ended(Outcome::Cancelled));
            }
        }
        self.remove_ticket(gate, ticket);
    }

    /// Handles messages until the permit ends; returns false if the exchange ends before.
    async fn handle_until_end(
        &self,
        gate: &GateId,
        ticket: Ticket,
        rx: &mut mpsc::Receiver<Message>,
    ) -> bool {
        while let Some(message) = rx.recv().await {
            let ended = matches!(message, Message::Ended(_));
            self.handle_message(gate, ticket, message);
            if ended {
                return true;
            }
        }
        false
    }

    fn handle_message(&self, gate: &GateId, ticket: Ticket, message: Message) {
        let mut gates = self.lock();
        let Some(held) = gates.get_mut(gate) else { return };
        let decisions = held.handle_message(clock::now(), ticket, message);
        held.send_decisions(decisions);
    }

    fn remove_ticket(&self, gate: &GateId, ticket: Ticket) {
        if let Some(held) = self.lock().get_mut(gate) {
            held.tickets.remove(&ticket);
        }
    }

    fn new_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GateId, HeldGate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn held_gate<'a>(
    gates: &'a mut HashMap<GateId, HeldGate>,
    now: Duration,
    id: &GateId,
    catalog: &Catalog,
) -> &'a mut HeldGate {
    let held = gates.entry(id.clone()).or_insert_with(|| HeldGate::new(now, id, catalog));
    held.refresh(now, id, catalog);
    held
}

fn gate_upstreams(id: &GateId, catalog: &Catalog, closed: &ClosedUpstreams) -> Vec<UpstreamSpec> {
    let Some(pool) = catalog.pools.get(&id.pool) else { return Vec::new() };
    let in_data_centre =
        pool.upstreams.iter().filter(|upstream| upstream.data_centre == id.data_centre);
    let spec = |upstream: &UpstreamSpec| {
        let leaving = upstream.leaving || closed.upstreams.contains(&upstream.name);
        UpstreamSpec { leaving, ..upstream.clone() }
    };
    in_data_centre.map(spec).collect()
}
