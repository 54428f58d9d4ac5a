//! Roll-outs under random schedules, in which engines load, fail, crash and receive late orders.

mod support;

use std::{collections::BTreeSet, time::Duration};

use lacewingspring_core::pool_control::{
    ControllerLease, EngineState, Observation, Order, OrderOutcome, RollOut, RollOutPolicy,
    ServingConfig, Status, Target,
};
use quickcheck::{Gen, QuickCheck};

use support::Rng;

/// Time between two rounds of the controller.
const ROUND: Duration = Duration::from_millis(100);
/// Rounds of one simulation.
const ROUNDS: u64 = 400;

/// Faults that the simulation injects.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Probability that an engine crashes in a round, in percent.
    crash_percent: u64,
    /// Every load of the target's version fails.
    load_fails: bool,
    /// Round in which a successor takes over; the orders in flight then arrive late.
    successor_at: Option<u64>,
    /// The controller stops its rounds once every engine serves the goal.
    stops_when_done: bool,
}

struct Engine {
    state: EngineState,
    checks_fencing: bool,
    down_until: Duration,
    load: Option<(Duration, Order)>,
    running: u32,
}

/// Events that a simulation observed.
#[derive(Default)]
struct Seen {
    /// Loads were ordered so that no ready engine was left.
    last_ready_taken: bool,
    max_unavailable: usize,
    ordered_after_halt: bool,
    failed_loads: usize,
    /// A load started on an engine that still ran requests.
    loaded_while_running: bool,
    /// An engine that checks fencing accepted an order with a lower fencing number.
    lower_fencing: bool,
    /// All engines served the goal at the end.
    converged: bool,
}

struct Sim {
    rng: Rng,
    now: Duration,
    faults: Faults,
    /// Declared limit on engines out of service.
    declared_limit: usize,
    /// Load slots that the fleet grants to the pool.
    held_slots: usize,
    engines: Vec<Engine>,
    /// Orders in flight, with their arrival time and the fencing number of their sender.
    wire: Vec<(Duration, Order, u64)>,
    seen: Seen,
}

fn goal(version: &str) -> ServingConfig {
    ServingConfig { model: "m".into(), version: version.into(), ..ServingConfig::default() }
}

impl Sim {
    fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = Rng(seed);
        let engine = |rng: &mut Rng| Engine {
            state: EngineState { serves: goal("1"), ..EngineState::default() },
            checks_fencing: rng.chance(50),
            down_until: Duration::ZERO,
            load: None,
            running: rng.below(4) as u32,
        };
        let engines = (0..2 + rng.below(5)).map(|_| engine(&mut rng)).collect();
        let (declared_limit, held_slots) = (1 + rng.below(3) as usize, 1 + rng.below(3) as usize);
        let (now, wire, seen) = (Duration::ZERO, Vec::new(), Seen::default());
        Self { rng, now, faults, declared_limit, held_slots, engines, wire, seen }
    }

    fn observe(&self, closed: &BTreeSet<String>) -> Vec<Observation> {
        let engines = self.engines.iter().enumerate();
        let seen = engines.map(|(i, engine)| {
            let name = format!("e{i}");
            let loading = engine.load.is_some();
            let state = EngineState { loading, ..engine.state.clone() };
            Observation {
                running: closed.contains(&name).then_some(engine.running),
                upstream: name.into(),
                checks_fencing: engine.checks_fencing,
                leaving: false,
                state: (self.now >= engine.down_until).then_some(state),
            }
        });
        seen.collect()
    }

    /// Advances the engines by one round: they receive orders, finish loads, crash and serve
    /// requests. Returns the outcomes of orders with the fencing numbers of their senders.
    fn step(&mut self, closed: &BTreeSet<String>) -> Vec<(Order, OrderOutcome, u64)> {
        let mut ended = Vec::new();
        self.now += ROUND;
        for (_, order, sender) in self.wire.extract_if(.., |(at, ..)| *at <= self.now) {
            let i: usize = order.upstream.as_str()[1..].parse().unwrap();
            let engine = &mut self.engines[i];
            let stale = engine.checks_fencing && order.state.fencing < engine.state.fencing;
            let outcome = if self.now < engine.down_until {
                OrderOutcome::NotSent
            } else if stale {
                OrderOutcome::Stale
            } else if engine.load.is_some() {
                OrderOutcome::Busy
            } else {
                self.seen.lower_fencing |=
                    engine.checks_fencing && order.state.fencing < engine.state.fencing;
                engine.state.fencing = order.state.fencing;
                if engine.state.serves != order.state.serves {
                    self.seen.loaded_while_running |= engine.running > 0 && order.loads;
                    let time = ROUND * (1 + self.rng.below(8) as u32);
                    engine.load = Some((self.now + time, order.clone()));
                    if sender > 0 {
                        continue;
                    }
                }
                OrderOutcome::Applied
            };
            ended.push((order, outcome, sender));
        }
        for (i, engine) in self.engines.iter_mut().enumerate() {
            if engine.load.as_ref().is_some_and(|(at, _)| *at <= self.now) {
                let (_, order) = engine.load.take().unwrap();
                let failed = order.state.serves.version == "bad";
                self.seen.failed_loads += usize::from(failed);
                if !failed {
                    engine.state.serves = order.state.serves.clone();
                }
                let outcome = if failed { OrderOutcome::Failed } else { OrderOutcome::Applied };
                let sender = order.state.fencing;
                ended.push((order, outcome, sender));
            }
            if self.rng.chance(self.faults.crash_percent) {
                engine.state = EngineState { serves: goal(""), ..EngineState::default() };
                engine.down_until = self.now + ROUND * (1 + self.rng.below(15) as u32);
                if let Some((_, order)) = engine.load.take() {
                    let sender = order.state.fencing;
                    ended.push((order, OrderOutcome::NoReply, sender));
                }
            }
            let is_closed = closed.contains(&format!("e{i}"));
            let more = if is_closed { 0 } else { self.rng.below(3) as u32 };
            engine.running = engine.running.saturating_sub(self.rng.below(3) as u32) + more;
        }
        ended
    }

    fn check(&mut self, target: &Target, observations: &[Observation], orders: &[Order]) {
        let loads: Vec<_> = orders.iter().filter(|order| order.loads).collect();
        let ready = |it: &&Observation| {
            let in_flight = self.wire.iter().any(|(_, o, _)| o.loads && o.upstream == it.upstream);
            let ordered = loads.iter().any(|order| order.upstream == it.upstream);
            let state = it.state.as_ref();
            state.is_some_and(|state| !state.loading && state.serves.model == target.goal.model)
                && !in_flight
                && !ordered
        };
        let still_ready = observations.iter().filter(ready).count();
        self.seen.last_ready_taken |= !loads.is_empty() && still_ready == 0;
        let loading = self.engines.iter().filter(|it| it.load.is_some()).count();
        let in_flight = self.wire.iter().filter(|(_, order, _)| order.loads).count();
        self.seen.max_unavailable =
            self.seen.max_unavailable.max(loading + in_flight + loads.len());
    }

    /// Runs all rounds; returns what was seen and the number of engines that the roll-out may have
    /// out of service at a time.
    fn run(mut self, policy: RollOutPolicy) -> (Seen, usize) {
        let version = if self.faults.load_fails { "bad" } else { "2" };
        let mut target =
            Target { goal: goal(version), max_unavailable: self.declared_limit, generation: 1 };
        let mut fencing = 1;
        let mut roll_out = RollOut::new(fencing, policy, target.clone(), None);
        let (mut closed, mut halted, mut done) = (BTreeSet::new(), false, false);
        for round in 0..ROUNDS {
            for (order, outcome, sender) in self.step(&closed) {
                if sender == fencing {
                    roll_out.record_outcome(&order, outcome);
                }
            }
            if self.faults.successor_at == Some(round) {
                let halt = roll_out.halt().cloned();
                fencing += 1;
                target = Target { goal: goal("3"), generation: 2, ..target };
                roll_out = RollOut::new(fencing, policy, target.clone(), halt);
                for (at, ..) in &mut self.wire {
                    *at += ROUND * self.rng.below(100) as u32;
                }
                (halted, done) = (false, false);
            }
            if done && self.faults.stops_when_done {
                continue;
            }
            let observations = self.observe(&closed);
            let plan = roll_out.decide(self.now, &observations, self.held_slots);
            self.check(&target, &observations, &plan.orders);
            self.seen.ordered_after_halt |= halted && plan.orders.iter().any(|order| order.loads);
            halted |= matches!(plan.status, Status::Halted(_));
            done = matches!(plan.status, Status::Done(_));
            closed = plan.closed.iter().map(ToString::to_string).collect();
            for order in plan.orders {
                let at = self.now + ROUND * self.rng.below(3) as u32;
                self.wire.push((at, order, fencing));
            }
        }
        let at_goal = |engine: &Engine| engine.state.serves == target.goal;
        self.seen.converged = self.engines.iter().all(at_goal);
        (self.seen, self.declared_limit.min(self.held_slots))
    }
}

fn run(seed: u64, faults: Faults, policy: RollOutPolicy) -> (Seen, usize) {
    Sim::new(seed, faults).run(policy)
}

fn crashes() -> Faults {
    Faults { crash_percent: 1, ..Faults::default() }
}

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x706f_6f6c))
        .tests(300)
        .quickcheck(property);
}

/// Returns whether the fault occurs for any of 100 seeds.
fn occurs(fault: fn(u64) -> bool) -> bool {
    (0..100).any(fault)
}

#[test]
fn keeps_the_last_ready_engine_in_service() {
    check(|seed| !run(seed, crashes(), RollOutPolicy::default()).0.last_ready_taken);
    let without = |seed| {
        let policy = RollOutPolicy { keep_last_ready: false, ..RollOutPolicy::default() };
        run(seed, crashes(), policy).0.last_ready_taken
    };
    assert!(occurs(without));
}

#[test]
fn limits_unavailable_engines_to_the_declared_number() {
    check(|seed| {
        let (seen, limit) = run(seed, crashes(), RollOutPolicy::default());
        seen.max_unavailable <= limit
    });
    let without = |seed| {
        let policy = RollOutPolicy { limit_unavailable: false, ..RollOutPolicy::default() };
        let (seen, limit) = run(seed, crashes(), policy);
        seen.max_unavailable > limit
    };
    assert!(occurs(without));
}

#[test]
fn halts_when_loads_fail() {
    let faults = Faults { load_fails: true, ..Faults::default() };
    let halts = move |seed| {
        let (seen, limit) = run(seed, faults, RollOutPolicy::default());
        !seen.ordered_after_halt && (1..=limit).contains(&seen.failed_loads)
    };
    assert!((0..300).all(halts));
    let policy = RollOutPolicy { halt_on_failure: false, ..RollOutPolicy::default() };
    assert!((0..100).any(|seed| {
        let (seen, limit) = run(seed, faults, policy);
        seen.failed_loads > limit
    }));
}

#[test]
fn loads_only_drained_engines() {
    check(|seed| !run(seed, Faults::default(), RollOutPolicy::default()).0.loaded_while_running);
    let without = |seed| {
        let policy = RollOutPolicy { drain_first: false, ..RollOutPolicy::default() };
        run(seed, Faults::default(), policy).0.loaded_while_running
    };
    assert!(occurs(without));
}

/// Orders of an earlier holder may arrive after a successor took over. The successor must restore
/// the goal, and engines that check fencing must refuse them. Without further rounds of the
/// successor some late order lasts, so the controller must not stop once the roll-out is done.
#[test]
fn successor_overrides_late_orders() {
    let late = |seed, stops_when_done| {
        let successor_at = Some(seed % 40);
        let faults = Faults { successor_at, stops_when_done, ..Faults::default() };
        run(seed, faults, RollOutPolicy::default()).0
    };
    for seed in 0..300 {
        let seen = late(seed, false);
        assert!(seen.converged && !seen.lower_fencing, "seed {seed}");
    }
    assert!((0..300).any(|seed| !late(seed, true).converged));
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Draws a lease and returns whether its holder may send an order after the service has let it
/// expire. Request and reply are delayed; the holder counts the time to live from when it sent the
/// request, or wrongly from when the reply arrived.
fn may_order_after_expiry(seed: u64, counts_from_reply: bool) -> bool {
    let mut rng = Rng(seed);
    let ttl = ms(3_000);
    let sent = ms(rng.below(1_000));
    let received = sent + ms(rng.below(1_000));
    let reply = received + ms(rng.below(1_000));
    let lease = ControllerLease::new(1, if counts_from_reply { reply } else { sent }, ttl);
    let resumed = reply + ms(rng.below(5_000));
    lease.may_order(resumed) && resumed >= received + ttl
}

/// A holder that is frozen and resumes must not send orders under a lease that has expired
/// meanwhile. Counting the time to live from the reply instead of the request would allow it.
#[test]
fn holder_stops_before_its_lease_expires() {
    check(|seed| !may_order_after_expiry(seed, false));
    assert!(occurs(|seed| may_order_after_expiry(seed, true)));
}
