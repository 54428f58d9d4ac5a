//! Roll-out of a goal to the engines of a pool.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    model::{EngineState, Observation, Order, OrderOutcome, ServingConfig, Target},
    status::{Halt, HaltReason, Progress, Status},
};
use crate::names::UpstreamName;

/// Delay before the first retry of an order that was not carried out; it doubles with each retry.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Longest delay between two retries of an order.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Retries after which a load counts as failed if the engine accepts the order but neither replies
/// nor serves the goal.
const MAX_UNANSWERED_RETRIES: u32 = 2;

/// Actions of one round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Engines to which their gates are to send no new work.
    pub closed: BTreeSet<UpstreamName>,
    /// Orders to send now.
    pub orders: Vec<Order>,
    /// Loads that the pool runs or is about to run, to be reserved in the fleet's limit on
    /// concurrent loads.
    pub load_slots: usize,
    /// Status of the roll-out after the round.
    pub status: Status,
}

/// Safety mechanisms of a roll-out. Tests switch them off one by one to show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollOutPolicy {
    /// Whether to leave the last ready engine in service.
    pub keep_last_ready: bool,
    /// Whether the declared limit on engines out of service applies.
    pub limit_unavailable: bool,
    /// Whether a failed load or a crash of an engine halts the roll-out.
    pub halt_on_failure: bool,
    /// Whether to wait until no request runs on an engine before it loads.
    pub drain_first: bool,
}

impl Default for RollOutPolicy {
    fn default() -> Self {
        Self {
            keep_last_ready: true,
            limit_unavailable: true,
            halt_on_failure: true,
            drain_first: true,
        }
    }
}

/// State of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// The order has no result yet.
    InFlight,
    /// The order has a result, which is still to be compared with the next observation.
    Ended(OrderOutcome),
}

/// Outcome of an engine's order according to the state that the engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderVerdict {
    /// The outcome is not known yet, or no order was sent.
    Pending,
    /// The engine serves the goal.
    Done,
    /// The roll-out must halt.
    Halt(HaltReason),
    /// The engine did not carry out the order, which is to be sent again.
    Retry,
}

/// An engine that the roll-out has taken out of service.
#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    /// State of the last load order; `None` before the first one and during a back-off.
    sent: Option<Sent>,
    /// Number of orders that were not carried out.
    failures: u32,
    retry_at: Duration,
}

impl Attempt {
    fn back_off(&mut self, now: Duration) {
        let delay = MIN_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.sent = None;
        self.failures += 1;
        self.retry_at = now + delay;
    }
}

/// Roll-out of the current goal by one holder of the controller lease.
#[derive(Debug)]
pub struct RollOut {
    fencing: u64,
    policy: RollOutPolicy,
    target: Target,
    halt: Option<Halt>,
    superseded: bool,
    /// Engines that the roll-out has taken out of service.
    attempts: BTreeMap<UpstreamName, Attempt>,
    /// Engines with an order in flight that only raises the fencing number.
    fencing_in_flight: BTreeSet<UpstreamName>,
    /// Engines that have been observed to serve the goal.
    completed: BTreeSet<UpstreamName>,
}

impl RollOut {
    /// Starts a roll-out under a fencing number.
    ///
    /// `halt` is the halt that an earlier holder of the lease stored; it applies if it is of the
    /// same generation as the target.
    pub fn new(fencing: u64, policy: RollOutPolicy, target: Target, halt: Option<Halt>) -> Self {
        let halt = halt.filter(|halt| halt.generation == target.generation);
        Self {
            fencing,
            policy,
            target,
            halt,
            superseded: false,
            attempts: BTreeMap::new(),
            fencing_in_flight: BTreeSet::new(),
            completed: BTreeSet::new(),
        }
    }

    /// Returns the halt of the roll-out, if it has halted.
    pub fn halt(&self) -> Option<&Halt> {
        self.halt.as_ref()
    }

    /// Replaces the target. A new goal or generation ends a halt; orders in flight stay tracked.
    pub fn set_target(&mut self, target: Target) {
        if self.target == target {
            return;
        }
        if self.target.goal != target.goal || self.target.generation != target.generation {
            self.halt = None;
            self.completed.clear();
            self.attempts.retain(|_, attempt| attempt.sent == Some(Sent::InFlight));
        }
        self.target = target;
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, order: &Order, outcome: OrderOutcome) {
        self.superseded |= outcome == OrderOutcome::Stale;
        if !order.loads {
            self.fencing_in_flight.remove(&order.upstream);
        } else if order.state.serves != self.target.goal {
            // The order was for an earlier goal, so its outcome does not count for this one.
            self.attempts.remove(&order.upstream);
        } else if let Some(attempt) = self.attempts.get_mut(&order.upstream) {
            attempt.sent = Some(Sent::Ended(outcome));
        }
    }

    /// Plans one round.
    ///
    /// `held_slots` is the number of the fleet's load slots that the pool holds.
    pub fn decide(&mut self, now: Duration, engines: &[Observation], held_slots: usize) -> Plan {
        self.evaluate_orders(now, engines);
        self.select_engines(now, engines, held_slots);
        let mut orders = Vec::new();
        if !self.superseded {
            orders.extend(engines.iter().filter_map(|it| self.load_order(now, it, engines)));
            orders.extend(engines.iter().filter_map(|it| self.fencing_order(it)));
        }
        for order in &orders {
            if order.loads {
                let attempt = self.attempts.entry(order.upstream.clone()).or_default();
                attempt.sent = Some(Sent::InFlight);
            } else {
                self.fencing_in_flight.insert(order.upstream.clone());
            }
        }
        let closed = engines.iter().filter(|it| self.is_unavailable(it));
        let closed = closed.map(|it| it.upstream.clone()).collect();
        Plan {
            closed,
            orders,
            load_slots: self.load_slots(engines),
            status: self.status(engines, held_slots),
        }
    }

    /// Returns the number of load slots that the pool needs: for the engines out of service and,
    /// unless the roll-out has ended early, up to the declared limit for those that may be next.
    fn load_slots(&self, engines: &[Observation]) -> usize {
        let out = engines.iter().filter(|it| self.is_unavailable(it)).count();
        if self.halt.is_some() || self.superseded {
            return out;
        }
        let goal = &self.target.goal;
        let next = |it: &&Observation| {
            it.is_outdated(goal) && !self.is_unavailable(it) && self.may_take_out(it, engines)
        };
        let next = engines.iter().filter(next).count();
        out.max((out + next).min(self.target.max_unavailable))
    }

    /// Compares the orders that were sent with the states that the engines report.
    fn evaluate_orders(&mut self, now: Duration, engines: &[Observation]) {
        self.attempts.retain(|name, _| engines.iter().any(|it| it.upstream == *name));
        let unfinished = engines.iter().any(|it| it.is_outdated(&self.target.goal));
        for it in engines {
            if it.state.is_none() && unfinished && self.completed.contains(&it.upstream) {
                self.record_halt(it, HaltReason::EngineCrashed);
            }
            match self.verdict(it) {
                OrderVerdict::Pending => {}
                OrderVerdict::Done => {
                    self.attempts.remove(&it.upstream);
                    self.completed.insert(it.upstream.clone());
                }
                OrderVerdict::Halt(reason) => {
                    self.attempts.remove(&it.upstream);
                    self.record_halt(it, reason);
                }
                OrderVerdict::Retry => {
                    let attempt = self.attempts.entry(it.upstream.clone()).or_default();
                    attempt.back_off(now);
                }
            }
        }
    }

    fn verdict(&self, it: &Observation) -> OrderVerdict {
        let attempt = self.attempts.get(&it.upstream);
        let sent = attempt.and_then(|attempt| attempt.sent);
        let failures = attempt.map_or(0, |attempt| attempt.failures);
        match (sent, &it.state) {
            (Some(Sent::InFlight), _) => OrderVerdict::Pending,
            _ if it.serves_goal(&self.target.goal) => OrderVerdict::Done,
            (None, _) => OrderVerdict::Pending,
            (_, Some(state)) if state.loading => OrderVerdict::Pending,
            (Some(Sent::Ended(OrderOutcome::Failed)), _) => {
                OrderVerdict::Halt(HaltReason::LoadFailed)
            }
            (Some(Sent::Ended(OrderOutcome::NoReply | OrderOutcome::Applied)), None) => {
                OrderVerdict::Halt(HaltReason::EngineCrashed)
            }
            (Some(Sent::Ended(OrderOutcome::NoReply)), Some(state))
                if state.fencing == self.fencing && failures >= MAX_UNANSWERED_RETRIES =>
            {
                OrderVerdict::Halt(HaltReason::LoadFailed)
            }
            _ => OrderVerdict::Retry,
        }
    }

    fn record_halt(&mut self, it: &Observation, reason: HaltReason) {
        let (generation, upstream) = (self.target.generation, it.upstream.clone());
        if self.policy.halt_on_failure {
            self.halt.get_or_insert(Halt { generation, reason, upstream });
        }
    }

    /// Selects the engines that the roll-out takes out of service.
    fn select_engines(&mut self, now: Duration, engines: &[Observation], held_slots: usize) {
        let in_flight = |attempt: &Attempt| attempt.sent == Some(Sent::InFlight);
        if self.halt.is_some() || self.superseded {
            self.attempts.retain(|_, attempt| in_flight(attempt));
            return;
        }
        let goal = &self.target.goal;
        let outdated = |name: &UpstreamName| {
            engines.iter().any(|it| it.upstream == *name && it.is_outdated(goal))
        };
        self.attempts.retain(|name, attempt| attempt.sent.is_some() || outdated(name));
        let mut outdated: Vec<_> = engines.iter().filter(|it| it.is_outdated(goal)).collect();
        outdated.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        for it in outdated {
            let out = engines.iter().filter(|it| self.is_unavailable(it)).count();
            let at_limit =
                self.policy.limit_unavailable && out >= self.target.max_unavailable.min(held_slots);
            if at_limit || self.is_unavailable(it) || !self.may_take_out(it, engines) {
                continue;
            }
            self.attempts
                .insert(it.upstream.clone(), Attempt { retry_at: now, ..Attempt::default() });
        }
    }

    /// Returns whether the engine may go out of service: another one stays ready, or this one isn't
    /// ready anyway.
    fn may_take_out(&self, engine: &Observation, engines: &[Observation]) -> bool {
        let goal = &self.target.goal;
        let stays_ready = |it: &Observation| {
            it.upstream != engine.upstream && it.is_ready(goal) && !self.is_unavailable(it)
        };
        !self.policy.keep_last_ready || !engine.is_ready(goal) || engines.iter().any(stays_ready)
    }

    fn is_unavailable(&self, engine: &Observation) -> bool {
        engine.is_loading() || self.attempts.contains_key(&engine.upstream)
    }

    /// Returns the order to load the goal, if the engine is drained and the order is due.
    fn load_order(
        &self,
        now: Duration,
        it: &Observation,
        engines: &[Observation],
    ) -> Option<Order> {
        let attempt = self.attempts.get(&it.upstream)?;
        let due = attempt.sent.is_none() && now >= attempt.retry_at;
        let due = due && (!self.policy.drain_first || it.running == Some(0));
        let is_allowed = due && it.is_outdated(&self.target.goal) && self.may_take_out(it, engines);
        is_allowed.then(|| self.order(it, self.target.goal.clone(), true))
    }

    /// Returns the order that raises the fencing number and leaves the rest of the state unchanged,
    /// so that the engine refuses late orders of an earlier holder.
    fn fencing_order(&self, it: &Observation) -> Option<Order> {
        let state = it.state.as_ref().filter(|state| !state.loading)?;
        let busy = self.attempts.contains_key(&it.upstream)
            || self.fencing_in_flight.contains(&it.upstream);
        let due = it.checks_fencing && state.fencing < self.fencing && !busy;
        due.then(|| self.order(it, state.serves.clone(), false))
    }

    fn order(&self, it: &Observation, serves: ServingConfig, loads: bool) -> Order {
        let state = EngineState { serves, fencing: self.fencing, loading: false };
        Order { upstream: it.upstream.clone(), state, loads }
    }

    fn status(&self, engines: &[Observation], held_slots: usize) -> Status {
        let goal = &self.target.goal;
        let done = engines.iter().filter(|it| it.serves_goal(goal)).count();
        let progress = Progress { done, all: engines.len() };
        let blocked = |it: &&Observation| it.is_outdated(goal) && !self.may_take_out(it, engines);
        match &self.halt {
            _ if self.superseded => Status::Superseded,
            Some(halt) => Status::Halted(halt.clone()),
            None if done == engines.len() => Status::Done(progress),
            None if self.attempts.is_empty() && engines.iter().any(|it| blocked(&it)) => {
                Status::LastReadyEngine(progress)
            }
            None if held_slots == 0 && self.load_slots(engines) > 0 => {
                Status::WaitingForLoads(progress)
            }
            None => Status::Rolling(progress),
        }
    }
}
