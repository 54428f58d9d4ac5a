//! Which record of a gate is read while the key-value service fails.

use std::time::Duration;

use lacewingspring_proxy::record_checks::{RETRY_DELAY, RecordChecks, TURN_TIME};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time limit of a read, in ms.
const READ_TIMEOUT: u64 = 500;

/// Time from a failed read to the next one, in ms.
const DELAY: u64 = RETRY_DELAY.as_millis() as u64;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// What a reader does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    /// Makes its first call at this time.
    Begins(u64),
    Waits,
    Calls {
        until: u64,
        is_answered: bool,
    },
    Ended,
}

/// Simulated readers of records, with a time in ms.
struct Simulation {
    checks: RecordChecks,
    /// Number, task and time until a call fails, of each reader.
    readers: Vec<(u64, Doing, u64)>,
    now: u64,
    responded_at: u64,
    /// Reader and time of each call.
    calls: Vec<(usize, u64)>,
    /// Time at which each reader had its answer.
    answered: Vec<Option<u64>>,
}

impl Simulation {
    /// Begins with a first call of each reader within the first `spread` ms.
    fn new(seed: u64, spread: u64, fails_after: &[u64]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut checks = RecordChecks::default();
        let readers = fails_after.iter().map(|fails_after| {
            (checks.add(), Doing::Begins(rng.random_range(1..=spread)), *fails_after)
        });
        let readers = readers.collect();
        let answered = vec![None; fails_after.len()];
        Self { checks, readers, now: 1, responded_at: 0, calls: Vec::new(), answered }
    }

    /// Lets a millisecond pass; `answers` tells whether a call of a reader sent now is answered.
    fn advance<F>(&mut self, answers: F)
    where
        F: Fn(usize, u64) -> bool,
    {
        for index in 0..self.readers.len() {
            let (number, doing, fails_after) = self.readers[index];
            let now = ms(self.now);
            let next = match doing {
                Doing::Calls { until, is_answered: true } if until <= self.now => {
                    self.checks.remove(number);
                    self.answered[index] = Some(self.now);
                    self.responded_at = self.now;
                    Doing::Ended
                }
                Doing::Calls { until, is_answered: false } if until <= self.now => {
                    self.checks.fail(now, number);
                    Doing::Waits
                }
                Doing::Begins(at) if at > self.now => doing,
                Doing::Begins(_) | Doing::Waits
                    if self.checks.wait_until(number, ms(self.responded_at)) <= now =>
                {
                    self.checks.send(now, number);
                    self.calls.push((index, self.now));
                    let is_answered = answers(index, self.now);
                    let took = if is_answered { 1 } else { fails_after };
                    Doing::Calls { until: self.now + took, is_answered }
                }
                _ => doing,
            };
            self.readers[index].1 = next;
        }
        self.now += 1;
    }

    fn run_until<F>(&mut self, end: u64, answers: F)
    where
        F: Fn(usize, u64) -> bool,
    {
        while self.now < end {
            self.advance(&answers);
        }
    }
}

/// Kinds of outages: reads of each record fail at once, or after their time limit.
const FAILURES: [&[u64]; 5] = [
    &[1, 1],
    &[READ_TIMEOUT, READ_TIMEOUT],
    &[1, READ_TIMEOUT],
    &[READ_TIMEOUT, 1],
    &[1, READ_TIMEOUT, 30],
];

/// Guards against a return of the service that is noticed later than by a reader that reads by
/// itself.
#[test]
fn every_reader_notices_the_return_as_soon_as_by_itself() {
    for (seed, fails_after) in (0..300).flat_map(|seed| FAILURES.map(|each| (seed, each))) {
        let mut simulation = Simulation::new(seed, 300, fails_after);
        // The worst moment is just after a call.
        simulation.run_until(3_000 + seed * 7, |_, _| false);
        let calls = simulation.calls.len();
        while simulation.calls.len() == calls {
            simulation.advance(|_, _| false);
        }
        let back_at = simulation.now;
        simulation.run_until(back_at + 2_000, |_, _| true);
        for (index, fails_after) in fails_after.iter().enumerate() {
            let noticed_at = simulation.answered[index].expect("the reader goes on");
            // The call sent just before the return fails, and the next one follows after the
            // delay; its answer and that of the call after it take a millisecond each, and times
            // are rounded up.
            let latest = back_at + fails_after + DELAY + 5;
            assert!(noticed_at <= latest, "seed {seed}, reader {index}: {noticed_at}, {back_at}");
        }
    }
}

/// Guards against readers that each check by themselves, and against one that never checks.
#[test]
fn readers_take_turns_and_check_as_often_as_one() {
    for (seed, fails_after) in (0..100).flat_map(|seed| FAILURES.map(|each| (seed, each))) {
        let (begin, end) = (2_000, 12_000);
        let mut simulation = Simulation::new(seed, 300, fails_after);
        simulation.run_until(end, |_, _| false);
        let calls = || simulation.calls.iter().filter(|(_, at)| *at >= begin);
        let shortest = fails_after.iter().min().expect("there are readers");
        let alone = (end - begin) / (shortest + DELAY) + 1;
        let count = calls().count() as u64;
        assert!(count <= alone, "seed {seed}, {fails_after:?}: {count} calls, {alone} alone");
        let times: Vec<u64> = calls().map(|(_, at)| *at).collect();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("has calls");
        let slowest = fails_after.iter().max().expect("there are readers");
        assert!(longest <= slowest + DELAY + 1, "seed {seed}, {fails_after:?}: {longest} ms");
        for index in 0..fails_after.len() {
            let own = calls().filter(|(reader, _)| *reader == index).count();
            assert!(own >= 3, "seed {seed}, {fails_after:?}: reader {index} made {own} calls");
        }
    }
}

/// Guards against a reader that waits for others although only their reads are rejected.
#[test]
fn a_reader_whose_reads_alone_are_answered_is_not_kept_waiting() {
    for (seed, answered) in (0..100).flat_map(|seed| [0, 1].map(|reader| (seed, reader))) {
        let mut simulation = Simulation::new(seed, 300, &[1, 1]);
        simulation.run_until(2_000 + seed * 3, |_, _| false);
        let back_at = simulation.now;
        simulation.run_until(back_at + 2_000, |reader, _| reader == answered);
        let noticed_at = simulation.answered[answered].expect("the reader goes on");
        // At its next turn.
        assert!(noticed_at <= back_at + 2 * DELAY + 10, "seed {seed}: {noticed_at}, {back_at}");
        // The other one then reads by itself, as if it were alone.
        let after = simulation.calls.iter().filter(|(_, at)| *at > noticed_at).count() as u64;
        assert!(after >= (back_at + 2_000 - noticed_at) / (DELAY + 2) - 1, "{after} calls");
    }
}

/// Guards against a wait for the turn of a reader that has ended.
#[test]
fn a_reader_does_not_wait_for_one_that_was_given_up() {
    let mut checks = RecordChecks::default();
    let (first, second) = (checks.add(), checks.add());
    assert_eq!(checks.wait_until(first, Duration::ZERO), Duration::ZERO);
    for reader in [first, second] {
        checks.send(ms(1_000), reader);
        checks.fail(ms(1_001), reader);
    }
    // The second one checked last, so the first one is due before it.
    assert_eq!(checks.wait_until(first, Duration::ZERO), ms(1_001) + RETRY_DELAY);
    assert_eq!(checks.wait_until(second, Duration::ZERO), ms(1_001) + RETRY_DELAY + TURN_TIME);
    checks.send(ms(1_101), first);
    assert!(checks.wait_until(second, Duration::ZERO) > ms(1_101));
    checks.remove(first);
    assert_eq!(checks.wait_until(second, Duration::ZERO), ms(1_001) + RETRY_DELAY);
}
