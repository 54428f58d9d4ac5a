//! Which topic of an instance calls the key-value service while it fails.

use std::time::Duration;

use lacewingspring_proxy::{
    outage::{MAX_RETRY_DELAY, Schedules, Step},
    replica::Topic,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time limit of a watch that does not wait.
const WATCH_TIMEOUT: u64 = 501;

/// Time limit of a read.
const READ_TIMEOUT: u64 = 1_000;

/// Longest time, in ms, from a failed call of a topic to its next one, by its schedule alone.
const MAX_DELAY: u64 = MAX_RETRY_DELAY.as_millis() as u64;

/// Shortest time, in ms, from a failed call to the next one of an instance, once several failed.
const MIN_DELAY: u64 = MAX_DELAY / 2;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// What the task of a topic does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    /// Waits for its delay, or for its turn.
    Waits { until: u64, wakes_on_response: bool },
    /// Waits for the result of a call.
    Calls { until: u64, is_answered: bool },
    /// Follows the service again, or the gate.
    Follows,
}

/// A simulated instance whose topics call a service, with a time in ms.
struct Simulation {
    schedules: Schedules,
    rng: StdRng,
    now: u64,
    doing: [Doing; 3],
    /// Topic and time of each call.
    calls: Vec<(Topic, u64)>,
    /// Time at which each topic had its first answer.
    answered: [Option<u64>; 3],
    /// Time until a call fails, by topic.
    fails_after: [u64; 3],
}

impl Simulation {
    /// Begins with a failed call of each topic within the first `spread` ms.
    fn new(seed: u64, spread: u64, fails_after: [u64; 3]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fails = || Doing::Calls { until: rng.random_range(0..=spread), is_answered: false };
        let doing = [fails(), fails(), fails()];
        Self {
            schedules: Schedules::default(),
            rng,
            now: 0,
            doing,
            calls: Vec::new(),
            answered: [None; 3],
            fails_after,
        }
    }

    /// Lets a millisecond pass; `answers` tells whether a call of a topic sent now is answered.
    fn advance<F>(&mut self, answers: F)
    where
        F: Fn(Topic, u64) -> bool,
    {
        for topic in Topic::ALL {
            match self.doing[topic as usize] {
                Doing::Calls { until, is_answered } if until <= self.now => {
                    self.finish(topic, is_answered);
                }
                Doing::Waits { until, .. } if until <= self.now => self.step(topic, &answers),
                _ => {}
            }
        }
        self.now += 1;
    }

    fn finish(&mut self, topic: Topic, is_answered: bool) {
        if is_answered {
            self.schedules.succeed(topic);
            self.doing[topic as usize] = Doing::Follows;
            self.answered[topic as usize] = Some(self.now);
            self.respond();
        } else {
            let until = self.schedules.fail(ms(self.now), topic, self.rng.random());
            let until = until.as_millis() as u64 + 1;
            self.doing[topic as usize] = Doing::Waits { until, wakes_on_response: false };
        }
    }

    /// The service responds to a call, which ends the wait of topics for their turn.
    fn respond(&mut self) {
        self.schedules.respond(ms(self.now));
        for doing in &mut self.doing {
            if let Doing::Waits { until, wakes_on_response: true } = doing {
                *until = self.now;
            }
        }
    }

    fn step<F>(&mut self, topic: Topic, answers: F)
    where
        F: Fn(Topic, u64) -> bool,
    {
        self.doing[topic as usize] =
            match self.schedules.step(ms(self.now), topic, self.rng.random()) {
                Step::Wait(until) => {
                    let until = until.as_millis() as u64 + 1;
                    Doing::Waits { until, wakes_on_response: true }
                }
                Step::Call => {
                    self.calls.push((topic, self.now));
                    let is_answered = answers(topic, self.now);
                    let took = if is_answered { 1 } else { self.fails_after[topic as usize] };
                    Doing::Calls { until: self.now + took, is_answered }
                }
            };
    }

    fn run_until<F>(&mut self, end: u64, answers: F)
    where
        F: Fn(Topic, u64) -> bool,
    {
        while self.now < end {
            self.advance(&answers);
        }
    }

    /// Returns the longest time between two calls from a time on.
    fn longest_gap(&self, from: u64) -> u64 {
        let times: Vec<u64> = self.calls.iter().map(|(_, at)| *at).collect();
        let gaps = times.windows(2).filter(|pair| pair[0] >= from).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or(u64::MAX)
    }
}

/// Kinds of outages: each call fails at once, without an answer, or as a read without an answer.
const FAILURES: [[u64; 3]; 5] = [
    [1; 3],
    [1, WATCH_TIMEOUT, WATCH_TIMEOUT],
    [WATCH_TIMEOUT; 3],
    [READ_TIMEOUT, WATCH_TIMEOUT, WATCH_TIMEOUT],
    [1, READ_TIMEOUT, WATCH_TIMEOUT],
];

/// The return of the service must be noticed no later than by a topic that checks by itself.
#[test]
fn every_topic_notices_the_return_as_soon_as_by_its_own_schedule() {
    for (seed, fails_after) in (0..300).flat_map(|seed| FAILURES.map(|each| (seed, each))) {
        let mut simulation = Simulation::new(seed, 3_000, fails_after);
        // The worst moment is just after a call.
        simulation.run_until(6_000 + seed * 7, |_, _| false);
        let calls = simulation.calls.len();
        while simulation.calls.len() == calls {
            simulation.advance(|_, _| false);
        }
        let back_at = simulation.now;
        simulation.run_until(back_at + 4_000, |_, _| true);
        for topic in Topic::ALL {
            let noticed_at = simulation.answered[topic as usize].expect("the topic resumes");
            let pending = fails_after[topic as usize];
            // The call sent just before the return fails, and the next one follows after the delay.
            // Waits are rounded up to a millisecond.
            let latest = back_at + pending + MAX_DELAY + 10;
            assert!(noticed_at <= latest, "seed {seed}, {fails_after:?}, {topic:?}: {noticed_at}");
        }
    }
}

/// Guards against topics that each check by themselves, three times as often as needed.
#[test]
fn one_check_at_a_time_is_made_in_an_outage() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed, 3_000, [1; 3]);
        simulation.run_until(60_000, |_, _| false);
        let calls = simulation.calls.iter().filter(|(_, at)| *at >= 5_000).count() as u64;
        assert!(calls <= 55_000 / MIN_DELAY, "seed {seed}: {calls} calls in 55 s");
        let gap = simulation.longest_gap(5_000);
        assert!(gap <= MAX_DELAY + 10, "seed {seed}: {gap} ms without a check");
        let checkers = |topic| simulation.calls.iter().any(|(checker, _)| *checker == topic);
        assert!(Topic::ALL.into_iter().all(checkers), "the topics take turns");
    }
}

/// A topic that follows the gate again, or whose task has ended, must not leave the others without
/// a check.
#[test]
fn the_others_check_when_a_topic_stops() {
    for (seed, topic) in (0..100).flat_map(|seed| Topic::ALL.map(|topic| (seed, topic))) {
        let mut simulation = Simulation::new(seed, 300, [WATCH_TIMEOUT; 3]);
        simulation.run_until(5_000, |_, _| false);
        simulation.doing[topic as usize] = Doing::Follows;
        if seed % 2 == 0 {
            simulation.schedules.succeed(topic);
        }
        simulation.run_until(30_000, |_, _| false);
        let gap = simulation.longest_gap(4_000);
        assert!(gap <= WATCH_TIMEOUT + MAX_DELAY + 10, "seed {seed}, {topic:?}: {gap} ms");
    }
}

/// The service may respond to some connections or prefixes only. A topic that it does not respond
/// to must not keep another one from its calls, nor call more often than by its own schedule.
#[test]
fn a_topic_that_alone_fails_calls_by_its_own_schedule() {
    for (seed, topic) in (0..100).flat_map(|seed| Topic::ALL.map(|topic| (seed, topic))) {
        let mut simulation = Simulation::new(seed, 300, [WATCH_TIMEOUT; 3]);
        simulation.run_until(4_000, |_, _| false);
        // A renewal of the lease gets a response every 300 ms.
        while simulation.now < 30_000 {
            if simulation.now.is_multiple_of(300) {
                simulation.respond();
            }
            simulation.advance(|called, _| called != topic);
        }
        for other in Topic::ALL.into_iter().filter(|other| *other != topic) {
            let noticed_at = simulation.answered[other as usize].expect("the topic resumes");
            let latest = 4_000 + 300 + WATCH_TIMEOUT + MAX_DELAY + 10;
            assert!(noticed_at <= latest, "seed {seed}, {topic:?}, {other:?}: {noticed_at}");
        }
        let calls = simulation.calls.iter().filter(|(called, at)| *called == topic && *at > 7_000);
        let times: Vec<u64> = calls.map(|(_, at)| *at).collect();
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        let gaps: Vec<u64> = gaps.collect();
        let bounds = WATCH_TIMEOUT + MIN_DELAY..=WATCH_TIMEOUT + MAX_DELAY + 10;
        assert!(gaps.iter().all(|gap| bounds.contains(gap)), "seed {seed}, {topic:?}: {gaps:?}");
    }
}

/// After a pause of the process all delays have passed at once.
#[test]
fn one_topic_checks_after_a_pause() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 300, [WATCH_TIMEOUT; 3]);
        simulation.run_until(5_000, |_, _| false);
        simulation.run_until(5_000 + WATCH_TIMEOUT, |_, _| false);
        let before = simulation.calls.len();
        simulation.now += 30_000;
        let resumed_at = simulation.now;
        simulation.run_until(resumed_at + MIN_DELAY / 2, |_, _| false);
        let calls = simulation.calls.len() - before;
        assert!(calls <= 1, "seed {seed}: {calls} calls at once");
    }
}

/// An ordinary watch takes seconds; it proves nothing to a topic whose connection went silent.
#[test]
fn a_call_of_a_topic_that_does_not_fail_is_no_check() {
    let mut schedules = Schedules::default();
    let due_at = schedules.fail(ms(1_000), Topic::Upstreams, 0.5);
    assert_eq!(schedules.step(due_at - ms(1), Topic::Declared, 0.5), Step::Call);
    assert_eq!(schedules.step(due_at, Topic::Upstreams, 0.5), Step::Call);
}
