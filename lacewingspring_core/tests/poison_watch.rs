//! Detection of requests that crash upstreams, under random schedules of runs and home changes.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lacewingspring_core::{
    key_index::Runner,
    names::Fingerprint,
    poison::{
        FingerprintId, PoisonConfig, PoisonDetector, PoisonPolicy, RunEnd, RunId, RunReply,
        RunStart, Verdict,
    },
};
use quickcheck::{Gen, QuickCheck};

use support::{Rng, Wire};

/// Instances, each with a detector; the home of all fingerprints is one of them at a time.
const INSTANCES: usize = 4;
/// Instances that run requests.
const RUNNERS: usize = 4;
const UPSTREAMS: usize = 6;
/// Number of fingerprints; they are numbered from 0.
const FINGERPRINTS: u64 = 5;
/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Number of the fingerprint whose runs crash their upstreams.
const POISON: u64 = 0;

enum Message {
    RequestRun(usize, RunStart),
    Reply(RunStart, RunReply),
    Ended(RunId, RunEnd),
    Announce(RunStart, bool),
}

#[derive(Clone)]
struct Work {
    start: RunStart,
    alone: bool,
    ends: Duration,
}

#[derive(Default)]
struct Upstream {
    work: Vec<Work>,
    down_until: Duration,
}

/// Runners, upstreams and one home for all fingerprints, which moves from instance to instance.
struct Fleet {
    now: Duration,
    wire: Wire<Message>,
    detectors: Vec<PoisonDetector>,
    /// Homes so far, each with the time from which it holds the role.
    homes: Vec<(Duration, usize)>,
    /// Index in `homes` of which each detector was last notified.
    notified: Vec<usize>,
    upstreams: Vec<Upstream>,
    /// Number of the last run.
    last_number: u64,
    /// Upstreams that crashed at least once.
    crashed: BTreeSet<usize>,
    /// Completed runs by fingerprint.
    completed: BTreeMap<Fingerprint, u64>,
    submitted: BTreeSet<Fingerprint>,
    /// Runs that were refused as quarantined.
    refused: u64,
}

fn fingerprint(number: u64) -> Fingerprint {
    format!("f{number}").as_str().into()
}

fn runner(number: usize) -> Runner {
    Runner { instance: format!("i{number}").as_str().into(), incarnation: 1 }
}

fn upstream_number(start: &RunStart) -> usize {
    start.upstream.as_str()[1..].parse().expect("a number")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Fleet {
    fn new(seed: u64, policy: PoisonPolicy) -> Self {
        let cfg = PoisonConfig { policy, ..PoisonConfig::default() };
        let detector = |_| PoisonDetector::new(cfg.clone(), Duration::ZERO);
        let mut wire = Wire::new(seed);
        wire.jitter = ms(100);
        Self {
            now: Duration::ZERO,
            wire,
            detectors: (0..INSTANCES).map(detector).collect(),
            homes: vec![(Duration::ZERO, 0)],
            notified: vec![0; INSTANCES],
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            last_number: 0,
            crashed: BTreeSet::new(),
            completed: BTreeMap::new(),
            submitted: BTreeSet::new(),
            refused: 0,
        }
    }

    /// Returns the index in `homes` that instance `i` sees; views lag by up to 300 ms.
    fn home_index(&self, i: usize) -> usize {
        let lag = ms(100 * i as u64);
        self.homes.iter().rposition(|(since, _)| *since + lag <= self.now).unwrap_or_default()
    }

    fn step(&mut self, poison_until: Duration) {
        self.now += STEP;
        while let Some(delivery) = self.wire.next_until(self.now) {
            self.deliver(delivery.from, delivery.to, delivery.message);
        }
        self.exchange_verdicts();
        self.move_home();
        for i in 0..UPSTREAMS {
            self.run_upstream(i);
        }
        if self.wire.rng.chance(20) {
            let number = self.wire.rng.below(FINGERPRINTS);
            if number != POISON || self.now < poison_until {
                self.submit(number);
            }
        }
    }

    /// Sends changed verdicts to all detectors every 200 ms.
    fn exchange_verdicts(&mut self) {
        if !self.now.as_millis().is_multiple_of(200) {
            return;
        }
        for from in 0..INSTANCES {
            let reports = self.detectors[from].take_reports();
            for to in 0..INSTANCES {
                self.detectors[to].merge_reports(self.now, &reports);
            }
        }
    }

    fn move_home(&mut self) {
        let (since, home) = self.homes[self.homes.len() - 1];
        if self.now - since > ms(4_000) && self.wire.rng.below(300) == 0 {
            self.homes.push((self.now, (home + 1) % INSTANCES));
        }
        for i in 0..INSTANCES {
            let home_index = self.home_index(i);
            if self.notified[i] != home_index {
                self.notified[i] = home_index;
                let is_home = self.homes[home_index].1 == i;
                self.detectors[i].roles_changed(self.now, |_| is_home);
                self.announce(i);
            }
        }
    }

    /// Announces the runs of runner `i` to the home, and again after 400 ms in case the home's view
    /// lagged.
    fn announce(&mut self, i: usize) {
        let home = self.homes[self.home_index(i)].1;
        let work = self.upstreams.iter().flat_map(|upstream| &upstream.work);
        let own: Vec<Work> = work.filter(|w| w.start.id.runner == runner(i)).cloned().collect();
        for work in own {
            self.wire.send(self.now, i, home, Message::Announce(work.start.clone(), work.alone));
            let later = self.now + ms(400);
            self.wire.send(later, i, home, Message::Announce(work.start, work.alone));
        }
    }

    fn submit(&mut self, number: u64) {
        let runner_number = self.wire.rng.below(RUNNERS as u64) as usize;
        let upstream = self.wire.rng.below(UPSTREAMS as u64);
        self.last_number += 1;
        let start = RunStart {
            id: RunId { runner: runner(runner_number), number: self.last_number },
            fingerprint: fingerprint(number),
            upstream: format!("u{upstream}").as_str().into(),
        };
        self.submitted.insert(start.fingerprint.clone());
        let home = self.homes[self.home_index(runner_number)].1;
        self.wire.send(self.now, runner_number, home, Message::RequestRun(runner_number, start));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let is_home = self.homes[self.home_index(to)].1 == to;
        match message {
            Message::RequestRun(runner_number, start) if is_home => {
                let reply = self.detectors[to].request_run(self.now, start.clone());
                self.wire.send(self.now, to, runner_number, Message::Reply(start, reply));
            }
            Message::Ended(id, end) if is_home => self.detectors[to].record_end(self.now, &id, end),
            Message::Announce(start, alone) if is_home => {
                self.merge_live_announcement(to, start, alone)
            }
            Message::Reply(start, reply) => self.dispatch(to, start, reply),
            // The view of the runner or of the receiver is old; the runner reports the end again,
            // to the home that it sees now.
            Message::Ended(id, end) => {
                let home = self.homes[self.home_index(from)].1;
                self.wire.send(self.now, from, home, Message::Ended(id, end));
            }
            Message::RequestRun(..) | Message::Announce(..) => {}
        }
    }

    /// Merges an announcement, unless its run has already ended; nothing would close the run then.
    fn merge_live_announcement(&mut self, to: usize, start: RunStart, alone: bool) {
        let work = &self.upstreams[upstream_number(&start)].work;
        if work.iter().any(|work| work.start.id == start.id) {
            self.detectors[to].merge_announcement(start, alone);
        }
    }

    fn dispatch(&mut self, runner_number: usize, start: RunStart, reply: RunReply) {
        let RunReply::Run { alone, .. } = reply else {
            self.refused += u64::from(reply == RunReply::Quarantined);
            return;
        };
        let upstream = &mut self.upstreams[upstream_number(&start)];
        let exclusive = alone || upstream.work.iter().any(|work| work.alone);
        let occupied = exclusive && !upstream.work.is_empty();
        if upstream.down_until > self.now || occupied {
            // The gate grants no permit now, so the run ends before it is dispatched.
            let home = self.homes[self.home_index(runner_number)].1;
            self.wire.send(
                self.now,
                runner_number,
                home,
                Message::Ended(start.id, RunEnd::Aborted),
            );
            return;
        }
        let ends = self.now + ms(50 + self.wire.rng.below(300));
        upstream.work.push(Work { start, alone, ends });
    }

    fn run_upstream(&mut self, i: usize) {
        let now = self.now;
        let work = std::mem::take(&mut self.upstreams[i].work);
        let (done, open): (Vec<Work>, Vec<Work>) = work.into_iter().partition(|w| w.ends <= now);
        if done.iter().any(|work| work.start.fingerprint == fingerprint(POISON)) {
            self.crashed.insert(i);
            self.upstreams[i].down_until = now + ms(2_000);
            for work in done.into_iter().chain(open) {
                self.end(&work, RunEnd::Crashed);
            }
            return;
        }
        self.upstreams[i].work = open;
        for work in done {
            *self.completed.entry(work.start.fingerprint.clone()).or_default() += 1;
            self.end(&work, RunEnd::Completed);
        }
    }

    fn end(&mut self, work: &Work, end: RunEnd) {
        let number = work.start.id.runner.instance.as_str()[1..].parse().expect("a number");
        let home = self.homes[self.home_index(number)].1;
        self.wire.send(self.now, number, home, Message::Ended(work.start.id.clone(), end));
    }
}

/// Simulates 40 s of a fleet in which one fingerprint crashes each upstream that runs it, and
/// returns the fleet in its final state. The poison is submitted in the first 30 s.
fn run(seed: u64, policy: PoisonPolicy) -> Fleet {
    let mut fleet = Fleet::new(seed, policy);
    for _ in 0..4_000 {
        fleet.step(ms(30_000));
    }
    fleet
}

fn all_enabled() -> PoisonPolicy {
    PoisonPolicy::default()
}

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x706f_6973))
        .tests(100)
        .quickcheck(property);
}

#[test]
fn poison_crashes_at_most_two_upstreams() {
    check(|seed| run(seed, all_enabled()).crashed.len() <= 2);
}

/// Checks that the simulation covers what the other tests rely on: crashes, refusals and changes of
/// the home.
#[test]
fn simulation_covers_crashes_refusals_and_home_changes() {
    let runs: Vec<Fleet> = (0..20).map(|seed| run(seed, all_enabled())).collect();
    assert!(runs.iter().filter(|fleet| fleet.crashed.len() == 2).count() >= 15);
    assert!(runs.iter().filter(|fleet| fleet.refused > 0).count() >= 15);
    assert!(runs.iter().filter(|fleet| fleet.homes.len() > 2).count() >= 15);
}

/// Requests that ran beside the poison request become suspects by its crashes, and must be cleared
/// by runs that complete.
#[test]
fn clears_innocent_suspects() {
    check(|seed| {
        let mut fleet = run(seed, all_enabled());
        let now = fleet.now;
        let home = fleet.homes[fleet.homes.len() - 1].1;
        let innocent = (1..FINGERPRINTS).map(fingerprint);
        let clear = |f| fleet.detectors[home].verdict(now, &f) == Verdict::Clear;
        let cleared = innocent.filter(|f| fleet.submitted.contains(f)).all(clear);
        cleared && fleet.completed.values().sum::<u64>() > 50
    });
}

#[test]
fn poison_crashes_more_upstreams_without_each_mechanism() {
    let off = [
        PoisonPolicy { single_upstream: false, ..all_enabled() },
        PoisonPolicy { single_trial: false, ..all_enabled() },
        PoisonPolicy { quarantine: false, ..all_enabled() },
    ];
    for policy in off {
        assert!((0..40).any(|seed| run(seed, policy).crashed.len() > 2), "{policy:?}");
    }
}

fn start(number: u64, fingerprint_number: u64, upstream: &str) -> RunStart {
    RunStart {
        id: RunId { runner: runner(0), number },
        fingerprint: fingerprint(fingerprint_number),
        upstream: upstream.into(),
    }
}

/// A runner that dies with an upstream can't report the crash, so its open runs are held against
/// their fingerprints.
#[test]
fn suspects_open_runs_of_a_dead_runner() {
    let is_suspect = |policy| {
        let cfg = PoisonConfig { policy, ..PoisonConfig::default() };
        let mut detector = PoisonDetector::new(cfg, Duration::ZERO);
        detector.request_run(ms(5_000), start(1, 1, "u1"));
        detector.remove_runner(ms(5_100), "i0", 1);
        detector.verdict(ms(5_100), &fingerprint(1)) == Verdict::Suspect
    };
    assert!(is_suspect(all_enabled()));
    assert!(!is_suspect(PoisonPolicy { suspect_orphans: false, ..all_enabled() }));
}

/// Reports arrive in a different order at each instance; all must end with the same verdicts.
#[test]
fn merges_reports_in_any_order_to_the_same_verdicts() {
    fn property(seed: u64) -> bool {
        let mut rng = Rng(seed);
        let mut source = PoisonDetector::new(PoisonConfig::default(), Duration::ZERO);
        let mut reports = Vec::new();
        for number in 0..60 {
            let now = ms(5_000 + number * 100);
            let start = start(number, rng.below(4), "u1");
            let end = [RunEnd::Completed, RunEnd::Crashed, RunEnd::Aborted][rng.below(3) as usize];
            source.request_run(now, start.clone());
            source.record_end(now, &start.id, end);
            reports.extend(source.take_reports());
        }
        for i in (1..reports.len()).rev() {
            reports.swap(i, rng.below(i as u64 + 1) as usize);
        }
        let mut other = PoisonDetector::new(PoisonConfig::default(), Duration::ZERO);
        other.merge_reports(ms(11_000), &reports);
        other.all_reports() == source.all_reports()
    }
    check(property);
}

#[test]
fn replies_to_a_fixed_sequence_of_runs() {
    let mut detector = PoisonDetector::new(PoisonConfig::default(), Duration::ZERO);
    let mut lines = Vec::new();
    let mut ask = |detector: &mut PoisonDetector, at, run: RunStart| {
        lines.push(format!(
            "{at} ms, {}: {:?}",
            run.fingerprint,
            detector.request_run(ms(at), run.clone())
        ));
    };
    ask(&mut detector, 100, start(1, 0, "u1"));
    ask(&mut detector, 2_000, start(1, 0, "u1"));
    ask(&mut detector, 2_010, start(2, 0, "u2"));
    ask(&mut detector, 2_020, start(3, 1, "u1"));
    detector.record_upstream_crash(ms(2_100), &"u1".into());
    ask(&mut detector, 2_110, start(4, 0, "u2"));
    detector.record_end(ms(2_120), &start(1, 0, "u1").id, RunEnd::Crashed);
    detector.record_end(ms(2_120), &start(3, 1, "u1").id, RunEnd::Crashed);
    ask(&mut detector, 2_130, start(5, 0, "u2"));
    ask(&mut detector, 2_140, start(6, 1, "u3"));
    detector.record_end(ms(2_200), &start(5, 0, "u2").id, RunEnd::Crashed);
    detector.record_end(ms(2_210), &start(6, 1, "u3").id, RunEnd::Completed);
    ask(&mut detector, 2_220, start(7, 0, "u4"));
    ask(&mut detector, 2_230, start(8, 1, "u1"));
    ask(&mut detector, 3_602_230, start(9, 0, "u4"));
    lines.push(format!("{:?}", detector.verdict(ms(3_602_230), &fingerprint(0))));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn fingerprint_ids_differ() {
    assert_ne!(FingerprintId::new(&fingerprint(1)), FingerprintId::new(&fingerprint(2)));
}
