//! The bound on the requests of a target version, over holders of the record.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::roll_out::{Block, Counts, GrantedRequest, RollBackCause, RollOut, Stage};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use roll_out_support::{BOUNDS, Fault, Scenario, ms, order, run};

mod roll_out_support;

const DEADLINE: Duration = Duration::from_secs(60);

/// A gate that may hold blocks of the record.
#[derive(Debug)]
struct Holder {
    roll_out: RollOut,
    /// Revision of the record that it knows.
    revision: u64,
    /// Its clock stands still until then.
    frozen_until: Duration,
    next_write: Duration,
}

/// The record in the store and who holds it.
#[derive(Debug)]
struct Fleet {
    record: Counts,
    revision: u64,
    holders: Vec<Holder>,
    requests: u64,
    target_requests: u64,
}

fn continued(counts: Counts) -> RollOut {
    RollOut::new(order(Duration::ZERO, DEADLINE), BOUNDS, counts, Stage::Observing)
}

impl Fleet {
    fn new(holders: usize) -> Self {
        let mut fleet = Self {
            record: Counts::default(),
            revision: 0,
            holders: Vec::new(),
            requests: 0,
            target_requests: 0,
        };
        for _ in 0..holders {
            let holder = fleet.successor(Duration::ZERO, Counts::default());
            fleet.holders.push(holder);
        }
        fleet
    }

    fn successor(&self, now: Duration, counts: Counts) -> Holder {
        Holder {
            roll_out: continued(counts),
            revision: self.revision,
            frozen_until: Duration::ZERO,
            next_write: now,
        }
    }

    /// Lets a holder reserve a block by compare-and-swap. On a conflict it reads the record.
    fn write(&mut self, now: Duration, number: usize) {
        let holder = &mut self.holders[number];
        if now < holder.next_write || now < holder.frozen_until {
            return;
        }
        if holder.revision != self.revision {
            holder.roll_out.merge_record(self.record);
            holder.revision = self.revision;
            return;
        }
        let size = holder.roll_out.block_size(now);
        self.record = holder.roll_out.counts_with_block(size);
        self.revision += 1;
        holder.revision = self.revision;
        holder.next_write = now + ms(1_000);
        holder.roll_out.note_written(self.record);
        holder.roll_out.open_block(Block { size, expires_at: now + ms(1_000) });
    }

    /// A request of a caller, or a repeated one, arrives at a holder.
    fn request(&mut self, now: Duration, number: usize, route: &str, is_repeat: bool) {
        let holder = &mut self.holders[number];
        if now < holder.frozen_until {
            return;
        }
        let is_target = if is_repeat {
            holder.roll_out.may_send(now)
        } else {
            holder.roll_out.takes(now, route)
        };
        let granted = GrantedRequest { is_target, route: Arc::from(route), is_repeat };
        holder.roll_out.record_grant(now, &granted);
        self.requests += u64::from(!is_repeat);
        self.target_requests += u64::from(is_target);
        let allowed = BOUNDS.share * self.requests as f64 + BOUNDS.tolerance;
        assert!(
            self.target_requests as f64 <= allowed,
            "{} requests to the target of {}",
            self.target_requests,
            self.requests,
        );
    }
}

/// Runs holders that get requests in turn, stop at random, and are replaced.
fn run_holders(seed: u64, holders: usize, lags: bool) -> Fleet {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(holders);
    let interval = Duration::from_micros(rng.random_range(1_000..60_000));
    let mut earlier = (Counts::default(), 0);
    let mut may_lag = lags;
    let mut now = Duration::ZERO;
    while now < ms(20_000) {
        now += interval;
        let number = rng.random_range(0..holders);
        let revision = fleet.revision;
        let record = fleet.record;
        fleet.write(now, number);
        if fleet.revision != revision {
            earlier = (record, revision);
        }
        let route = ["a", "b", "c"][rng.random_range(0..3)];
        fleet.request(now, number, route, rng.random_ratio(1, 5));
        if rng.random_bool(interval.as_secs_f64() / 4.0) {
            fleet.holders[number].frozen_until = now + ms(rng.random_range(1..3_000));
        }
        if rng.random_bool(interval.as_secs_f64() / 6.0) {
            let counts = if may_lag { earlier.0 } else { fleet.record };
            // The record is lost once, also for the other holders.
            if may_lag && fleet.revision > 2 {
                fleet.record = counts;
                fleet.revision += 1;
                may_lag = false;
                fleet.holders[number] = fleet.successor(now, counts);
            } else if !may_lag {
                fleet.holders[number] = fleet.successor(now, counts);
            }
        }
    }
    fleet
}

#[test]
fn one_holder_after_another_keeps_the_bound() {
    for seed in 0..200 {
        run_holders(seed, 1, false);
    }
}

#[test]
fn a_record_that_lags_by_one_block_keeps_the_bound() {
    for seed in 0..200 {
        run_holders(seed, 1, true);
    }
}

#[test]
fn two_holders_at_the_same_time_keep_the_bound() {
    for seed in 0..200 {
        run_holders(seed, 2, false);
    }
}

#[test]
fn two_holders_with_a_record_that_lags_keep_the_bound() {
    for seed in 0..200 {
        run_holders(seed, 2, true);
    }
}

#[test]
fn most_of_the_bound_is_used() {
    for seed in 0..50 {
        let fleet = run_holders(seed, 1, false);
        let allowed = BOUNDS.share * fleet.requests as f64 + BOUNDS.tolerance;
        assert!(fleet.target_requests as f64 > 0.5 * allowed, "seed {seed}: {fleet:?}");
    }
}

#[test]
fn the_margin_covers_any_block_that_was_reserved_before() {
    let mut roll_out = continued(Counts::default());
    let mut largest_block = 0;
    for number in 0..5_000 {
        let now = Duration::from_millis(number);
        largest_block = largest_block.max(roll_out.block_size(now));
        let allowed = BOUNDS.share * roll_out.counts().requests as f64 + BOUNDS.tolerance;
        let most = roll_out.max_target_requests() + largest_block;
        assert!(most as f64 <= allowed, "{most} of {allowed}");
        let granted = GrantedRequest { is_target: false, route: Arc::from("a"), is_repeat: false };
        roll_out.record_grant(now, &granted);
    }
}

#[test]
fn a_newer_order_has_its_own_bound_and_the_older_target_gets_nothing() {
    let mut older = continued(Counts::default());
    older.open_block(Block { size: 5, expires_at: ms(1_000) });
    assert!(older.takes(ms(10), "a"));
    older.roll_back(RollBackCause::OrderDeleted);
    assert!(!older.takes(ms(10), "a") && !older.may_send(ms(10)));
    assert_eq!(older.block_size(ms(10)), 0);
    let newer = continued(Counts::default());
    assert!(!newer.takes(ms(10), "a"), "a block of the older order is not one of the newer");
    assert_eq!(newer.block_size(ms(10)), 10);
}

#[test]
fn a_restored_store_never_lowers_the_counts() {
    let mut roll_out = continued(Counts::default());
    let granted = GrantedRequest { is_target: true, route: Arc::from("a"), is_repeat: false };
    for _ in 0..5 {
        roll_out.record_grant(ms(1), &granted);
    }
    let written = roll_out.counts_with_block(4);
    assert_eq!(written.target_requests, 9);
    roll_out.note_written(written);
    let before = roll_out.counts();
    roll_out.merge_record(Counts { requests: 2, target_requests: 1, ..Counts::default() });
    assert_eq!(roll_out.counts(), before);
}

#[test]
fn bad_responses_that_another_holder_stored_are_added() {
    let mut roll_out = continued(Counts { bad: 3, ..Counts::default() });
    roll_out.merge_record(Counts { bad: 10, ..Counts::default() });
    assert_eq!(roll_out.counts().bad, 10);
}

#[test]
fn simulated_roll_outs_of_bad_versions_keep_the_bound() {
    for seed in 0..20 {
        for fault in [Fault::failing(0.1), Fault::failing(0.05), Fault::slow(1.0, 1.8)] {
            let hand_overs = vec![ms(2_500), ms(6_100)];
            let base = Scenario { fault, hand_overs, ..Scenario::small() };
            let lagging = Scenario { hand_overs: vec![ms(4_400)], lagging: true, ..base.clone() };
            for scenario in [base, lagging] {
                let outcome = run(&scenario, seed);
                assert!(outcome.excess <= 0.0, "seed {seed}: {outcome:?}");
            }
        }
    }
}
