//! Workspace limits over several instances, with late and lost messages and changes of the home.

mod support;

use std::time::Duration;

use lacewingspring_core::{
    limits::{
        Admission, Demand, RetryBudget, RetryBudgetConfig, RetrySpread, Share, ShareConfig,
        ShareLedger, ShareLimiter, SharePolicy,
    },
    resources::WorkspaceLimits,
};
use quickcheck::{Gen, QuickCheck};

use support::{Rng, Wire};

const INSTANCES: usize = 5;
const STEP: Duration = Duration::from_millis(10);
const RATE: u32 = 100;
const CONCURRENCY: u32 = 40;

enum Message {
    Demand(usize, Demand),
    Share(Share),
}

struct Instance {
    shares: ShareLimiter,
    /// Speed of the instance's clock.
    speed: f64,
    percent_of_demand: u64,
    ends: Vec<Duration>,
}

struct Fleet {
    now: Duration,
    wire: Wire<Message>,
    instances: Vec<Instance>,
    cfg: ShareConfig,
    /// Homes, each with the time at which it took the role.
    homes: Vec<(Duration, ShareLedger)>,
    admitted: Vec<Duration>,
    /// Whether instances are cut off from their homes from time to time.
    has_cuts: bool,
}

fn limits() -> WorkspaceLimits {
    WorkspaceLimits { requests_per_second: RATE, concurrency: CONCURRENCY }
}

impl Fleet {
    fn new(seed: u64, policy: SharePolicy, has_cuts: bool) -> Self {
        let cfg = ShareConfig { policy, ..ShareConfig::default() };
        let mut wire = Wire::new(seed);
        wire.loss_percent = 10;
        wire.jitter = Duration::from_millis(200);
        let mut instances = Vec::new();
        for _ in 0..INSTANCES {
            let speed = 0.96 + wire.rng.below(9) as f64 / 100.0;
            let shares = ShareLimiter::new(cfg.clone(), Duration::ZERO);
            let ends = Vec::new();
            instances.push(Instance { shares, speed, percent_of_demand: 50, ends });
        }
        let first = ShareLedger::new(cfg.clone(), limits(), Duration::ZERO);
        let homes = vec![(Duration::ZERO, first)];
        Self { now: Duration::ZERO, wire, instances, cfg, homes, admitted: Vec::new(), has_cuts }
    }

    fn clock(&self, i: usize) -> Duration {
        self.now.mul_f64(self.instances[i].speed)
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(delivery) = self.wire.next_until(self.now) {
            self.deliver(delivery.to, delivery.message);
        }
        for i in 0..INSTANCES {
            self.serve(i);
            self.send_demand(i);
        }
        self.change_conditions();
    }

    fn deliver(&mut self, to: usize, message: Message) {
        match message {
            Message::Demand(home, demand) => {
                // A former home stops when its view of the membership changes, up to a second late.
                let active_until = self.homes.get(home + 1).map(|(since, _)| *since + ms(1_000));
                if active_until.is_some_and(|until| until < self.now) {
                    return;
                }
                let name = format!("i{to}").as_str().into();
                let share = self.homes[home].1.grant(self.now, &name, demand);
                self.wire.send(self.now, to, to, Message::Share(share));
            }
            Message::Share(share) => {
                let now = self.clock(to);
                self.instances[to].shares.apply_share(now, share);
            }
        }
    }

    /// Ends requests and admits new ones, which arrive at up to three times the limit.
    fn serve(&mut self, i: usize) {
        let now = self.clock(i);
        let instance = &mut self.instances[i];
        let before = instance.ends.len();
        instance.ends.retain(|end| *end > self.now);
        for _ in instance.ends.len()..before {
            instance.shares.release();
        }
        if !self.wire.rng.chance(instance.percent_of_demand) {
            return;
        }
        if instance.shares.admit(now) == Admission::Admitted {
            let runs = if self.wire.rng.chance(25) { 15_000 } else { 200 };
            instance.ends.push(self.now + ms(self.wire.rng.below(runs)));
            self.admitted.push(self.now);
        }
    }

    fn send_demand(&mut self, i: usize) {
        let now = self.clock(i);
        let Some(demand) = self.instances[i].shares.poll_demand(now) else { return };
        let lag = ms(200 * i as u64);
        let home = self.homes.iter().rposition(|(since, _)| *since + lag <= self.now);
        self.wire.send(self.now, i, i, Message::Demand(home.unwrap_or_default(), demand));
    }

    /// Changes the demand, cuts instances off for a while, and moves the home.
    fn change_conditions(&mut self) {
        if self.wire.rng.below(100) == 0 {
            let i = self.wire.rng.below(INSTANCES as u64) as usize;
            self.instances[i].percent_of_demand = self.wire.rng.below(70);
        }
        if self.has_cuts && self.wire.rng.below(500) == 0 {
            let i = self.wire.rng.below(INSTANCES as u64) as usize;
            if !self.wire.cuts.remove(&(i, i)) {
                self.wire.cuts.insert((i, i));
            }
        }
        let last = self.homes.last().map_or(Duration::ZERO, |(since, _)| *since);
        if self.now - last > ms(12_000) && self.wire.rng.below(400) == 0 {
            let next = ShareLedger::new(self.cfg.clone(), limits(), self.now);
            self.homes.push((self.now, next));
        }
    }

    fn keeps_limits(&self) -> bool {
        let shares = (0..INSTANCES).map(|i| self.instances[i].shares.share(self.clock(i)));
        let shares: Vec<Share> = shares.flatten().collect();
        let rate: f64 = shares.iter().map(|share| share.rate).sum();
        let concurrency: u32 = shares.iter().map(|share| share.concurrency).sum();
        let in_use: u32 = self.instances.iter().map(|i| i.shares.in_use()).sum();
        let shared = rate <= f64::from(RATE) + 1e-6 && concurrency <= CONCURRENCY;
        // A home can't count the requests of an instance that was cut off when the home took its
        // role.
        shared && (self.has_cuts || in_use <= CONCURRENCY)
    }

    /// Returns whether the requests admitted in any ten seconds stay within the rate, with an
    /// allowance for bursts and for the speed of the clocks.
    fn keeps_rate(&self) -> bool {
        let max_admitted =
            f64::from(RATE) * 10.0 * 1.05 + f64::from(RATE) * 0.25 + INSTANCES as f64;
        self.admitted.iter().enumerate().all(|(i, start)| {
            let until = self.admitted[i..].partition_point(|at| *at < *start + ms(10_000));
            until as f64 <= max_admitted
        })
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits_hold(seed: u64, policy: SharePolicy) -> bool {
    [false, true].into_iter().all(|has_cuts| limits_hold_with(seed, policy, has_cuts))
}

fn limits_hold_with(seed: u64, policy: SharePolicy, has_cuts: bool) -> bool {
    let mut fleet = Fleet::new(seed, policy, has_cuts);
    for _ in 0..12_000 {
        fleet.step();
        if !fleet.keeps_limits() {
            return false;
        }
    }
    // Long requests occupy all slots, so about twenty requests per second can be admitted.
    assert!(fleet.admitted.len() > 1_000, "too few requests were admitted");
    let counted: u64 = fleet.homes.iter().map(|(_, ledger)| ledger.violations()).sum();
    fleet.keeps_rate() && counted == 0
}

fn on() -> SharePolicy {
    SharePolicy::default()
}

#[test]
fn limits_hold_over_the_fleet() {
    let holds: fn(u64) -> bool = |seed| limits_hold(seed, on());
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 0x6c69_6d69)).tests(20).quickcheck(holds);
}

#[test]
fn limits_break_if_one_mechanism_is_disabled() {
    let off = [
        SharePolicy { wait_for_old_shares: false, ..on() },
        SharePolicy { expire: false, ..on() },
        SharePolicy { count_in_use: false, ..on() },
    ];
    for policy in off {
        assert!((0..10).any(|seed| !limits_hold(seed, policy)), "{policy:?}");
    }
}

/// Returns the total rate granted by the homes of both sides of a partition of nine members.
fn rates_across_a_partition(policy: SharePolicy) -> f64 {
    let cfg = ShareConfig { policy, ..ShareConfig::default() };
    let mut sum = 0.0;
    for reachable in [4, 5] {
        let mut ledger = ShareLedger::new(cfg.clone(), limits(), Duration::ZERO);
        ledger.set_member_counts(reachable, 9);
        for round in 0..20 {
            let mut rates = 0.0;
            for i in 0..reachable {
                let demand =
                    Demand { ask: round + 1, rate: 50.0, concurrency: 9, in_use: 0, held: None };
                let name = format!("i{i}").as_str().into();
                rates += ledger.grant(ms(10_000 * round), &name, demand).rate;
            }
            if round == 19 {
                sum += rates;
            }
        }
    }
    sum
}

#[test]
fn both_sides_of_a_partition_share_the_limit() {
    assert!(rates_across_a_partition(on()) <= f64::from(RATE) + 1e-6);
    assert!(rates_across_a_partition(on()) > f64::from(RATE) * 0.8);
    assert!(
        rates_across_a_partition(SharePolicy { scale_by_reach: false, ..on() }) > f64::from(RATE)
    );
}

#[test]
fn shares_follow_demand() {
    let mut ledger = ShareLedger::new(ShareConfig::default(), limits(), Duration::ZERO);
    ledger.set_member_counts(3, 3);
    let mut held = [None; 3];
    let mut lines = Vec::new();
    for round in 0..6_u64 {
        let now = ms(10_000 + 1_000 * round);
        let rates = if round < 3 { [80.0, 10.0, 0.0] } else { [10.0, 80.0, 0.0] };
        for (i, rate) in rates.into_iter().enumerate() {
            let demand =
                Demand { ask: round + 1, rate, concurrency: rate as u32, in_use: 0, held: held[i] };
            held[i] = Some(ledger.grant(now, &format!("i{i}").as_str().into(), demand));
        }
        let shares = held.iter().flatten();
        let shares = shares.map(|share| format!("{:.1}/s {}", share.rate, share.concurrency));
        lines.push(format!("{round}: {}", shares.collect::<Vec<_>>().join(", ")));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against reserving more for a crashed member than its fraction of the limit: the three
/// other members, with little or no demand, would get too small shares. The crashed member had a
/// higher demand before.
#[test]
fn an_unreachable_member_holds_no_more_than_its_fraction() {
    let mut ledger = ShareLedger::new(ShareConfig::default(), limits(), Duration::ZERO);
    ledger.set_member_counts(4, 4);
    let mut held = [None; 4];
    let mut grant = |ledger: &mut ShareLedger, round: u64, i: usize, rate: f64| {
        let demand = Demand { ask: round, rate, concurrency: 1, in_use: 0, held: held[i] };
        let name = format!("i{i}").as_str().into();
        let share = ledger.grant(ms(10_000 + 1_000 * round), &name, demand);
        held[i] = Some(share);
        share
    };
    for round in 1..4 {
        for i in 0..4 {
            grant(&mut ledger, round, i, if i == 3 { 5.0 } else { 0.0 });
        }
    }
    ledger.set_member_counts(3, 4);
    ledger.set_unreachable(["i3".into()]);
    for round in 4..7 {
        for i in 0..3 {
            let share = grant(&mut ledger, round, i, 4.0);
            assert!(share.rate > 15.0 && share.concurrency >= 4, "{round} {i}: {share:?}");
        }
    }
    assert_eq!(ledger.violations(), 0);
}

#[test]
fn retries_stay_a_fraction_of_fresh_requests() {
    let mut rng = Rng(7);
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), Duration::ZERO);
    budget.set_rate_fraction(Duration::ZERO, 0.5);
    let (mut fresh, mut retries) = (0, 0);
    for step in 0..60_000 {
        let now = ms(step);
        if rng.chance(10) {
            budget.count_request(now);
            fresh += 1;
        }
        // Callers retry twice as often as they send fresh requests.
        if rng.chance(20) && budget.take_retry(now) {
            retries += 1;
        }
    }
    let allowed = f64::from(fresh) * 0.1 + 60.0 * 0.5 + 10.0;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(f64::from(retries) > allowed * 0.9, "{retries} of {allowed}");
}

#[test]
fn refused_callers_get_spread_out_retry_after_times() {
    let mut spread = RetrySpread::new(ms(200), Duration::from_secs(60));
    let mut seconds = [0; 61];
    for i in 0..1_000 {
        let key = format!("key-{i}").as_str().into();
        let wait = spread.retry_after(ms(i / 10), &key, Duration::ZERO, 50.0);
        seconds[wait.as_secs() as usize] += 1;
    }
    // The callers refused first can't take into account how many follow, so the first seconds get
    // more of them.
    assert!(seconds.iter().all(|count| *count <= 250), "{seconds:?}");
    assert!(seconds[5..20].iter().sum::<i32>() > 250, "{seconds:?}");
    let again = |key: &str| {
        RetrySpread::new(ms(200), ms(200)).retry_after(ms(0), &key.into(), ms(500), 1.0)
    };
    assert_eq!(again("a"), again("a"));
    assert_ne!(again("a"), again("b"));
}
