//! What callers get while two gates grant slots of the same upstreams: that of most instances, and
//! that of a minority which lost the key-value service and does not know the other gate.

use lacewingspring_core::dispatch::UpstreamLoad;
use reported_load_support::{Outcome, Play, Reports, play};

mod dispatch_support;
mod reported_load_support;

const SEEDS: u64 = 6;

/// Requests a second in a wave: more than the upstreams can serve.
const WAVE_RATE: f64 = 600.0;

/// Time for which a pace holds, in milliseconds.
const HOLD_MS: u64 = 1_000;

/// Largest pace.
const MAX_PACE: f64 = 10.0;

/// Part of the instances that are apart from the others.
const APART: f64 = 0.35;

/// Most that the share on time may be lower than with one gate of all instances: about a third of
/// what it is lower by if both gates use all of their slots.
const SHARE_MARGIN: f64 = 0.02;

/// Least part of the share on time of all callers that those of the minority get.
const MIN_MINORITY_RATIO: f64 = 0.9;

/// Part of the instances that are apart when one of many has ended.
const ONE_OF_MANY: f64 = 0.01;

/// A report of requests that are not there.
const FALSE_QUEUE: UpstreamLoad =
    UpstreamLoad { running: 8, waiting: 50, slots: 8, pace: Some(1.0) };

fn scenario(seed: u64, reports: Reports) -> Play {
    Play { wave_rate: WAVE_RATE, ..Play::new(seed, HOLD_MS, MAX_PACE, reports) }
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

/// Checks that callers get what they get with one gate that all instances are linked to.
fn check(name: &str, reports: Reports, change: impl Fn(Play) -> Play) -> Vec<Outcome> {
    let one: Vec<Outcome> = (1..=SEEDS).map(|seed| play(scenario(seed, reports))).collect();
    let changed: Vec<Outcome> =
        (1..=SEEDS).map(|seed| play(change(scenario(seed, reports)))).collect();
    let one_gate = mean(&one, Outcome::on_time_share);
    let share = mean(&changed, Outcome::on_time_share);
    println!("{name}: {one_gate:.4} on time with one gate, {share:.4}");
    assert!(share >= one_gate - SHARE_MARGIN, "{name}: {one_gate} with one gate, {share}");
    changed
}

/// Guards against two gates that together fill the queues of the upstreams, so that requests are
/// late for which there would have been time.
#[test]
fn callers_of_two_gates_get_what_those_of_one_get() {
    let outcomes = check("two gates", Reports::True, |play| Play {
        apart: APART,
        has_second_gate: true,
        ..play
    });
    let all = mean(&outcomes, Outcome::on_time_share);
    let minority = mean(&outcomes, Outcome::second_on_time_share);
    println!("{minority:.4} of the minority on time");
    assert!(
        minority >= all * MIN_MINORITY_RATIO,
        "{all} of all on time, {minority} of the minority"
    );
}

/// Guards against slots that stay idle for instances that have ended.
#[test]
fn instances_that_have_ended_take_no_slots() {
    check("no second gate", Reports::True, |play| Play { apart: APART, ..play });
}

/// Guards against a slot of each upstream that stays idle as one instance of many has ended, where
/// others use the upstreams too.
#[test]
fn one_instance_that_has_ended_takes_no_slot_beside_others() {
    check("one has ended", Reports::True, |play| Play { apart: ONE_OF_MANY, ..play });
    let with_others = |play| Play { others: 1.5, ..play };
    let one = play(with_others(scenario(1, Reports::True)));
    let ended = play(Play { apart: ONE_OF_MANY, ..with_others(scenario(1, Reports::True)) });
    assert_eq!(ended.digest(), one.digest(), "decisions differ");
}

/// Guards against a false report that takes slots of an upstream for others.
#[test]
fn false_reports_take_few_slots() {
    let reports = Reports::FrozenAt(FALSE_QUEUE);
    check("false reports", reports, |play| Play { apart: APART, ..play });
}
