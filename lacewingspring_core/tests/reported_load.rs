//! What callers get while upstreams report load and pace, beside the same dispatcher without
//! reports.

use lacewingspring_core::dispatch::UpstreamLoad;
use reported_load_support::{Outcome, Play, Reports, play, quantile_of};

mod dispatch_support;
mod reported_load_support;

const SEEDS: u64 = 6;

/// Paces: time for which one holds, largest one, and work of others as a multiple of the slots.
const QUICK: (u64, f64, f64) = (50, 4.0, 0.0);
const MEDIUM: (u64, f64, f64) = (200, 6.0, 0.0);
const SLOW: (u64, f64, f64) = (1_000, 10.0, 0.0);
const SHARED: (u64, f64, f64) = (1_000, 10.0, 1.5);

/// Most that a share on time, which differs a little between seeds, may be lower with reports.
const SHARE_MARGIN: f64 = 0.01;

const STEADY_FAST: UpstreamLoad =
    UpstreamLoad { running: 2, waiting: 0, slots: 8, pace: Some(0.1) };
const STEADY_SLOW: UpstreamLoad =
    UpstreamLoad { running: 2, waiting: 0, slots: 8, pace: Some(20.0) };
const STEADY_QUEUE: UpstreamLoad =
    UpstreamLoad { running: 8, waiting: 50, slots: 8, pace: Some(1.0) };
const STEADY_ALL: UpstreamLoad =
    UpstreamLoad { running: 8, waiting: 50, slots: 8, pace: Some(20.0) };

fn scenario(paces: (u64, f64, f64), reports: Reports, seed: u64) -> Play {
    let (hold_ms, max_pace, others) = paces;
    Play { others, ..Play::new(seed, hold_ms, max_pace, reports) }
}

fn outcomes(paces: (u64, f64, f64), reports: Reports) -> Vec<Outcome> {
    (1..=SEEDS).map(|seed| play(scenario(paces, reports, seed))).collect()
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

/// Compares true reports with none: first events are sooner by these factors at least, in the
/// median and at the ninth decile, and neither the share on time nor the pauses get worse.
fn check_gain(paces: (u64, f64, f64), median_factor: f64, decile_factor: f64) {
    let without = outcomes(paces, Reports::None);
    let with = outcomes(paces, Reports::True);
    let compare = |name: &str, factor: f64, figure: &dyn Fn(&Outcome) -> f64| {
        let (before, after) = (mean(&without, figure), mean(&with, figure));
        println!("{paces:?} {name}: {before:.4} without reports, {after:.4} with them");
        assert!(after <= before * factor, "{name}: {before} without reports, {after} with them");
    };
    compare("median of the first event", median_factor, &|outcome| outcome.first_quantile(0.5));
    compare("ninth decile", decile_factor, &|outcome| outcome.first_quantile(0.9));
    compare("ninth decile of pauses", 1.02, &|outcome| outcome.pause_quantile(0.9));
    let share = |outcomes: &[Outcome]| mean(outcomes, Outcome::on_time_share);
    let (before, after) = (share(&without), share(&with));
    println!("{paces:?} on time: {before:.4} without reports, {after:.4} with them");
    assert!(after >= before - 0.002, "on time: {before} without reports, {after} with them");
}

/// Guards against predictions that use a report for longer than its pace holds.
#[test]
fn a_pace_that_changes_within_a_request_does_no_harm() {
    check_gain(QUICK, 1.0, 1.01);
}

#[test]
fn a_pace_that_holds_for_a_request_brings_first_events_forward() {
    check_gain(MEDIUM, 0.97, 0.99);
}

#[test]
fn a_pace_that_holds_for_a_second_brings_first_events_forward() {
    check_gain(SLOW, 0.96, 0.96);
}

#[test]
fn work_of_others_is_avoided() {
    check_gain(SHARED, 0.95, 0.95);
}

/// Guards against figures that draw all requests to an upstream, keep all from it, or make callers
/// wait longer than without reports.
#[test]
fn false_figures_neither_draw_nor_shut_out() {
    for paces in [QUICK, MEDIUM, SLOW] {
        let without = mean(&outcomes(paces, Reports::None), Outcome::on_time_share);
        for load in [STEADY_FAST, STEADY_SLOW, STEADY_QUEUE, STEADY_ALL] {
            let with = outcomes(paces, Reports::FrozenAt(load));
            let on_time = mean(&with, Outcome::on_time_share);
            assert!(on_time >= without - SHARE_MARGIN, "{load:?}: {without} before, {on_time}");
            let share = mean(&with, |outcome| outcome.share_of("u000", 20));
            println!("{paces:?} {load:?}: on time {on_time:.4}, share {share:.3}");
            assert!((0.1..=2.0).contains(&share), "{paces:?}, {load:?}: share {share}");
        }
    }
}

#[test]
fn random_frozen_and_missing_figures_cost_callers_nothing() {
    for paces in [QUICK, MEDIUM, SLOW, SHARED] {
        let without = outcomes(paces, Reports::None);
        let before = mean(&without, Outcome::on_time_share);
        let median = mean(&without, |outcome| outcome.first_quantile(0.5));
        for reports in [Reports::Random, Reports::FrozenFrom(4_000), Reports::MissingFrom(4_000)] {
            let with = outcomes(paces, reports);
            let on_time = mean(&with, Outcome::on_time_share);
            assert!(on_time >= before - SHARE_MARGIN, "{reports:?}: {before} before, {on_time}");
            let first = mean(&with, |outcome| outcome.first_quantile(0.5));
            assert!(first <= median * 1.03, "{reports:?}: median {median} before, {first}");
        }
    }
}

/// Guards against reports that pile requests up at a few upstreams while a wave fills all.
#[test]
fn queues_are_even_in_the_steady_part_of_a_wave() {
    for (paces, wave_rate) in [(QUICK, 650.0), (MEDIUM, 500.0), (SLOW, 450.0), (SHARED, 450.0)] {
        for seed in 1..=SEEDS {
            let outcome = play(Play { wave_rate, ..scenario(paces, Reports::True, seed) });
            let unevenness = quantile_of(&outcome.unevenness, 1.0);
            assert!(unevenness <= 2.0, "{paces:?}, seed {seed}: {unevenness} times the median");
        }
    }
}

/// Digest of the decisions of the build before reports were used, for each seed.
const DIGESTS_BEFORE: [u64; 2] = [0x0289_4e9d_d0a5_7c76, 0xa1f5_2cb5_91c2_e74f];

/// Guards against other decisions in deployments whose upstreams report three figures or none.
#[test]
fn without_four_figures_decisions_are_those_of_the_build_before() {
    for (seed, digest) in (1..).zip(DIGESTS_BEFORE) {
        for reports in [Reports::None, Reports::Three] {
            let outcome = play(Play { wave_rate: 550.0, ..scenario(SHARED, reports, seed) });
            assert_eq!(outcome.digest(), digest, "seed {seed}, {reports:?}");
        }
    }
}
