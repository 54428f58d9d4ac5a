//! Roll-outs of bad versions are rolled back, and those of sound ones completed, over seeds.
//! `examples/roll_out_rates.rs` prints the rates over more seeds.

use std::time::Duration;

use lacewingspring_core::roll_out::{RollBackCause, Stage};
use roll_out_support::{Fault, Outcome, Scenario, portion, run};

mod roll_out_support;

const SEEDS: u64 = 20;

fn is_found(outcome: &Outcome) -> bool {
    matches!(outcome.stage, Stage::RolledBack(RollBackCause::Bad(_)))
}

fn finds_always(fault: Fault) {
    for seed in 0..SEEDS {
        let outcome = run(&Scenario { fault, ..Scenario::default() }, seed);
        assert!(is_found(&outcome), "{fault:?}, seed {seed}: {outcome:?}");
        assert!(outcome.target_bad < 50, "{fault:?}, seed {seed}: {outcome:?}");
        assert!(outcome.excess <= 0.0, "{fault:?}, seed {seed}: {outcome:?}");
    }
}

fn keeps_always(scenario: &Scenario) {
    for seed in 0..SEEDS {
        let outcome = run(scenario, seed);
        assert!(outcome.is_completed(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn finds_failures_of_any_portion() {
    finds_always(Fault::failing(0.1));
    finds_always(Fault::failing(0.3));
    finds_always(Fault::failing(1.0));
}

#[test]
fn finds_slowness() {
    finds_always(Fault::slow(1.0, 3.0));
    finds_always(Fault::slow(0.3, 3.0));
}

/// Guards against a version that is too slow to complete a response, so that none of them has a
/// time that could be compared.
#[test]
fn finds_responses_that_reach_the_deadline() {
    let timeout = Duration::from_secs(3);
    for seed in 0..SEEDS {
        let fault = Fault::slow(1.0, 20.0);
        let outcome = run(&Scenario { fault, timeout, ..Scenario::default() }, seed);
        assert!(is_found(&outcome), "seed {seed}: {outcome:?}");
        assert!(outcome.target_bad < 50, "seed {seed}: {outcome:?}");
        assert!(outcome.excess <= 0.0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn finds_faults_of_the_rarest_route() {
    finds_always(Fault::failing(1.0).on_route(2));
    finds_always(Fault::slow(1.0, 3.0).on_route(2));
}

#[test]
fn finds_faults_that_begin_with_the_200th_response() {
    let deadline = Duration::from_secs(15);
    let large = |fault| Scenario { fault, deadline, ..Scenario::large() };
    for fault in [Fault::failing(0.3), Fault::failing(1.0), Fault::slow(1.0, 3.0)] {
        for seed in 0..SEEDS {
            let outcome = run(&large(fault.from(200)), seed);
            assert!(is_found(&outcome), "{fault:?}, seed {seed}: {outcome:?}");
            assert!(outcome.target_bad < 50, "{fault:?}, seed {seed}: {outcome:?}");
            assert_eq!(outcome.shifted_at, None, "{fault:?}, seed {seed}");
        }
    }
}

#[test]
fn finds_faults_under_load() {
    finds_always(Fault::failing(0.3).above_load(0.5));
    finds_always(Fault::slow(1.0, 3.0).above_load(0.5));
}

#[test]
fn finds_faults_of_a_small_service() {
    for fault in [Fault::failing(0.3), Fault::failing(1.0), Fault::slow(1.0, 3.0)] {
        for seed in 0..SEEDS {
            let outcome = run(&Scenario { fault, ..Scenario::small() }, seed);
            assert!(outcome.is_rolled_back(), "{fault:?}, seed {seed}: {outcome:?}");
        }
    }
    let fault = Fault::failing(0.1);
    let found = portion(&Scenario { fault, ..Scenario::small() }, 50, Outcome::is_rolled_back);
    assert!(found > 0.8, "{found}");
}

#[test]
fn finds_faults_after_a_hand_over() {
    for seed in 0..SEEDS {
        let hand_overs = vec![Duration::from_secs(2), Duration::from_secs(5)];
        let fault = Fault::failing(0.1);
        let outcome = run(&Scenario { fault, hand_overs, ..Scenario::default() }, seed);
        assert!(outcome.is_rolled_back(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn keeps_a_sound_version() {
    keeps_always(&Scenario::default());
    keeps_always(&Scenario { base_failing: 0.0, ..Scenario::small() });
}

#[test]
fn keeps_a_sound_version_beside_troubled_old_upstreams() {
    keeps_always(&Scenario { slow_old: 1, ..Scenario::default() });
    keeps_always(&Scenario { failing_old: 1, ..Scenario::default() });
}

#[test]
fn keeps_a_sound_version_whose_upstreams_crash_as_the_old_ones_do() {
    let crash_interval = Some(Duration::from_secs(30));
    keeps_always(&Scenario { crash_interval, ..Scenario::default() });
}

#[test]
fn keeps_a_sound_version_of_an_overloaded_service() {
    keeps_always(&Scenario { requests_per_second: 300.0, ..Scenario::default() });
}

#[test]
fn keeps_a_sound_version_while_responses_are_lost() {
    keeps_always(&Scenario { lost: 0.05, ..Scenario::default() });
    let lost_within = (Duration::from_secs(4), Duration::from_secs(6));
    keeps_always(&Scenario { lost: 0.2, lost_within, ..Scenario::default() });
}

#[test]
fn keeps_a_sound_version_with_cold_upstreams_or_caches() {
    keeps_always(&Scenario { cold: Duration::from_secs(3), ..Scenario::default() });
    keeps_always(&Scenario { cached_part: 0.9, ..Scenario::default() });
}

#[test]
fn keeps_a_sound_version_where_much_fails_or_times_vary() {
    let failing = Scenario { base_failing: 0.05, ..Scenario::default() };
    assert!(portion(&failing, 50, Outcome::is_completed) >= 0.95);
    let noisy = Scenario { noise: 0.7, ..Scenario::default() };
    assert!(portion(&noisy, 50, Outcome::is_completed) >= 0.95);
}

#[test]
fn keeps_a_sound_version_after_hand_overs() {
    let hand_overs = vec![Duration::from_secs(3), Duration::from_secs(7)];
    keeps_always(&Scenario { hand_overs, ..Scenario::default() });
}

#[test]
fn keeps_a_sound_version_with_rare_routes() {
    keeps_always(&Scenario { routes: vec![1.0, 1.0, 0.03], ..Scenario::default() });
    keeps_always(&Scenario { routes: vec![1.0; 10], ..Scenario::default() });
}
