//! Key index under random schedules of requests, role changes and crashes of homes.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lacewingspring_core::key_index::{
    Announcement, DispatchVerdict, FinishVerdict, HomeTenure, KeyId, KeyIndex, KeyIndexConfig,
    KeyIndexPolicy, Outcome, Progress, RegisterVerdict, Runner, TakeOverVerdict, VoidVerdict,
};
use quickcheck::{Gen, QuickCheck, Testable};

use support::Rng;

const HOMES: usize = 3;
const RUNNERS: u64 = 4;
/// Number of keys among which a step chooses.
const KEYS: u64 = 6;
/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(50);

fn id(number: u64) -> KeyId {
    KeyId { workspace: "w".into(), key: format!("k{number}").as_str().into() }
}

fn runner(number: u64) -> Runner {
    Runner { instance: format!("i{number}").as_str().into(), incarnation: 1 }
}

fn cfg(policy: KeyIndexPolicy) -> KeyIndexConfig {
    KeyIndexConfig { max_keys: 50, policy, ..KeyIndexConfig::default() }
}

fn check<A>(tests: u64, property: A)
where
    A: Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x6b65_7973))
        .tests(tests)
        .quickcheck(property);
}

/// Sends random requests to one index; returns whether no key proceeded twice, after it was voided,
/// or for a runner that was replaced.
fn dispatches_once(seed: u64, policy: KeyIndexPolicy) -> bool {
    let mut rng = Rng(seed);
    let mut index = KeyIndex::new(cfg(policy), Duration::ZERO);
    let mut now = Duration::from_secs(10);
    let mut proceeded = BTreeSet::new();
    let mut voided = BTreeSet::new();
    let mut replaced = BTreeSet::new();
    for _ in 0..400 {
        now += Duration::from_millis(rng.below(50));
        let (key, a, b) = (rng.below(KEYS), rng.below(RUNNERS), rng.below(RUNNERS));
        match rng.below(7) {
            0 | 1 => {
                index.register(now, id(key), "f".into(), runner(a), HomeTenure::Established);
            }
            2 | 3 => {
                let verdict = index.request_dispatch(now, &id(key), &runner(a), "u".into());
                let proceeds = verdict == DispatchVerdict::Proceed;
                let wrong = voided.contains(&key) || replaced.contains(&(key, a));
                if proceeds && (wrong || !proceeded.insert(key)) {
                    return false;
                }
            }
            4 => {
                let verdict = index.take_over(now, &id(key), &runner(a), &runner(b));
                if verdict != TakeOverVerdict::Refused && a != b {
                    replaced.remove(&(key, a));
                    replaced.insert((key, b));
                }
            }
            5 => {
                index.record_outcome(now, &id(key), &runner(a), Outcome::Answered);
            }
            _ => {
                if index.void(now, &id(key), HomeTenure::Established) == VoidVerdict::Voided {
                    voided.insert(key);
                }
            }
        }
    }
    index.violations() == 0
}

fn all_enabled() -> KeyIndexPolicy {
    KeyIndexPolicy::default()
}

#[test]
fn index_authorizes_one_dispatch_per_key() {
    check(500, (|seed| dispatches_once(seed, all_enabled())) as fn(u64) -> bool);
    let off = [
        KeyIndexPolicy { compare_runner: false, ..all_enabled() },
        KeyIndexPolicy { compare_progress: false, ..all_enabled() },
    ];
    for policy in off {
        assert!((0..50).any(|seed| !dispatches_once(seed, policy)), "{policy:?}");
    }
}

/// Homes that hold the role one after another, and runners with outdated views.
struct Fleet {
    rng: Rng,
    now: Duration,
    cfg: KeyIndexConfig,
    /// Times of the role changes, each with the home that holds the role from then on.
    tenures: Vec<(Duration, usize)>,
    indexes: Vec<KeyIndex>,
    /// Time at which each home crashed; `None` while it is up.
    died: Vec<Option<Duration>>,
    /// Latest tenure that was reported to the index of each home.
    reported_tenure: Vec<usize>,
    /// Open runs by runner and key.
    runs: BTreeMap<(u64, u64), Progress>,
    /// Announcements sent, by runner, key and tenure.
    announced: BTreeSet<(u64, u64, usize)>,
    /// Number of dispatches of each key.
    dispatches: BTreeMap<u64, usize>,
}

impl Fleet {
    fn new(seed: u64, cfg: KeyIndexConfig) -> Self {
        let indexes = (0..HOMES).map(|_| KeyIndex::new(cfg.clone(), Duration::ZERO)).collect();
        Self {
            rng: Rng(seed),
            now: Duration::from_secs(10),
            cfg,
            tenures: vec![(Duration::ZERO, 0)],
            indexes,
            died: vec![None; HOMES],
            reported_tenure: vec![0; HOMES],
            runs: BTreeMap::new(),
            announced: BTreeSet::new(),
            dispatches: BTreeMap::new(),
        }
    }

    /// Returns the index of the tenure in a view that is older by `lag`.
    fn tenure(&self, lag: Duration) -> usize {
        let at = self.now - lag;
        self.tenures.iter().rposition(|(since, _)| *since <= at).unwrap_or_default()
    }

    fn runner_lag(runner: u64) -> Duration {
        Duration::from_millis(100 * (runner + 1))
    }

    fn home_lag(home: usize) -> Duration {
        Duration::from_millis(150 * home as u64)
    }

    /// Returns the home in the runner's view if it is up and its own view has it as the home.
    fn reachable_home(&self, runner: u64) -> Option<usize> {
        let home = self.tenures[self.tenure(Self::runner_lag(runner))].1;
        self.accepts_requests(home).then_some(home)
    }

    fn accepts_requests(&self, home: usize) -> bool {
        self.died[home].is_none() && self.tenures[self.tenure(Self::home_lag(home))].1 == home
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.rng.below(60) == 0 {
            self.change_home();
        }
        for home in 0..HOMES {
            self.report_tenure(home);
        }
        for runner in 0..RUNNERS {
            self.announce(runner);
            // The range of keys advances with time, so that new keys wait while their home moves.
            let key = self.now.as_secs() / 2 + self.rng.below(KEYS);
            self.advance(runner, key);
        }
    }

    /// Moves the role to another home and kills the previous one in half of the cases. A home that
    /// is dead restarts with an empty index when it gets the role.
    fn change_home(&mut self) {
        let (since, home) = self.tenures[self.tenures.len() - 1];
        if self.now - since < Duration::from_secs(3) {
            return;
        }
        let next = (home + 1 + self.rng.below(HOMES as u64 - 1) as usize) % HOMES;
        if self.died[next].take().is_some() {
            self.indexes[next] = KeyIndex::new(self.cfg.clone(), self.now);
        }
        if self.rng.chance(50) {
            self.died[home] = Some(self.now);
        }
        self.tenures.push((self.now, next));
    }

    fn report_tenure(&mut self, home: usize) {
        let tenure = self.tenure(Self::home_lag(home));
        if self.died[home].is_none() && self.reported_tenure[home] != tenure {
            self.reported_tenure[home] = tenure;
            let is_home = self.tenures[tenure].1 == home;
            self.indexes[home].roles_changed(self.now, |_| is_home);
        }
    }

    /// Announces the runner's open runs to the home in its view, once for each tenure.
    fn announce(&mut self, runner_number: u64) {
        let tenure = self.tenure(Self::runner_lag(runner_number));
        let Some(home) = self.reachable_home(runner_number) else { return };
        let own = self.runs.range((runner_number, 0)..(runner_number + 1, 0));
        for ((_, key), progress) in own {
            let key = *key;
            if !self.announced.insert((runner_number, key, tenure)) {
                continue;
            }
            let announcement = Announcement {
                id: id(key),
                fingerprint: "f".into(),
                runner: runner(runner_number),
                progress: progress.clone(),
            };
            self.indexes[home].merge_announcement(self.now, announcement);
        }
    }

    fn advance(&mut self, number: u64, key: u64) {
        let Some(home) = self.reachable_home(number) else { return };
        match self.runs.get(&(number, key)) {
            None => self.register(home, number, key),
            Some(Progress::Waiting) if self.rng.chance(10) => self.dispatch(home, number, key),
            Some(Progress::Waiting) => {}
            Some(Progress::Dispatched { .. }) => {}
        }
    }

    fn register(&mut self, home: usize, number: u64, key: u64) {
        let tenure = self.tenure(Self::home_lag(home));
        let is_new = self.now - self.tenures[tenure].0 < Duration::from_secs(5);
        let home_tenure = if is_new { HomeTenure::Recent } else { HomeTenure::Established };
        let register = |index: &mut KeyIndex, now| {
            index.register(now, id(key), "f".into(), runner(number), home_tenure)
        };
        let mut verdict = register(&mut self.indexes[home], self.now);
        if verdict == RegisterVerdict::Unknown && self.fetch_from_previous(home, tenure, key) {
            verdict = register(&mut self.indexes[home], self.now);
        }
        match verdict {
            RegisterVerdict::Registered => {
                self.runs.insert((number, key), Progress::Waiting);
            }
            RegisterVerdict::Joined { runner: dead, .. } if self.rng.below(20) == 0 => {
                self.indexes[home].take_over(self.now, &id(key), &runner(number), &dead);
            }
            _ => {}
        }
    }

    /// Fetches a key from the previous home; returns false if that home is dead.
    fn fetch_from_previous(&mut self, home: usize, tenure: usize, key: u64) -> bool {
        let Some(before) = tenure.checked_sub(1) else { return false };
        let previous = self.tenures[before].1;
        if self.died[previous].is_some() {
            return false;
        }
        let answer = self.indexes[previous].hand_over(self.now, &id(key));
        self.indexes[home].merge_hand_overs(self.now, &id(key), [answer]);
        true
    }

    fn dispatch(&mut self, home: usize, number: u64, key: u64) {
        let index = &mut self.indexes[home];
        match index.request_dispatch(self.now, &id(key), &runner(number), "u".into()) {
            DispatchVerdict::Proceed => {
                *self.dispatches.entry(key).or_default() += 1;
                let progress = Progress::Dispatched { upstream: "u".into() };
                self.runs.insert((number, key), progress);
            }
            DispatchVerdict::TakenOver { .. } | DispatchVerdict::Settled => {
                self.runs.remove(&(number, key));
            }
            DispatchVerdict::Repeated { .. } | DispatchVerdict::Moved => {}
            DispatchVerdict::Unknown => {
                self.runs.remove(&(number, key));
                self.register(home, number, key);
            }
        }
    }
}

fn dispatches_once_while_homes_change(seed: u64, cfg: KeyIndexConfig) -> bool {
    let mut fleet = Fleet::new(seed, cfg);
    for _ in 0..2_000 {
        fleet.step();
    }
    assert!(fleet.dispatches.len() > 20, "the schedule must dispatch more than 20 keys");
    fleet.dispatches.values().all(|count| *count <= 1)
}

#[test]
fn dispatches_each_key_once_while_homes_move_and_crash() {
    check(
        200,
        (|seed| dispatches_once_while_homes_change(seed, cfg(all_enabled()))) as fn(u64) -> bool,
    );
    let no_learning = KeyIndexConfig { learning: Duration::ZERO, ..cfg(all_enabled()) };
    assert!((0..100).any(|seed| !dispatches_once_while_homes_change(seed, no_learning.clone())));
    let off = [
        KeyIndexPolicy { refuse_moved: false, ..all_enabled() },
        KeyIndexPolicy { hold_unconfirmed: false, ..all_enabled() },
    ];
    for policy in off {
        assert!(
            (0..300).any(|seed| !dispatches_once_while_homes_change(seed, cfg(policy))),
            "{policy:?}"
        );
    }
}

/// Guards against a second dispatch when a role returns: a home hands a key over, the new home
/// reports its dispatch back and dies, and the first home takes the role again.
#[test]
fn former_home_resumes_a_reported_dispatch_when_it_takes_the_role_again() {
    let mut now = Duration::from_secs(10);
    let mut index = KeyIndex::new(cfg(all_enabled()), Duration::ZERO);
    index.register(now, id(1), "f".into(), runner(1), HomeTenure::Established);
    index.hand_over(now, &id(1));
    let progress = Progress::Dispatched { upstream: "u".into() };
    let (key, fingerprint, dead) = (id(1), "f".into(), runner(2));
    now += STEP;
    index.merge_announcement(
        now,
        Announcement { id: key, fingerprint, runner: dead.clone(), progress },
    );
    assert_eq!(index.request_dispatch(now, &id(1), &runner(2), "u".into()), DispatchVerdict::Moved);
    now += STEP;
    index.roles_changed(now, |_| true);
    let verdict = index.register(now, id(1), "f".into(), runner(3), HomeTenure::Recent);
    assert!(matches!(verdict, RegisterVerdict::Joined { .. }), "{verdict:?}");
    let resumed = index.take_over(now, &id(1), &runner(3), &dead);
    assert_eq!(resumed, TakeOverVerdict::Resume { upstream: "u".into() });
}

#[test]
fn evicts_settled_keys_but_no_open_runs_at_capacity() {
    let mut index = KeyIndex::new(cfg(all_enabled()), Duration::ZERO);
    let mut now = Duration::from_secs(10);
    for key in 0..200 {
        now += STEP;
        let verdict = index.register(now, id(key), "f".into(), runner(0), HomeTenure::Established);
        assert_eq!(verdict, RegisterVerdict::Registered, "{key}");
        if key >= 40 {
            let recorded = index.record_outcome(now, &id(key), &runner(0), Outcome::Answered);
            assert_eq!(recorded, FinishVerdict::Recorded);
        }
        assert!(index.len() <= 50);
    }
    assert_eq!(index.open_runs_of(&"i0".into()).len(), 40);
    now += Duration::from_secs(601);
    index.void(now, &id(999), HomeTenure::Established);
    assert_eq!(index.len(), 41);
    for key in 1_000..1_010 {
        index.register(now, id(key), "f".into(), runner(0), HomeTenure::Established);
    }
    let verdict = index.register(now, id(1_010), "f".into(), runner(0), HomeTenure::Established);
    assert_eq!(verdict, RegisterVerdict::Full);
    assert_eq!(index.len(), 50);
}

#[test]
fn replies_to_a_fixed_sequence_of_requests() {
    let now = Duration::from_secs(10);
    let mut index = KeyIndex::new(cfg(all_enabled()), now);
    let (key, a, b) = (id(1), runner(1), runner(2));
    let mut answers = Vec::new();
    let mut record = |name: &str, answer: String| answers.push(format!("{name}: {answer}"));
    let early = index.register(now, key.clone(), "f".into(), a.clone(), HomeTenure::Recent);
    record("register while learning", format!("{early:?}"));
    let first = index.register(now, key.clone(), "f".into(), a.clone(), HomeTenure::Established);
    record("register", format!("{first:?}"));
    let other = index.register(now, key.clone(), "g".into(), b.clone(), HomeTenure::Established);
    record("another body", format!("{other:?}"));
    let join = index.register(now, key.clone(), "f".into(), b.clone(), HomeTenure::Established);
    record("repeat", format!("{join:?}"));
    let proceed = index.request_dispatch(now, &key, &a, "u".into());
    record("dispatch", format!("{proceed:?}"));
    let again = index.request_dispatch(now, &key, &a, "v".into());
    record("dispatch again", format!("{again:?}"));
    record("take over", format!("{:?}", index.take_over(now, &key, &b, &a)));
    record("late dispatch", format!("{:?}", index.request_dispatch(now, &key, &a, "u".into())));
    record("late end", format!("{:?}", index.record_outcome(now, &key, &a, Outcome::Answered)));
    record("end", format!("{:?}", index.record_outcome(now, &key, &b, Outcome::Answered)));
    record("status", format!("{:?}", index.void(now, &key, HomeTenure::Established)));
    record("status of another", format!("{:?}", index.void(now, &id(2), HomeTenure::Established)));
    let voided = index.register(now, id(2), "f".into(), a, HomeTenure::Established);
    record("register the voided", format!("{voided:?}"));
    insta::assert_snapshot!(answers.join("\n"));
}
