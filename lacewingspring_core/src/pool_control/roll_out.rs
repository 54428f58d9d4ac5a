//! Roll-out of a goal over the engines of a pool.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    model::{EngineState, Observation, Order, OrderOutcome, ServingConfig, Target},
    status::{Halt, HaltReason, Progress, Status},
};
use crate::names::UpstreamName;

/// First wait after an order that was not taken.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Longest wait after an order that was not taken.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Orders that an engine took and lost without a word before the load counts as failed.
const MAX_LOST: u32 = 2;

/// What to do in one round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Engines that their gates are to give no new work.
    pub closed: BTreeSet<UpstreamName>,
    /// Orders to send now.
    pub orders: Vec<Order>,
    /// Engines that load or are to, for which the fleet's budget of loads must have room.
    pub load_slots: usize,
    /// Where the roll-out stands.
    pub status: Status,
}

/// Mechanisms of a roll-out, all on but in tests that show what each is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollOutPolicy {
    /// Whether the last ready engine is left in service.
    pub keep_last_ready: bool,
    /// Whether the declared number bounds the engines that are out at once.
    pub limit_unavailable: bool,
    /// Whether a failed load halts the roll-out.
    pub halt_on_failure: bool,
    /// Whether an engine is loaded only when nothing runs on it.
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

/// An order that was sent, and what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// No answer yet.
    InFlight,
    /// The answer, to be judged against the next observation.
    Ended(OrderOutcome),
}

/// What became of an engine's order, by what the engine says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Nothing is known yet, or no order was sent.
    Waits,
    /// It serves the goal.
    Serves,
    /// The roll-out goes no further.
    Halts(HaltReason),
    /// It did not take the order.
    TriesAgain,
}

/// One engine in the roll-out.
#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    sent: Option<Sent>,
    failures: u32,
    next: Duration,
}

impl Attempt {
    fn back_off(&mut self, now: Duration) {
        let wait = MIN_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.sent = None;
        self.failures += 1;
        self.next = now + wait;
    }
}

/// Roll-out of the present goal by one tenure.
#[derive(Debug)]
pub struct RollOut {
    fencing: u64,
    policy: RollOutPolicy,
    target: Target,
    halt: Option<Halt>,
    superseded: bool,
    /// Engines that are out for the roll-out.
    attempts: BTreeMap<UpstreamName, Attempt>,
    /// Orders in flight that only tell the fencing number.
    telling: BTreeSet<UpstreamName>,
    /// Engines seen to serve the goal.
    served: BTreeSet<UpstreamName>,
}

impl RollOut {
    /// Starts under a fencing number; `halt` is what an earlier tenure left.
    pub fn new(fencing: u64, policy: RollOutPolicy, target: Target, halt: Option<Halt>) -> Self {
        let halt = halt.filter(|halt| halt.generation == target.generation);
        Self {
            fencing,
            policy,
            target,
            halt,
            superseded: false,
            attempts: BTreeMap::new(),
            telling: BTreeSet::new(),
            served: BTreeSet::new(),
        }
    }

    /// Returns why the roll-out halted.
    pub fn halt(&self) -> Option<&Halt> {
        self.halt.as_ref()
    }

    /// Takes a target; orders in flight stay known.
    pub fn set_target(&mut self, target: Target) {
        if self.target == target {
            return;
        }
        if self.target.goal != target.goal || self.target.generation != target.generation {
            self.halt = None;
            self.served.clear();
            self.attempts.retain(|_, attempt| attempt.sent == Some(Sent::InFlight));
        }
        self.target = target;
    }

    /// Takes what came of an order.
    pub fn record_outcome(&mut self, order: &Order, outcome: OrderOutcome) {
        self.superseded |= outcome == OrderOutcome::Stale;
        if !order.loads {
            self.telling.remove(&order.upstream);
        } else if order.state.serves != self.target.goal {
            // It was sent for an earlier goal and says nothing of this one.
            self.attempts.remove(&order.upstream);
        } else if let Some(attempt) = self.attempts.get_mut(&order.upstream) {
            attempt.sent = Some(Sent::Ended(outcome));
        }
    }

    /// Decides one round. The fleet's budget has `room` for so many engines of the pool to load.
    pub fn decide(&mut self, now: Duration, engines: &[Observation], room: usize) -> Plan {
        self.judge(now, engines);
        self.choose(now, engines, room);
        let mut orders = Vec::new();
        if !self.superseded {
            orders.extend(engines.iter().filter_map(|it| self.load(now, it, engines)));
            orders.extend(engines.iter().filter_map(|it| self.tell(it)));
        }
        for order in &orders {
            if order.loads {
                let attempt = self.attempts.entry(order.upstream.clone()).or_default();
                attempt.sent = Some(Sent::InFlight);
            } else {
                self.telling.insert(order.upstream.clone());
            }
        }
        let closed = engines.iter().filter(|it| self.is_out(it));
        let closed = closed.map(|it| it.upstream.clone()).collect();
        Plan { closed, orders, load_slots: self.loads(engines), status: self.status(engines, room) }
    }

    fn loads(&self, engines: &[Observation]) -> usize {
        let out = engines.iter().filter(|it| self.is_out(it)).count();
        if self.halt.is_some() || self.superseded {
            return out;
        }
        let goal = &self.target.goal;
        let next = |it: &&Observation| {
            it.is_outdated(goal) && !self.is_out(it) && self.may_go(it, engines)
        };
        let next = engines.iter().filter(next).count();
        out.max((out + next).min(self.target.max_unavailable))
    }

    /// Judges the orders that were sent by what the engines say now.
    fn judge(&mut self, now: Duration, engines: &[Observation]) {
        self.attempts.retain(|name, _| engines.iter().any(|it| it.upstream == *name));
        let unfinished = engines.iter().any(|it| it.is_outdated(&self.target.goal));
        for it in engines {
            if it.state.is_none() && unfinished && self.served.contains(&it.upstream) {
                self.halt_for(it, HaltReason::EngineCrashed);
            }
            match self.verdict(it) {
                Verdict::Waits => {}
                Verdict::Serves => {
                    self.attempts.remove(&it.upstream);
                    self.served.insert(it.upstream.clone());
                }
                Verdict::Halts(reason) => {
                    self.attempts.remove(&it.upstream);
                    self.halt_for(it, reason);
                }
                Verdict::TriesAgain => {
                    let attempt = self.attempts.entry(it.upstream.clone()).or_default();
                    attempt.back_off(now);
                }
            }
        }
    }

    fn verdict(&self, it: &Observation) -> Verdict {
        let attempt = self.attempts.get(&it.upstream);
        let sent = attempt.and_then(|attempt| attempt.sent);
        let failures = attempt.map_or(0, |attempt| attempt.failures);
        match (sent, &it.state) {
            (Some(Sent::InFlight), _) => Verdict::Waits,
            _ if it.is_at(&self.target.goal) => Verdict::Serves,
            (None, _) => Verdict::Waits,
            (_, Some(state)) if state.loading => Verdict::Waits,
            (Some(Sent::Ended(OrderOutcome::Failed)), _) => Verdict::Halts(HaltReason::LoadFailed),
            (Some(Sent::Ended(OrderOutcome::NoReply | OrderOutcome::Applied)), None) => {
                Verdict::Halts(HaltReason::EngineCrashed)
            }
            (Some(Sent::Ended(OrderOutcome::NoReply)), Some(state))
                if state.fencing == self.fencing && failures >= MAX_LOST =>
            {
                Verdict::Halts(HaltReason::LoadFailed)
            }
            _ => Verdict::TriesAgain,
        }
    }

    fn halt_for(&mut self, it: &Observation, reason: HaltReason) {
        let (generation, upstream) = (self.target.generation, it.upstream.clone());
        if self.policy.halt_on_failure {
            self.halt.get_or_insert(Halt { generation, reason, upstream });
        }
    }

    /// Chooses the engines that are out for the roll-out.
    fn choose(&mut self, now: Duration, engines: &[Observation], room: usize) {
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
            let out = engines.iter().filter(|it| self.is_out(it)).count();
            let full =
                self.policy.limit_unavailable && out >= self.target.max_unavailable.min(room);
            if full || self.is_out(it) || !self.may_go(it, engines) {
                continue;
            }
            self.attempts.insert(it.upstream.clone(), Attempt { next: now, ..Attempt::default() });
        }
    }

    /// Returns whether another engine serves requests while this one is out.
    fn may_go(&self, engine: &Observation, engines: &[Observation]) -> bool {
        let goal = &self.target.goal;
        let stays = |it: &Observation| {
            it.upstream != engine.upstream && it.is_ready(goal) && !self.is_out(it)
        };
        !self.policy.keep_last_ready || !engine.is_ready(goal) || engines.iter().any(stays)
    }

    fn is_out(&self, engine: &Observation) -> bool {
        engine.is_loading() || self.attempts.contains_key(&engine.upstream)
    }

    /// Returns the order to load the goal, once nothing runs on the engine.
    fn load(&self, now: Duration, it: &Observation, engines: &[Observation]) -> Option<Order> {
        let attempt = self.attempts.get(&it.upstream)?;
        let due = attempt.sent.is_none() && now >= attempt.next;
        let due = due && (!self.policy.drain_first || it.running == Some(0));
        let may_go = due && it.is_outdated(&self.target.goal) && self.may_go(it, engines);
        may_go.then(|| self.order(it, self.target.goal.clone(), true))
    }

    /// Returns the order that tells the fencing number and leaves all else as it is, so that the
    /// engine refuses what an earlier holder sends late.
    fn tell(&self, it: &Observation) -> Option<Order> {
        let state = it.state.as_ref().filter(|state| !state.loading)?;
        let busy = self.attempts.contains_key(&it.upstream) || self.telling.contains(&it.upstream);
        let due = it.checks_fencing && state.fencing < self.fencing && !busy;
        due.then(|| self.order(it, state.serves.clone(), false))
    }

    fn order(&self, it: &Observation, serves: ServingConfig, loads: bool) -> Order {
        let state = EngineState { serves, fencing: self.fencing, loading: false };
        Order { upstream: it.upstream.clone(), state, loads }
    }

    fn status(&self, engines: &[Observation], room: usize) -> Status {
        let goal = &self.target.goal;
        let done = engines.iter().filter(|it| it.is_at(goal)).count();
        let progress = Progress { done, all: engines.len() };
        let blocked = |it: &&Observation| it.is_outdated(goal) && !self.may_go(it, engines);
        match &self.halt {
            _ if self.superseded => Status::Superseded,
            Some(halt) => Status::Halted(halt.clone()),
            None if done == engines.len() => Status::Done(progress),
            None if self.attempts.is_empty() && engines.iter().any(|it| blocked(&it)) => {
                Status::LastReadyEngine(progress)
            }
            None if room == 0 && self.loads(engines) > 0 => Status::WaitingForLoads(progress),
            None => Status::Rolling(progress),
        }
    }
}
