//! Control loop of one pool: acquires the lease, then reads the engines and sends orders in rounds.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use lacewingspring_core::{
    names::{PoolName, UpstreamName},
    pool_control::{
        ControllerLease, Halt, Order, OrderOutcome, RollOut, RollOutPolicy, Status, Target,
    },
    resources::EnginePoolSpec,
};
use tokio::{sync::mpsc, time::sleep};

use super::{
    is_own,
    observe::{self, ClosedEngines},
    sleep_jittered,
    slots::LoadSlots,
    target,
    tenure::{HeldLease, read_halt, write_halt},
};
use crate::{
    clock,
    daemon::Node,
    membership::{is_up, peer},
    peers::{Message, PoolCall, PoolReport},
    settings::Mechanism,
    upstreams::orders,
};

/// Time between two rounds while a roll-out is in progress.
const BUSY_ROUND: Duration = Duration::from_millis(200);

/// Time between two rounds once the roll-out is done.
const IDLE_ROUND: Duration = Duration::from_secs(1);

/// First wait before another attempt to acquire the lease.
const MIN_LEASE_BACKOFF: Duration = Duration::from_millis(500);

/// Longest wait before another attempt to acquire the lease.
const MAX_LEASE_BACKOFF: Duration = Duration::from_secs(5);

/// Time after which an unchanged report is sent again, for instances that missed it.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for sending a report to one instance.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Controls a pool until another instance has its role or the pool is no longer managed.
pub(super) async fn run(node: Arc<Node>, pool: PoolName) {
    let mut wait = MIN_LEASE_BACKOFF;
    while is_own(&node, &pool) && target(&node, &pool).is_some() {
        match Controller::start(&node, &pool).await {
            Some(controller) => {
                wait = MIN_LEASE_BACKOFF;
                controller.run().await;
            }
            None => {
                sleep_jittered(wait).await;
                wait = (wait * 2).min(MAX_LEASE_BACKOFF);
            }
        }
    }
}

/// An order and its outcome, reported by the task that sent it.
struct CompletedOrder {
    order: Order,
    outcome: OrderOutcome,
}

/// State of a controller while it holds the lease of its pool.
struct Controller {
    node: Arc<Node>,
    pool: PoolName,
    lease: HeldLease,
    slots: LoadSlots,
    roll_out: RollOut,
    closed_at_gates: ClosedEngines,
    /// Engines that gates must not dispatch to, as of the last decision.
    closed: BTreeSet<UpstreamName>,
    stored_halt: Option<Halt>,
    /// Target and status of the last round.
    last_round: Option<(Target, Status)>,
    completed_tx: mpsc::UnboundedSender<CompletedOrder>,
    completed_rx: mpsc::UnboundedReceiver<CompletedOrder>,
    last_report: Option<PoolReport>,
    reported_at: Duration,
}

impl Controller {
    /// Acquires the lease; `None` if another instance holds it or the key-value service fails.
    async fn start(node: &Arc<Node>, pool: &PoolName) -> Option<Self> {
        let warn =
            |e| log::warn!(pool:% = pool, reason:% = e; "Pool control: could not start; retries.");
        let lease = HeldLease::acquire(node, pool).await.map_err(warn).ok()??;
        let halt = read_halt(node, pool).await.map_err(warn).ok()?;
        let slots = LoadSlots::adopt(node, pool).await.map_err(warn).ok()?;
        let fencing = lease.validity.fencing;
        log::info!(pool:% = pool, fencing; "Pool control: acquired the lease.");
        let policy = RollOutPolicy {
            drain_first: node.settings.test.is_on(Mechanism::EngineDrain),
            halt_on_failure: node.settings.test.is_on(Mechanism::RollOutHalt),
            ..RollOutPolicy::default()
        };
        let roll_out = RollOut::new(fencing, policy, target(node, pool)?, halt.clone());
        let (completed_tx, completed_rx) = mpsc::unbounded_channel();
        Some(Self {
            node: node.clone(),
            pool: pool.clone(),
            lease,
            slots,
            roll_out,
            closed_at_gates: ClosedEngines::default(),
            closed: BTreeSet::new(),
            stored_halt: halt,
            last_round: None,
            completed_tx,
            completed_rx,
            last_report: None,
            reported_at: Duration::ZERO,
        })
    }

    async fn run(mut self) {
        loop {
            self.lease.renew_if_due(&self.node).await;
            if !may_order(&self.node, &self.lease.validity) {
                self.publish(Status::NoLease);
                return;
            }
            let Some(status) = self.round().await else { break };
            let round = if matches!(status, Status::Done(_)) { IDLE_ROUND } else { BUSY_ROUND };
            let superseded = status == Status::Superseded;
            self.publish(status);
            if superseded {
                // An engine has seen a higher fencing number. Fencing numbers only grow, so a
                // newly acquired lease may have the highest one.
                sleep_jittered(MAX_LEASE_BACKOFF).await;
                break;
            }
            // Wakes up early for a renewal that is due before the next round.
            tokio::select! {
                () = sleep_jittered(round) => {}
                () = sleep(self.lease.until_renewal()) => {}
            }
        }
        if target(&self.node, &self.pool).is_none() {
            self.slots.adjust(&self.node, 0).await;
        }
        self.lease.release(&self.node).await;
    }

    /// Reads the engines, decides and sends orders once. Returns `None` if this instance no longer
    /// holds the pool's role or the pool is no longer managed.
    async fn round(&mut self) -> Option<Status> {
        if !is_own(&self.node, &self.pool) {
            return None;
        }
        let target = target(&self.node, &self.pool)?;
        if let Some(status) = self.finished_status(&target) {
            return Some(status);
        }
        let catalog = self.node.catalog();
        let spec = catalog.pools.get(&self.pool)?;
        self.roll_out.set_target(target.clone());
        while let Ok(CompletedOrder { order, outcome }) = self.completed_rx.try_recv() {
            self.roll_out.record_outcome(&order, outcome);
        }
        let fencing = self.lease.validity.fencing;
        // A gate closes the engines before it counts the open runs on them.
        let running =
            self.closed_at_gates.update(&self.node, &self.pool, spec, fencing, &self.closed).await;
        let mut engines = observe::engines(spec).await;
        for engine in &mut engines {
            engine.running = running.get(&engine.upstream).copied();
        }
        let plan = self.roll_out.decide(clock::now(), &engines, self.slots.max_loads(&self.node));
        self.closed = plan.closed;
        if may_order(&self.node, &self.lease.validity) {
            self.slots.adjust(&self.node, plan.load_slots).await;
        }
        self.store_halt().await;
        for order in plan.orders {
            self.send(spec, order);
        }
        self.last_round = Some((target, plan.status.clone()));
        Some(plan.status)
    }

    /// Returns the last status if the roll-out to this target is done and a test has switched
    /// reconciling off. The round then leaves the engines alone.
    fn finished_status(&self, target: &Target) -> Option<Status> {
        let on = self.node.settings.test.is_on(Mechanism::Reconcile);
        let (last, status) = self.last_round.as_ref().filter(|_| !on)?;
        (last == target && matches!(status, Status::Done(_))).then(|| status.clone())
    }

    /// Sends an order in a separate task, since loading weights may take minutes.
    fn send(&self, spec: &EnginePoolSpec, order: Order) {
        let found = spec.upstreams.iter().find(|it| it.name == order.upstream);
        let Some(address) = found.and_then(observe::address) else { return };
        let (node, validity, tx) =
            (self.node.clone(), self.lease.validity, self.completed_tx.clone());
        tokio::spawn(async move {
            // Checks the lease right before sending: it may have expired while the process was
            // frozen.
            let outcome = if may_order(&node, &validity) {
                log::info!(
                    upstream:% = order.upstream, version = order.state.serves.version,
                    fencing = order.state.fencing, loads = order.loads;
                    "Pool control: sends an order to an engine."
                );
                orders::send_order(address, &order.state).await
            } else {
                OrderOutcome::NotSent
            };
            let _ = tx.send(CompletedOrder { order, outcome });
        });
    }

    /// Stores a new halt; a failed write is retried in the next round.
    async fn store_halt(&mut self) {
        let Some(halt) =
            self.roll_out.halt().filter(|halt| Some(*halt) != self.stored_halt.as_ref())
        else {
            return;
        };
        log::warn!(
            pool:% = self.pool, upstream:% = halt.upstream;
            "Pool control: halts the roll-out."
        );
        match write_halt(&self.node, &self.pool, halt).await {
            Ok(()) => self.stored_halt = Some(halt.clone()),
            Err(e) => log::warn!(
                reason:% = e;
                "Pool control: could not store the halt; retries in the next round."
            ),
        }
    }

    /// Sends the status of the roll-out to all instances if it changed or the last report is older
    /// than [`REPORT_INTERVAL`].
    fn publish(&mut self, status: Status) {
        let now = clock::now();
        let before = self.last_report.as_ref();
        let changed = before.is_none_or(|before| before.status != status);
        if !changed && now < self.reported_at + REPORT_INTERVAL {
            return;
        }
        let report = PoolReport {
            pool: self.pool.clone(),
            controller: self.node.settings.instance.clone(),
            fencing: self.lease.validity.fencing,
            number: before.map_or(0, |before| before.number + 1),
            at_ms: clock::wall().as_millis() as u64,
            status,
        };
        self.last_report = Some(report.clone());
        self.reported_at = now;
        let view = self.node.fleet.view();
        for member in view.members.iter().filter(|member| is_up(member)).map(peer) {
            let (node, call) = (self.node.clone(), PoolCall::Report(report.clone()));
            tokio::spawn(async move {
                let _ = node.peers.call(&member, Message::Pool(call), REPORT_TIMEOUT).await;
            });
        }
    }
}

/// Returns whether the lease is still valid by this instance's own clock.
fn may_order(node: &Node, validity: &ControllerLease) -> bool {
    !node.settings.test.is_on(Mechanism::LeaseClock) || validity.may_order(clock::now())
}
