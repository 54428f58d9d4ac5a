//! Responses that are slow together because a machine stood still.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    names::UpstreamName,
    roll_out::{
        Counts, FleetState, GrantedRequest, ResponseTimes, RollOut, Sample, SampleOutcome, Stage,
    },
};
use roll_out_support::{BOUNDS, ms, order};

mod roll_out_support;

/// Responses that a gate received in a test of a sound version, with 15 instances on one core,
/// until it rolled the version back. On each line: time of the end and of the send in microseconds,
/// version, route, slots in use in percent, and duration in microseconds.
const RESPONSES: &str = include_str!("data/stalls.txt");

fn parse(line: &str) -> (Duration, Sample) {
    let fields: Vec<&str> = line.split(' ').collect();
    let number = |index: usize| fields[index].parse::<u64>().expect("a number");
    let took = Duration::from_micros(number(5));
    let sample = Sample {
        is_target: fields[2] == "target",
        upstream: UpstreamName::from(fields[2]),
        route: Arc::from(fields[3]),
        sent_at: Duration::from_micros(number(1)),
        outcome: SampleOutcome::Complete(ResponseTimes::Plain { took }),
        load: number(4) as f64 / 100.0,
        is_cold: false,
    };
    (Duration::from_micros(number(0)), sample)
}

/// Guards against responses that one stall of a machine delays together counting as evidence each.
/// Twice, the gate had stood still and granted 13 requests of the target within 3 ms, and an
/// instance that stood still then delayed five of them and one or four of the other version.
#[test]
fn a_sound_version_is_not_rolled_back_by_stalls_of_a_machine() {
    let order = order(Duration::ZERO, ms(12_000));
    let mut roll_out = RollOut::new(order, BOUNDS, Counts::default(), Stage::Observing);
    let state = FleetState { target_usable_slots: 12, ..FleetState::default() };
    for (ended_at, sample) in RESPONSES.lines().map(parse) {
        let (is_target, route) = (sample.is_target, sample.route.clone());
        let granted = GrantedRequest { is_target, route, is_repeat: false };
        roll_out.record_grant(sample.sent_at, &granted);
        roll_out.record_sample(ended_at, sample);
    }
    assert_eq!(roll_out.decide(ms(2_500), &state), Stage::Observing);
    assert_eq!(roll_out.counts().bad, 10, "each slow response counts as a bad one in the record");
}
