//! Properties that hold in every run of the gate, checked by random runs in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use lacewingspring_core::{
    gate::{Decision, Gate, GatePolicy, Outcome, PermitRequest, Resume, Ticket},
    names::UpstreamName,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use self::gate_model::{Job, Random, Simulation, spec, specs};

mod gate_model;

const WORKSPACES: [&str; 5] = ["bailiffs", "credit", "notaries", "south", "west"];

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    upstreams: usize,
    rate: f64,
    seconds: f64,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            upstreams: 1 + usize::arbitrary(g) % 5,
            rate: 2.0 + f64::from(u8::arbitrary(g)) / 2.0,
            seconds: 5.0 + f64::from(u8::arbitrary(g) % 40),
        }
    }
}

impl Scenario {
    fn jobs(&self) -> Vec<Job> {
        let mut random = Random::new(self.seed);
        gate_model::poisson(&mut random, 0.0, self.seconds, self.rate, |random, at| {
            let workspace = WORKSPACES[random.below(5) as usize];
            let rank = random.below(3) as u8;
            let is_long = random.below(4) == 0;
            let prompt =
                if is_long { 4_000 + random.below(30_000) } else { 50 + random.below(500) };
            let output = if is_long { 100 + random.below(600) } else { 5 + random.below(40) };
            let mut job = Job::new(at, rank, workspace, prompt, output);
            job.parkable = random.below(5) != 0;
            job.max_wait = 1.0 + f64::from(random.below(20));
            job
        })
    }

    fn simulation(&self, policy: GatePolicy) -> Simulation {
        let upstreams = (0..self.upstreams)
            .map(|i| spec(&format!("up{i}"), 4 + i as u32 * 2, 8e3 * (i + 1) as f64, 12.0, 60_000));
        let mut simulation = Simulation::new(policy, upstreams.collect(), self.jobs());
        if self.seed.is_multiple_of(3) {
            simulation.set_slowdown(self.seconds / 3.0, 0, 8.0);
            simulation.set_slowdown(self.seconds / 1.5, 0, 1.0);
        }
        simulation.run()
    }
}

fn check<F>(seed: u64, tests: u64, property: F)
where
    F: Fn(Scenario) -> bool + Send + Sync + 'static,
{
    // The generator's size has no effect here, since scenarios bound themselves.
    let mut quick = QuickCheck::new().rng(Gen::from_size_and_seed(64, seed)).tests(tests);
    quick.quickcheck(Property(property));
}

struct Property<F>(F);

impl<F> quickcheck::Testable for Property<F>
where
    F: Fn(Scenario) -> bool + 'static,
{
    fn result(&self, g: &mut Gen) -> quickcheck::TestResult {
        let scenario = Scenario::arbitrary(g);
        let holds = (self.0)(scenario.clone());
        if holds {
            quickcheck::TestResult::passed()
        } else {
            quickcheck::TestResult::error(format!("{scenario:?}"))
        }
    }
}

/// Returns whether the gate counts no load on any upstream.
fn counts_no_load(gate: &Gate) -> bool {
    let upstreams = gate.summary().upstreams;
    upstreams.iter().all(|u| (u.running, u.kv_tokens, u.long_prefills) == (0, 0, 0))
}

#[test]
fn every_request_gets_one_reply_and_no_capacity_leaks() {
    check(1, 60, |scenario| {
        let simulation = scenario.simulation(GatePolicy::default());
        let once = simulation.results.iter().all(|result| result.replies == 1);
        once && simulation.gate.waiting_len() == 0
            && simulation.gate.running_len() == 0
            && counts_no_load(&simulation.gate)
            && simulation.gate.summary().parking == 0
    });
}

#[test]
fn slots_and_memory_are_never_exceeded() {
    check(2, 60, |scenario| {
        let simulation = scenario.simulation(GatePolicy::default());
        simulation.slot_overruns == 0 && simulation.memory_overruns == 0
    });
}

#[test]
fn memory_is_exceeded_without_kv_accounting() {
    let policy = GatePolicy { kv_accounting: false, ..GatePolicy::default() };
    let jobs = (0..8).map(|i| Job::new(f64::from(i) * 0.1, 0, "south", 20_000, 100)).collect();
    let upstream = vec![spec("up0", 8, 20_000.0, 10.0, 60_000)];
    let without = Simulation::new(policy, upstream.clone(), jobs).run();
    assert!(without.memory_overruns > 0, "KV memory is not exceeded without the accounting");
    let with = Simulation::new(GatePolicy::default(), upstream, without.jobs.clone()).run();
    assert_eq!(with.memory_overruns, 0);
}

#[test]
fn no_request_is_shed_while_lower_tier_work_runs_or_waits() {
    check(3, 60, |scenario| {
        let summary = scenario.simulation(GatePolicy::default()).gate.summary();
        (summary.violations, summary.late_beside_lower) == (0, 0)
    });
}

#[test]
fn shedding_violates_tier_order_without_eviction_order_or_parking() {
    let flood = |policy| {
        let mut jobs: Vec<_> =
            (0..40).map(|i| Job::new(f64::from(i) * 0.01, 2, "notaries", 100, 400)).collect();
        jobs.extend((0..60).map(|i| Job::new(1.0 + f64::from(i) * 0.01, 0, "credit", 100, 400)));
        Simulation::new(policy, specs(1, 4), jobs).run().gate.violations()
    };
    assert_eq!(flood(GatePolicy::default()), 0);
    assert!(flood(GatePolicy { eviction_order: false, ..GatePolicy::default() }) > 0);
    assert!(flood(GatePolicy { parking: false, ..GatePolicy::default() }) > 0);
}

#[test]
fn parked_requests_finish_completely_and_are_never_refused() {
    check(4, 60, |scenario| {
        let simulation = scenario.simulation(GatePolicy::default());
        let whole = simulation.jobs.iter().zip(&simulation.results).all(|(job, result)| {
            let parked_ends = result.parks == 0 || result.finished.is_some();
            parked_ends && (result.finished.is_none() || result.tokens == job.output)
        });
        whole && simulation.refused_after_park == 0
    });
}

#[test]
fn higher_tier_request_waits_without_parking() {
    let first_token = |policy| {
        let mut jobs: Vec<_> =
            (0..4).map(|i| Job::new(f64::from(i) * 0.01, 1, "notaries", 100, 2_000)).collect();
        jobs.push(Job::new(1.0, 0, "credit", 100, 10));
        let simulation = Simulation::new(policy, specs(1, 4), jobs).run();
        assert_eq!(simulation.finished(|_| true), 5);
        simulation.first_token_seconds(|job| job.rank == 0)[0]
    };
    assert!(first_token(GatePolicy::default()) < 0.1);
    assert!(first_token(GatePolicy { parking: false, ..GatePolicy::default() }) > 10.0);
}

#[test]
fn runs_are_not_parked_repeatedly_for_long_prefills() {
    check(5, 40, |scenario| {
        let simulation = scenario.simulation(GatePolicy::default());
        let parks: u32 = simulation.results.iter().map(|result| result.parks).sum();
        let higher = simulation.jobs.iter().filter(|job| job.rank < 2).count();
        // Each park serves a request of a higher tier; the factor allows for requests that were
        // parked themselves.
        f64::from(parks) <= 2.0 * higher as f64
    });
}

#[test]
fn release_frees_all_capacity_at_any_time() {
    let mut gate = Gate::new(specs(2, 2));
    let now = Duration::from_secs(1);
    for i in 0..20 {
        gate.request_permit(
            now,
            Ticket(i),
            Job::new(1.0, (i % 3) as u8, "south", 100, 10).request(),
        );
    }
    for i in 0..20 {
        gate.release(now, Ticket(i));
        gate.ended(now, Ticket(i), Outcome::Failed);
    }
    assert_eq!((gate.waiting_len(), gate.running_len()), (0, 0));
    assert!(counts_no_load(&gate));
}

/// Call to a gate, for runs without simulated upstreams.
#[derive(Clone, Copy, Debug)]
enum Call {
    Request(u8, u32),
    FirstToken(u64),
    End(u64, Outcome),
    Park(u64),
    Fail(usize),
    Declare(usize),
    Tick(u64),
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u64::arbitrary(g);
        let outcomes = [Outcome::Finished(20), Outcome::Cancelled, Outcome::Failed];
        match u8::arbitrary(g) % 20 {
            0..=7 => Self::Request(pick as u8 % 3, 100 + (pick >> 8) as u32 % 20_000),
            8..=10 => Self::FirstToken(pick),
            11..=14 => Self::End(pick, *g.choose(&outcomes).unwrap()),
            15..=16 => Self::Park(pick),
            17 => Self::Fail(pick as usize % 4),
            18 => Self::Declare(pick as usize % 4 + 1),
            _ => Self::Tick(pick % 3_000),
        }
    }
}

/// State of the requests as their callers know it.
#[derive(Default)]
struct Callers {
    requests: HashMap<Ticket, PermitRequest>,
    running: BTreeMap<Ticket, UpstreamName>,
    waiting: BTreeSet<Ticket>,
    to_park: Vec<Ticket>,
    resumed: BTreeSet<Ticket>,
}

impl Callers {
    /// Applies decisions; returns false if one contradicts the callers' state.
    fn apply_all(&mut self, decisions: Vec<Decision>) -> bool {
        decisions.into_iter().all(|decision| match decision {
            Decision::Granted(ticket, name) => {
                self.running.insert(ticket, name);
                self.waiting.remove(&ticket)
            }
            Decision::Refused(ticket, ..) => {
                self.waiting.remove(&ticket) && !self.resumed.contains(&ticket)
            }
            Decision::Park(ticket) => {
                self.to_park.push(ticket);
                self.running.contains_key(&ticket) && self.requests[&ticket].parkable
            }
        })
    }

    fn agrees_with(&self, gate: &Gate) -> bool {
        gate.running_len() == self.running.len() && gate.waiting_len() == self.waiting.len()
    }

    fn max_runs_per_upstream(&self) -> usize {
        let mut counts = HashMap::new();
        for name in self.running.values() {
            *counts.entry(name).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    fn nth_running(&self, pick: u64) -> Option<Ticket> {
        let len = self.running.len().max(1);
        self.running.keys().nth(pick as usize % len).copied()
    }
}

fn apply(gate: &mut Gate, callers: &mut Callers, now: &mut Duration, call: Call) -> bool {
    let decisions = match call {
        Call::Request(rank, prompt) => {
            let ticket = Ticket(callers.requests.len() as u64);
            let workspace = WORKSPACES[prompt as usize % 5];
            let mut job = Job::new(0.0, rank, workspace, prompt, 50);
            job.parkable = !prompt.is_multiple_of(3);
            job.max_wait = 3.0;
            callers.requests.insert(ticket, job.request());
            callers.waiting.insert(ticket);
            gate.request_permit(*now, ticket, job.request())
        }
        Call::FirstToken(pick) => match callers.nth_running(pick) {
            Some(ticket) => gate.first_token(*now, ticket),
            None => Vec::new(),
        },
        Call::End(pick, outcome) => {
            let waiting = callers.waiting.first().copied().filter(|_| pick.is_multiple_of(5));
            let Some(ticket) = waiting.or_else(|| callers.nth_running(pick)) else { return true };
            callers.running.remove(&ticket);
            callers.waiting.remove(&ticket);
            gate.ended(*now, ticket, outcome)
        }
        Call::Park(pick) => {
            let Some(ticket) = callers.to_park.pop() else { return true };
            if callers.running.remove(&ticket).is_none() {
                return true;
            }
            callers.waiting.insert(ticket);
            callers.resumed.insert(ticket);
            let resume = Some(Resume { kv_exported: pick.is_multiple_of(2), generated_tokens: 3 });
            let again = PermitRequest { resume, ..callers.requests[&ticket].clone() };
            gate.request_permit(*now, ticket, again)
        }
        Call::Fail(upstream) => {
            gate.upstream_failed(*now, &specs(4, 3)[upstream].name);
            Vec::new()
        }
        Call::Declare(count) => {
            gate.set_upstreams(specs(count, 3));
            Vec::new()
        }
        Call::Tick(millis) => {
            *now += Duration::from_millis(millis);
            gate.tick(*now)
        }
    };
    callers.apply_all(decisions) && callers.agrees_with(gate)
}

#[test]
fn callers_and_gate_agree_across_crashes_and_declaration_changes() {
    fn property(calls: Vec<Call>) -> bool {
        let mut gate = Gate::new(specs(4, 3));
        let mut callers = Callers::default();
        let mut now = Duration::from_secs(1);
        let agreed = calls.into_iter().all(|call| {
            apply(&mut gate, &mut callers, &mut now, call) && callers.max_runs_per_upstream() <= 3
        });
        let left: Vec<_> = callers.running.keys().chain(&callers.waiting).copied().collect();
        for ticket in left {
            gate.release(now, ticket);
        }
        agreed
            && gate.violations() == 0
            && (gate.running_len(), gate.waiting_len(), gate.summary().parking) == (0, 0, 0)
            && counts_no_load(&gate)
    }
    let mut quick = QuickCheck::new().rng(Gen::from_size_and_seed(2_000, 6)).tests(150);
    quick.quickcheck(property as fn(Vec<Call>) -> bool);
}
