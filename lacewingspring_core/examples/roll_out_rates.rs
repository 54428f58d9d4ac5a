//! Prints how often roll-outs of sound and of bad versions are rolled back, over seeds.

use std::time::Duration;

use lacewingspring_core::roll_out::{RollBackCause, Stage};
use roll_out_support::{Fault, Outcome, Scenario, run};

#[path = "../tests/roll_out_support/mod.rs"]
mod roll_out_support;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let size = arguments.next();
    let sizes =
        [("25/s", Scenario::small()), ("100/s", Scenario::default()), ("300/s", Scenario::large())];
    for (name, scenario) in sizes {
        if size.as_deref().is_none_or(|size| size == name) {
            sound(name, &scenario, seeds);
            bad(name, &scenario, seeds);
        }
    }
}

fn sound(name: &str, base: &Scenario, seeds: u64) {
    let crash = Some(Duration::from_secs(20));
    let (from, to) = (Duration::from_secs(4), Duration::from_secs(6));
    let overloaded = 3.0 * base.requests_per_second;
    let scenarios = [
        ("calm", base.clone()),
        ("no failures at all", Scenario { base_failing: 0.0, ..base.clone() }),
        ("1% of all fail", Scenario { base_failing: 0.01, ..base.clone() }),
        ("5% of all fail", Scenario { base_failing: 0.05, ..base.clone() }),
        ("20% of all fail", Scenario { base_failing: 0.2, ..base.clone() }),
        ("5% lost", Scenario { lost: 0.05, ..base.clone() }),
        ("20% lost for 2 s", Scenario { lost: 0.2, lost_within: (from, to), ..base.clone() }),
        ("one old slow", Scenario { slow_old: 1, ..base.clone() }),
        ("one old failing", Scenario { failing_old: 1, ..base.clone() }),
        ("crashes", Scenario { crash_interval: crash, ..base.clone() }),
        ("overloaded", Scenario { requests_per_second: overloaded, ..base.clone() }),
        ("cold 3 s", Scenario { cold: Duration::from_secs(3), ..base.clone() }),
        ("cached prompts", Scenario { cached_part: 0.9, ..base.clone() }),
        ("many time out", Scenario { timeout: Duration::from_millis(1_200), ..base.clone() }),
        ("noisy times", Scenario { noise: 0.7, ..base.clone() }),
        ("ten routes", Scenario { routes: vec![1.0; 10], ..base.clone() }),
        ("rare route", Scenario { routes: vec![1.0, 1.0, 0.03], ..base.clone() }),
        ("hand-over", Scenario { hand_overs: vec![Duration::from_secs(5)], ..base.clone() }),
    ];
    for (label, scenario) in scenarios {
        print(name, label, &outcomes(&scenario, seeds));
    }
}

fn bad(name: &str, base: &Scenario, seeds: u64) {
    let faults = [
        ("fails 10%", Fault::failing(0.1)),
        ("fails 30%", Fault::failing(0.3)),
        ("fails 100%", Fault::failing(1.0)),
        ("3 times slower", Fault::slow(1.0, 3.0)),
        ("30% 3 times slower", Fault::slow(0.3, 3.0)),
        ("fails 30%, one route", Fault::failing(0.3).on_route(2)),
        ("fails 100%, one route", Fault::failing(1.0).on_route(2)),
        ("3 times slower, one route", Fault::slow(1.0, 3.0).on_route(2)),
        ("fails 30% from 200th", Fault::failing(0.3).from(200)),
        ("fails 100% from 200th", Fault::failing(1.0).from(200)),
        ("3 times slower from 200th", Fault::slow(1.0, 3.0).from(200)),
        ("fails 30% above half", Fault::failing(0.3).above_load(0.5)),
        ("3 times slower above half", Fault::slow(1.0, 3.0).above_load(0.5)),
    ];
    for (label, fault) in faults {
        print(name, label, &outcomes(&Scenario { fault, ..base.clone() }, seeds));
    }
    let (fault, timeout) = (Fault::slow(1.0, 20.0), Duration::from_secs(3));
    let scenario = Scenario { fault, timeout, ..base.clone() };
    print(name, "reaches the deadline", &outcomes(&scenario, seeds));
}

fn outcomes(scenario: &Scenario, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| run(scenario, seed)).collect()
}

fn quantile(values: &mut [u64], portion: f64) -> u64 {
    values.sort_unstable();
    let index = (portion * values.len() as f64) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(0)
}

fn print(size: &str, label: &str, outcomes: &[Outcome]) {
    let count = |condition: fn(&Outcome) -> bool| outcomes.iter().filter(|o| condition(o)).count();
    let cause = |outcome: &Outcome| match &outcome.stage {
        Stage::RolledBack(cause) => Some(cause.clone()),
        _ => None,
    };
    let causes: Vec<RollBackCause> = outcomes.iter().filter_map(cause).collect();
    let of = |condition: fn(&RollBackCause) -> bool| causes.iter().filter(|c| condition(c)).count();
    let certain =
        |outcome: &&Outcome| matches!(outcome.stage, Stage::RolledBack(RollBackCause::Bad(_)));
    if let Some(cause) = causes.iter().find(|c| matches!(c, RollBackCause::TooLittleEvidence(_))) {
        println!("{size:6} {label:26} {cause:?}");
    }
    let mut responses: Vec<u64> =
        outcomes.iter().filter(certain).map(|outcome| outcome.target_responses).collect();
    let mut bad: Vec<u64> =
        outcomes.iter().filter(certain).map(|outcome| outcome.target_bad).collect();
    let excess = outcomes.iter().map(|outcome| outcome.excess).fold(f64::MIN, f64::max);
    println!(
        "{size:6} {label:26} completed {:5} bad {:5} suspicious {:4} little {:4} slots {:3} | \
         responses p50 {:4} p99 {:4}, bad p99 {:3}, excess {excess:.1}",
        count(Outcome::is_completed),
        of(|cause| matches!(cause, RollBackCause::Bad(_))),
        of(|cause| matches!(cause, RollBackCause::Suspicious(_))),
        of(|cause| matches!(cause, RollBackCause::TooLittleEvidence(_))),
        of(|cause| matches!(cause, RollBackCause::TooFewSlots { .. })),
        quantile(&mut responses, 0.5),
        quantile(&mut responses, 0.99),
        quantile(&mut bad, 0.99),
    );
}
