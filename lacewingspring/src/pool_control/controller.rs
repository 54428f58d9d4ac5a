//! The controller of one pool: takes the lease, then observes, decides and orders in rounds.

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

/// Time between two rounds while a roll-out goes on.
const BUSY_ROUND: Duration = Duration::from_millis(200);

/// Time between two rounds while nothing is to do.
const IDLE_ROUND: Duration = Duration::from_secs(1);

/// First wait for a lease that another holds or that the service doesn't give.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for a lease.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Time after which an unchanged report is told again, for instances that missed it.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Longest wait for an instance to take a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Controls a pool until another instance has the role.
pub(super) async fn run(node: Arc<Node>, pool: PoolName) {
    let mut wait = MIN_WAIT;
    while is_own(&node, &pool) && target(&node, &pool).is_some() {
        match Controller::start(&node, &pool).await {
            Some(controller) => {
                wait = MIN_WAIT;
                controller.run().await;
            }
            None => {
                sleep_jittered(wait).await;
                wait = (wait * 2).min(MAX_WAIT);
            }
        }
    }
}

struct Ended {
    order: Order,
    outcome: OrderOutcome,
}

/// The rounds of one tenure.
struct Controller {
    node: Arc<Node>,
    pool: PoolName,
    lease: HeldLease,
    slots: LoadSlots,
    roll_out: RollOut,
    gates: ClosedEngines,
    closed: BTreeSet<UpstreamName>,
    written: Option<Halt>,
    last: Option<(Target, Status)>,
    ended_tx: mpsc::UnboundedSender<Ended>,
    ended_rx: mpsc::UnboundedReceiver<Ended>,
    report: Option<PoolReport>,
    report_at: Duration,
}

impl Controller {
    /// Takes the lease; none when another has it or the service doesn't answer.
    async fn start(node: &Arc<Node>, pool: &PoolName) -> Option<Self> {
        let warn = |e| log::warn!(pool:% = pool, reason:% = e; "Pool control: no lease.");
        let lease = HeldLease::take(node, pool).await.map_err(warn).ok()??;
        let halt = read_halt(node, pool).await.map_err(warn).ok()?;
        let slots = LoadSlots::adopt(node, pool).await.map_err(warn).ok()?;
        let fencing = lease.tenure.fencing;
        log::info!(pool:% = pool, fencing; "Pool control: takes the lease.");
        let policy = RollOutPolicy {
            drain_first: node.settings.test.is_on(Mechanism::EngineDrain),
            halt_on_failure: node.settings.test.is_on(Mechanism::RollOutHalt),
            ..RollOutPolicy::default()
        };
        let roll_out = RollOut::new(fencing, policy, target(node, pool)?, halt.clone());
        let (ended_tx, ended_rx) = mpsc::unbounded_channel();
        Some(Self {
            node: node.clone(),
            pool: pool.clone(),
            lease,
            slots,
            roll_out,
            gates: ClosedEngines::default(),
            closed: BTreeSet::new(),
            written: halt,
            last: None,
            ended_tx,
            ended_rx,
            report: None,
            report_at: Duration::ZERO,
        })
    }

    async fn run(mut self) {
        loop {
            self.lease.keep(&self.node).await;
            if !may_order(&self.node, &self.lease.tenure) {
                self.tell(Status::NoLease);
                return;
            }
            let Some(status) = self.round().await else { break };
            let round = if matches!(status, Status::Done(_)) { IDLE_ROUND } else { BUSY_ROUND };
            let superseded = status == Status::Superseded;
            self.tell(status);
            if superseded {
                // The number only grows, so the next tenure may be the higher one.
                sleep_jittered(MAX_WAIT).await;
                break;
            }
            // A round that is longer than the time to the next renewal must not delay it.
            tokio::select! {
                () = sleep_jittered(round) => {}
                () = sleep(self.lease.until_renewal()) => {}
            }
        }
        if target(&self.node, &self.pool).is_none() {
            self.slots.settle(&self.node, 0).await;
        }
        self.lease.release(&self.node).await;
    }

    /// Observes, decides and orders once; none when the pool is no longer this instance's.
    async fn round(&mut self) -> Option<Status> {
        if !is_own(&self.node, &self.pool) {
            return None;
        }
        let target = target(&self.node, &self.pool)?;
        if let Some(status) = self.is_left_alone(&target) {
            return Some(status);
        }
        let catalog = self.node.catalog();
        let spec = catalog.pools.get(&self.pool)?;
        self.roll_out.set_target(target.clone());
        while let Ok(Ended { order, outcome }) = self.ended_rx.try_recv() {
            self.roll_out.record_outcome(&order, outcome);
        }
        let fencing = self.lease.tenure.fencing;
        // The gates close the engines before they count what runs on them.
        let running = self.gates.tell(&self.node, &self.pool, spec, fencing, &self.closed).await;
        let mut engines = observe::engines(spec).await;
        for engine in &mut engines {
            engine.running = running.get(&engine.upstream).copied();
        }
        let plan = self.roll_out.decide(clock::now(), &engines, self.slots.len(&self.node));
        self.closed = plan.closed;
        if may_order(&self.node, &self.lease.tenure) {
            self.slots.settle(&self.node, plan.load_slots).await;
        }
        self.keep_halt().await;
        for order in plan.orders {
            self.send(spec, order);
        }
        self.last = Some((target, plan.status.clone()));
        Some(plan.status)
    }

    /// Returns the status of a finished roll-out, in a test that switches reconciling off.
    fn is_left_alone(&self, target: &Target) -> Option<Status> {
        let on = self.node.settings.test.is_on(Mechanism::Reconcile);
        let (last, status) = self.last.as_ref().filter(|_| !on)?;
        (last == target && matches!(status, Status::Done(_))).then(|| status.clone())
    }

    /// Sends an order in a task of its own, as a load takes long.
    fn send(&self, spec: &EnginePoolSpec, order: Order) {
        let found = spec.upstreams.iter().find(|it| it.name == order.upstream);
        let Some(address) = found.and_then(observe::address) else { return };
        let (node, tenure, tx) = (self.node.clone(), self.lease.tenure, self.ended_tx.clone());
        tokio::spawn(async move {
            // The last look before the order: a holder that was frozen until here gives none.
            let outcome = if may_order(&node, &tenure) {
                log::info!(
                    upstream:% = order.upstream, version = order.state.serves.version,
                    fencing = order.state.fencing, loads = order.loads;
                    "Pool control: orders an engine."
                );
                orders::order(address, &order.state).await
            } else {
                OrderOutcome::NotSent
            };
            let _ = tx.send(Ended { order, outcome });
        });
    }

    /// Writes a new halt; a failed write is tried again in the next round.
    async fn keep_halt(&mut self) {
        let Some(halt) = self.roll_out.halt().filter(|halt| Some(*halt) != self.written.as_ref())
        else {
            return;
        };
        log::warn!(pool:% = self.pool, upstream:% = halt.upstream; "Pool control: halts.");
        match write_halt(&self.node, &self.pool, halt).await {
            Ok(()) => self.written = Some(halt.clone()),
            Err(e) => log::warn!(reason:% = e; "Pool control: could not write a halt."),
        }
    }

    /// Tells all instances where the roll-out stands, when it changed or was told long ago.
    fn tell(&mut self, status: Status) {
        let now = clock::now();
        let before = self.report.as_ref();
        let changed = before.is_none_or(|before| before.status != status);
        if !changed && now < self.report_at + REPORT_INTERVAL {
            return;
        }
        let report = PoolReport {
            pool: self.pool.clone(),
            controller: self.node.settings.instance.clone(),
            fencing: self.lease.tenure.fencing,
            number: before.map_or(0, |before| before.number + 1),
            at_ms: clock::wall().as_millis() as u64,
            status,
        };
        self.report = Some(report.clone());
        self.report_at = now;
        let view = self.node.fleet.view();
        for member in view.members.iter().filter(|member| is_up(member)).map(peer) {
            let (node, call) = (self.node.clone(), PoolCall::Report(report.clone()));
            tokio::spawn(async move {
                let _ = node.peers.call(&member, Message::Pool(call), REPORT_TIMEOUT).await;
            });
        }
    }
}

/// Returns whether the lease still stands by this instance's own clock.
fn may_order(node: &Node, tenure: &ControllerLease) -> bool {
    !node.settings.test.is_on(Mechanism::LeaseClock) || tenure.may_order(clock::now())
}
