//! The watch for requests that crash upstreams, under random schedules.

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

const WATCHES: usize = 4;
const RUNNERS: usize = 4;
const UPSTREAMS: usize = 6;
const FINGERPRINTS: u64 = 5;
const STEP: Duration = Duration::from_millis(10);
const POISON: u64 = 0;

enum Message {
    Begin(usize, RunStart),
    Answer(RunStart, RunReply),
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

/// Runners, upstreams and one home for all fingerprints, which moves.
struct Fleet {
    now: Duration,
    wire: Wire<Message>,
    watches: Vec<PoisonDetector>,
    homes: Vec<(Duration, usize)>,
    told: Vec<usize>,
    upstreams: Vec<Upstream>,
    numbers: u64,
    crashed: BTreeSet<usize>,
    whole: BTreeMap<Fingerprint, u64>,
    seen: BTreeSet<Fingerprint>,
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
        let watch = |_| PoisonDetector::new(cfg.clone(), Duration::ZERO);
        let mut wire = Wire::new(seed);
        wire.jitter = ms(100);
        Self {
            now: Duration::ZERO,
            wire,
            watches: (0..WATCHES).map(watch).collect(),
            homes: vec![(Duration::ZERO, 0)],
            told: vec![0; WATCHES],
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            numbers: 0,
            crashed: BTreeSet::new(),
            whole: BTreeMap::new(),
            seen: BTreeSet::new(),
            refused: 0,
        }
    }

    /// Returns the tenure that instance `i` sees; views lag by up to 300 ms.
    fn tenure(&self, i: usize) -> usize {
        let lag = ms(100 * i as u64);
        self.homes.iter().rposition(|(since, _)| *since + lag <= self.now).unwrap_or_default()
    }

    fn step(&mut self, poison_until: Duration) {
        self.now += STEP;
        while let Some(delivery) = self.wire.next_until(self.now) {
            self.take(delivery.from, delivery.to, delivery.message);
        }
        self.gossip();
        self.move_home();
        for i in 0..UPSTREAMS {
            self.run_upstream(i);
        }
        if self.wire.rng.chance(20) {
            let number = self.wire.rng.below(FINGERPRINTS);
            if number != POISON || self.now < poison_until {
                self.ask(number);
            }
        }
    }

    /// Verdicts reach all within a second.
    fn gossip(&mut self) {
        if !self.now.as_millis().is_multiple_of(200) {
            return;
        }
        for from in 0..WATCHES {
            let reports = self.watches[from].take_reports();
            for to in 0..WATCHES {
                self.watches[to].merge_reports(self.now, &reports);
            }
        }
    }

    fn move_home(&mut self) {
        let (since, home) = self.homes[self.homes.len() - 1];
        if self.now - since > ms(4_000) && self.wire.rng.below(300) == 0 {
            self.homes.push((self.now, (home + 1) % WATCHES));
        }
        for i in 0..WATCHES {
            let tenure = self.tenure(i);
            if self.told[i] != tenure {
                self.told[i] = tenure;
                let is_home = self.homes[tenure].1 == i;
                self.watches[i].roles_changed(self.now, |_| is_home);
                self.announce(i);
            }
        }
    }

    /// Runner `i` announces its runs, again after a while in case the home's view lagged.
    fn announce(&mut self, i: usize) {
        let home = self.homes[self.tenure(i)].1;
        let work = self.upstreams.iter().flat_map(|upstream| &upstream.work);
        let own: Vec<Work> = work.filter(|w| w.start.id.runner == runner(i)).cloned().collect();
        for work in own {
            self.wire.send(self.now, i, home, Message::Announce(work.start.clone(), work.alone));
            let later = self.now + ms(400);
            self.wire.send(later, i, home, Message::Announce(work.start, work.alone));
        }
    }

    fn ask(&mut self, number: u64) {
        let asker = self.wire.rng.below(RUNNERS as u64) as usize;
        let target = self.wire.rng.below(UPSTREAMS as u64);
        self.numbers += 1;
        let start = RunStart {
            id: RunId { runner: runner(asker), number: self.numbers },
            fingerprint: fingerprint(number),
            upstream: format!("u{target}").as_str().into(),
        };
        self.seen.insert(start.fingerprint.clone());
        let home = self.homes[self.tenure(asker)].1;
        self.wire.send(self.now, asker, home, Message::Begin(asker, start));
    }

    fn take(&mut self, from: usize, to: usize, message: Message) {
        let is_home = self.homes[self.tenure(to)].1 == to;
        match message {
            Message::Begin(asker, start) if is_home => {
                let verdict = self.watches[to].request_run(self.now, start.clone());
                self.wire.send(self.now, to, asker, Message::Answer(start, verdict));
            }
            Message::Ended(id, end) if is_home => self.watches[to].record_end(self.now, &id, end),
            Message::Announce(start, alone) if is_home => self.announced(to, start, alone),
            Message::Answer(start, verdict) => self.dispatch(to, start, verdict),
            // The home's view or the runner's is old; an end is told again to the new home.
            Message::Ended(id, end) => {
                let home = self.homes[self.tenure(from)].1;
                self.wire.send(self.now, from, home, Message::Ended(id, end));
            }
            Message::Begin(..) | Message::Announce(..) => {}
        }
    }

    /// An announcement that arrives after the end of its run would open it for ever.
    fn announced(&mut self, to: usize, start: RunStart, alone: bool) {
        let work = &self.upstreams[upstream_number(&start)].work;
        if work.iter().any(|work| work.start.id == start.id) {
            self.watches[to].merge_announcement(start, alone);
        }
    }

    fn dispatch(&mut self, asker: usize, start: RunStart, verdict: RunReply) {
        let RunReply::Run { alone, .. } = verdict else {
            self.refused += u64::from(verdict == RunReply::Quarantined);
            return;
        };
        let upstream = &mut self.upstreams[upstream_number(&start)];
        let exclusive = alone || upstream.work.iter().any(|work| work.alone);
        let taken = exclusive && !upstream.work.is_empty();
        if upstream.down_until > self.now || taken {
            // The gate gives no permit now, so the run ends before it is dispatched.
            let home = self.homes[self.tenure(asker)].1;
            self.wire.send(self.now, asker, home, Message::Ended(start.id, RunEnd::Aborted));
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
            *self.whole.entry(work.start.fingerprint.clone()).or_default() += 1;
            self.end(&work, RunEnd::Completed);
        }
    }

    fn end(&mut self, work: &Work, end: RunEnd) {
        let number = work.start.id.runner.instance.as_str()[1..].parse().expect("a number");
        let home = self.homes[self.tenure(number)].1;
        self.wire.send(self.now, number, home, Message::Ended(work.start.id.clone(), end));
    }
}

/// Runs a fleet in which one request crashes all that run it; returns it at the end.
fn run(seed: u64, policy: PoisonPolicy) -> Fleet {
    let mut fleet = Fleet::new(seed, policy);
    for _ in 0..4_000 {
        fleet.step(ms(30_000));
    }
    fleet
}

fn on() -> PoisonPolicy {
    PoisonPolicy::default()
}

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x706f_6973))
        .tests(100)
        .quickcheck(property);
}

#[test]
fn poison_takes_down_two_upstreams_at_most() {
    check(|seed| run(seed, on()).crashed.len() <= 2);
}

#[test]
fn runs_bring_about_both_crashes_and_refusals() {
    let runs: Vec<Fleet> = (0..20).map(|seed| run(seed, on())).collect();
    assert!(runs.iter().filter(|fleet| fleet.crashed.len() == 2).count() >= 15);
    assert!(runs.iter().filter(|fleet| fleet.refused > 0).count() >= 15);
    assert!(runs.iter().filter(|fleet| fleet.homes.len() > 2).count() >= 15);
}

#[test]
fn neighbours_are_cleared_and_run_on() {
    check(|seed| {
        let mut fleet = run(seed, on());
        let now = fleet.now;
        let home = fleet.homes[fleet.homes.len() - 1].1;
        let innocent = (1..FINGERPRINTS).map(fingerprint);
        let clear = |f| fleet.watches[home].verdict(now, &f) == Verdict::Clear;
        let cleared = innocent.filter(|f| fleet.seen.contains(f)).all(clear);
        cleared && fleet.whole.values().sum::<u64>() > 50
    });
}

#[test]
fn poison_takes_down_more_without_each_mechanism() {
    let off = [
        PoisonPolicy { single_upstream: false, ..on() },
        PoisonPolicy { single_trial: false, ..on() },
        PoisonPolicy { quarantine: false, ..on() },
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

#[test]
fn orphans_are_suspect() {
    let suspects = |policy| {
        let cfg = PoisonConfig { policy, ..PoisonConfig::default() };
        let mut watch = PoisonDetector::new(cfg, Duration::ZERO);
        watch.request_run(ms(5_000), start(1, 1, "u1"));
        watch.remove_runner(ms(5_100), "i0", 1);
        watch.verdict(ms(5_100), &fingerprint(1)) == Verdict::Suspect
    };
    assert!(suspects(on()));
    assert!(!suspects(PoisonPolicy { suspect_orphans: false, ..on() }));
}

#[test]
fn reports_agree_in_any_order() {
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
fn answers_to_a_fixed_course() {
    let mut watch = PoisonDetector::new(PoisonConfig::default(), Duration::ZERO);
    let mut lines = Vec::new();
    let mut ask = |watch: &mut PoisonDetector, at, run: RunStart| {
        lines.push(format!(
            "{at} ms, {}: {:?}",
            run.fingerprint,
            watch.request_run(ms(at), run.clone())
        ));
    };
    ask(&mut watch, 100, start(1, 0, "u1"));
    ask(&mut watch, 2_000, start(1, 0, "u1"));
    ask(&mut watch, 2_010, start(2, 0, "u2"));
    ask(&mut watch, 2_020, start(3, 1, "u1"));
    watch.record_upstream_crash(ms(2_100), &"u1".into());
    ask(&mut watch, 2_110, start(4, 0, "u2"));
    watch.record_end(ms(2_120), &start(1, 0, "u1").id, RunEnd::Crashed);
    watch.record_end(ms(2_120), &start(3, 1, "u1").id, RunEnd::Crashed);
    ask(&mut watch, 2_130, start(5, 0, "u2"));
    ask(&mut watch, 2_140, start(6, 1, "u3"));
    watch.record_end(ms(2_200), &start(5, 0, "u2").id, RunEnd::Crashed);
    watch.record_end(ms(2_210), &start(6, 1, "u3").id, RunEnd::Completed);
    ask(&mut watch, 2_220, start(7, 0, "u4"));
    ask(&mut watch, 2_230, start(8, 1, "u1"));
    ask(&mut watch, 3_602_230, start(9, 0, "u4"));
    lines.push(format!("{:?}", watch.verdict(ms(3_602_230), &fingerprint(0))));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn fingerprints_have_a_short_form() {
    assert_ne!(FingerprintId::new(&fingerprint(1)), FingerprintId::new(&fingerprint(2)));
}
