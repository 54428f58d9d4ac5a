//! Stages of a roll-out, by responses that are given one by one.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    names::UpstreamName,
    roll_out::{
        Block, Counts, Defect, FleetState, GrantedRequest, PartialTimes, ResponseTimes,
        RollBackCause, RollOut, Sample, SampleOutcome, Scope, Stage,
    },
};
use roll_out_support::{BOUNDS, ms, order};

mod roll_out_support;

const DEADLINE: Duration = Duration::from_secs(12);

const STATE: FleetState = FleetState {
    old_running: 2,
    target_running: 0,
    old_usable_slots: 16,
    target_usable_slots: 16,
    drain_time: Duration::from_secs(2),
    copy_age: Duration::from_millis(100),
};

fn observing() -> RollOut {
    RollOut::new(order(Duration::ZERO, DEADLINE), BOUNDS, Counts::default(), Stage::Observing)
}

fn plain(took: u64) -> SampleOutcome {
    SampleOutcome::Complete(ResponseTimes::Plain { took: ms(took) })
}

fn sample(now: Duration, is_target: bool, outcome: SampleOutcome) -> Sample {
    Sample {
        is_target,
        upstream: UpstreamName::from(if is_target { "new" } else { "old" }),
        route: Arc::from("a"),
        sent_at: now.saturating_sub(ms(50)),
        outcome,
        load: 0.3,
        is_cold: false,
    }
}

fn grant(roll_out: &mut RollOut, now: Duration, is_target: bool) {
    let granted = GrantedRequest { is_target, route: Arc::from("a"), is_repeat: false };
    roll_out.record_grant(now, &granted);
}

/// Records a request and its response.
fn exchange(roll_out: &mut RollOut, now: Duration, is_target: bool, outcome: SampleOutcome) {
    grant(roll_out, now, is_target);
    roll_out.record_sample(now, sample(now, is_target, outcome));
}

/// Records four sound responses of the old version for each one of the target, for 9 s.
fn observe_sound(roll_out: &mut RollOut) {
    for number in 0..200 {
        exchange(roll_out, ms(45 * number), number % 5 == 0, plain(50));
    }
}

#[test]
fn shifts_and_completes_a_sound_version_as_late_as_the_deadline_allows() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    assert_eq!(roll_out.decide(ms(8_999), &STATE), Stage::Observing);
    assert!(!roll_out.takes(ms(8_999), "a"));
    assert_eq!(roll_out.decide(ms(9_000), &STATE), Stage::Shifting);
    assert!(roll_out.takes(ms(9_000), "a"));
    let drained = FleetState { old_running: 0, ..STATE };
    assert_eq!(roll_out.decide(ms(10_999), &drained), Stage::Shifting);
    assert_eq!(roll_out.decide(ms(11_000), &drained), Stage::Completed);
}

#[test]
fn completes_after_the_deadline_if_old_upstreams_drain_late() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    roll_out.decide(ms(9_000), &STATE);
    assert_eq!(roll_out.decide(ms(14_000), &STATE), Stage::Shifting);
    let drained = FleetState { old_running: 0, ..STATE };
    assert_eq!(roll_out.decide(ms(14_001), &drained), Stage::Completed);
}

/// Guards against a target that proves bad while its completion is decided but can't be recorded
/// yet, as when an instance is not linked, and is completed all the same.
#[test]
fn rolls_back_a_target_that_proves_bad_before_its_completion_is_recorded() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    roll_out.decide(ms(9_000), &STATE);
    let drained = FleetState { old_running: 0, ..STATE };
    assert_eq!(roll_out.decide(ms(11_000), &drained), Stage::Completed);
    let no_slots = FleetState { target_usable_slots: 0, ..drained };
    assert_eq!(roll_out.decide(ms(11_100), &no_slots), Stage::Shifting, "nothing would serve");
    for number in 0..20 {
        exchange(&mut roll_out, ms(11_200 + 10 * number), true, SampleOutcome::Failed);
    }
    let stage = roll_out.decide(ms(11_500), &drained);
    assert!(matches!(stage, Stage::RolledBack(RollBackCause::Bad(_))), "{stage:?}");
}

#[test]
fn does_not_shift_by_an_old_copy_of_the_entries() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    let stale = FleetState { copy_age: ms(1_600), ..STATE };
    assert_eq!(roll_out.decide(ms(9_500), &stale), Stage::Observing);
    assert_eq!(roll_out.decide(ms(9_600), &STATE), Stage::Shifting);
}

#[test]
fn rolls_back_at_the_deadline_without_evidence() {
    let mut roll_out = observing();
    for number in 0..200 {
        exchange(&mut roll_out, ms(45 * number), false, plain(50));
    }
    assert_eq!(roll_out.decide(ms(11_999), &STATE), Stage::Observing);
    let Stage::RolledBack(RollBackCause::TooLittleEvidence(missing)) =
        roll_out.decide(DEADLINE, &STATE)
    else {
        panic!("the roll-out has stage {:?}", roll_out.stage());
    };
    assert_eq!((missing.responses, missing.scope), (0, Scope::Total));
    assert!(!roll_out.may_send(DEADLINE));
}

#[test]
fn rolls_back_at_the_deadline_if_a_route_has_too_little_evidence() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    let granted = GrantedRequest { is_target: false, route: Arc::from("b"), is_repeat: false };
    for _ in 0..50 {
        roll_out.record_grant(ms(8_000), &granted);
    }
    assert_eq!(roll_out.decide(ms(11_000), &STATE), Stage::Observing);
    let Stage::RolledBack(RollBackCause::TooLittleEvidence(missing)) =
        roll_out.decide(DEADLINE, &STATE)
    else {
        panic!("the roll-out has stage {:?}", roll_out.stage());
    };
    assert_eq!(missing.scope, Scope::Route(Arc::from("b")));
}

#[test]
fn rolls_back_at_the_deadline_if_the_target_has_too_few_slots() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    let few = FleetState { old_running: 10, target_usable_slots: 8, ..STATE };
    assert_eq!(roll_out.decide(ms(11_000), &few), Stage::Observing);
    let cause = RollBackCause::TooFewSlots { usable: 8, running: 10 };
    assert_eq!(roll_out.decide(DEADLINE, &few), Stage::RolledBack(cause));
}

#[test]
fn an_overloaded_service_shifts_to_as_many_slots_as_before() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    let busy = FleetState { old_running: 16, target_running: 3, ..STATE };
    for number in 0..20 {
        let now = ms(9_000 + 10 * number);
        let loaded = Sample { load: 0.9, ..sample(now, true, plain(50)) };
        grant(&mut roll_out, now, true);
        roll_out.record_sample(now, loaded);
    }
    assert_eq!(roll_out.decide(ms(9_300), &busy), Stage::Shifting);
}

/// Guards against a completion, on which the old upstreams are stopped, while the target can't
/// serve.
#[test]
fn completes_only_while_the_target_has_usable_slots() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    roll_out.decide(ms(9_000), &STATE);
    let drained = FleetState { old_running: 0, ..STATE };
    let unusable = FleetState { target_usable_slots: 0, ..drained };
    assert_eq!(roll_out.decide(ms(11_000), &unusable), Stage::Shifting);
    assert_eq!(roll_out.decide(ms(11_500), &drained), Stage::Completed);
}

#[test]
fn rolls_back_an_order_whose_deadline_has_passed() {
    let order = order(ms(20_000), ms(19_000));
    let mut roll_out = RollOut::new(order, BOUNDS, Counts::default(), Stage::Observing);
    let stage = roll_out.decide(ms(20_000), &STATE);
    assert_eq!(stage, Stage::RolledBack(RollBackCause::DeadlinePassed));
    assert_eq!(roll_out.block_size(ms(20_000)), 0);
}

#[test]
fn a_deleted_order_is_rolled_back_and_a_final_stage_stays() {
    let mut roll_out = observing();
    roll_out.roll_back(RollBackCause::OrderDeleted);
    roll_out.roll_back(RollBackCause::DeadlinePassed);
    observe_sound(&mut roll_out);
    let deleted = Stage::RolledBack(RollBackCause::OrderDeleted);
    assert_eq!(roll_out.decide(ms(9_000), &STATE), deleted);
}

#[test]
fn rolls_back_after_four_failures_in_a_row_with_evidence() {
    let mut roll_out = observing();
    for number in 0..60 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    for number in 0..3 {
        exchange(&mut roll_out, ms(600 + number), true, SampleOutcome::Failed);
        assert_eq!(roll_out.decide(ms(600 + number), &STATE), Stage::Observing);
    }
    exchange(&mut roll_out, ms(604), true, SampleOutcome::Failed);
    let Stage::RolledBack(RollBackCause::Bad(evidence)) = roll_out.decide(ms(604), &STATE) else {
        panic!("the roll-out has stage {:?}", roll_out.stage());
    };
    assert_eq!((evidence.defect, evidence.target_bad), (Defect::Failures, 4));
    assert_eq!(roll_out.counts().bad, 4);
}

#[test]
fn rolls_back_while_it_shifts() {
    let mut roll_out = observing();
    observe_sound(&mut roll_out);
    assert_eq!(roll_out.decide(ms(9_000), &STATE), Stage::Shifting);
    for number in 0..12 {
        exchange(&mut roll_out, ms(9_100 + number), true, SampleOutcome::Failed);
    }
    let stage = roll_out.decide(ms(9_200), &STATE);
    assert!(matches!(stage, Stage::RolledBack(RollBackCause::Bad(_))), "{stage:?}");
    assert!(!roll_out.takes(ms(9_200), "a") && !roll_out.may_send(ms(9_200)));
}

#[test]
fn a_crash_counts_once() {
    let mut roll_out = observing();
    for number in 0..60 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    for number in 0..16 {
        exchange(&mut roll_out, ms(600 + number), true, SampleOutcome::Broken);
    }
    assert_eq!(roll_out.decide(ms(700), &STATE), Stage::Observing);
    let counts = roll_out.counts();
    assert_eq!((counts.target.failed, counts.bad), (1, 16));
}

#[test]
fn a_cold_upstream_is_not_slow_but_may_fail() {
    let mut roll_out = observing();
    for number in 0..60 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    for number in 0..30 {
        let now = ms(600 + number);
        grant(&mut roll_out, now, true);
        let cold = Sample { is_cold: true, ..sample(now, true, plain(500)) };
        roll_out.record_sample(now, cold);
    }
    assert_eq!(roll_out.decide(ms(700), &STATE), Stage::Observing);
    assert_eq!(roll_out.counts().bad, 0);
    for number in 0..30 {
        let now = ms(700 + number);
        grant(&mut roll_out, now, true);
        let cold = Sample { is_cold: true, ..sample(now, true, SampleOutcome::Failed) };
        roll_out.record_sample(now, cold);
    }
    let stage = roll_out.decide(ms(800), &STATE);
    assert!(matches!(stage, Stage::RolledBack(RollBackCause::Bad(_))), "{stage:?}");
}

#[test]
fn a_target_that_was_cold_all_the_time_is_not_called_sound() {
    let mut roll_out = observing();
    for number in 0..200 {
        let (now, is_target) = (ms(45 * number), number % 5 == 0);
        grant(&mut roll_out, now, is_target);
        let cold = Sample { is_cold: is_target, ..sample(now, is_target, plain(50)) };
        roll_out.record_sample(now, cold);
    }
    assert_eq!(roll_out.decide(ms(9_000), &STATE), Stage::Observing);
}

/// Returns a call that was not complete by its deadline, after so long.
fn timed_out(waited: u64) -> SampleOutcome {
    SampleOutcome::TimedOut(PartialTimes::Plain { waited: ms(waited) })
}

/// Guards against a version that is called sound because its responses never get complete. Their
/// deadline is closer than a time that would be slow.
#[test]
fn responses_that_reach_the_deadline_are_bad_unless_the_upstream_is_cold() {
    let mut roll_out = observing();
    for number in 0..60 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    for number in 0..30 {
        let now = ms(600 + number);
        grant(&mut roll_out, now, true);
        let cold = Sample { is_cold: true, ..sample(now, true, timed_out(80)) };
        roll_out.record_sample(now, cold);
    }
    assert_eq!(roll_out.decide(ms(700), &STATE), Stage::Observing);
    assert_eq!(roll_out.counts().bad, 0);
    for number in 0..10 {
        exchange(&mut roll_out, ms(700 + number), true, timed_out(80));
    }
    assert_eq!(roll_out.counts().bad, 10);
    let stage = roll_out.decide(ms(800), &STATE);
    assert!(matches!(stage, Stage::RolledBack(RollBackCause::Bad(_))), "{stage:?}");
}

/// Guards against a sound version that is rolled back as requests of both versions time out.
#[test]
fn responses_of_both_versions_that_reach_the_deadline_do_not_roll_back() {
    let mut roll_out = observing();
    for number in 0..200 {
        let outcome = if number % 3 == 0 { timed_out(400) } else { plain(50) };
        exchange(&mut roll_out, ms(45 * number), number % 5 == 0, outcome);
    }
    assert_eq!(roll_out.decide(ms(9_000), &STATE), Stage::Shifting);
}

#[test]
fn callers_that_leave_early_say_nothing_and_those_that_wait_long_say_slow() {
    let mut roll_out = observing();
    for number in 0..60 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    let left = |waited| SampleOutcome::NoOutput { prompt_tokens: None, waited: ms(waited) };
    exchange(&mut roll_out, ms(600), true, left(100));
    assert_eq!(roll_out.counts().target, Default::default());
    exchange(&mut roll_out, ms(601), true, left(3_000));
    assert_eq!((roll_out.counts().target.slow, roll_out.counts().bad), (1, 1));
}

#[test]
fn times_are_judged_only_with_a_reference_of_like_load() {
    let mut roll_out = observing();
    for number in 0..100 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    let mut respond = |load, took| {
        let now = ms(1_000);
        let loaded = Sample { load, ..sample(now, true, plain(took)) };
        let before = roll_out.counts().bad;
        roll_out.record_sample(now, loaded);
        roll_out.counts().bad > before
    };
    assert!(respond(0.3, 140) && !respond(0.3, 100));
    // Only responses under lower load are known.
    assert!(respond(1.0, 200) && !respond(1.0, 140));
}

#[test]
fn a_block_expires_and_is_used_up() {
    let mut roll_out = observing();
    assert!(!roll_out.takes(ms(0), "a"), "nothing is reserved");
    assert_eq!(roll_out.block_size(ms(0)), 10);
    roll_out.open_block(Block { size: 2, expires_at: ms(1_000) });
    assert!(roll_out.takes(ms(999), "a") && !roll_out.takes(ms(1_000), "a"));
    grant(&mut roll_out, ms(10), true);
    grant(&mut roll_out, ms(20), true);
    assert!(!roll_out.may_send(ms(30)));
}

#[test]
fn the_scarcest_route_comes_first() {
    let mut roll_out = observing();
    let granted = |route: &str, is_target| GrantedRequest {
        is_target,
        route: Arc::from(route),
        is_repeat: false,
    };
    for _ in 0..10 {
        roll_out.record_grant(ms(0), &granted("common", false));
        roll_out.record_grant(ms(0), &granted("rare", false));
    }
    for _ in 0..4 {
        roll_out.record_grant(ms(0), &granted("common", true));
    }
    roll_out.open_block(Block { size: 2, expires_at: ms(1_000) });
    assert!(roll_out.takes(ms(0), "common"), "half of what is left is for it");
    roll_out.open_block(Block { size: 1, expires_at: ms(1_000) });
    assert!(roll_out.takes(ms(0), "rare") && !roll_out.takes(ms(0), "common"));
}

#[test]
fn half_of_the_requests_of_a_route_stay_for_comparison() {
    let mut roll_out = observing();
    roll_out.open_block(Block { size: 100, expires_at: ms(1_000) });
    let mut taken = 0;
    for _ in 0..40 {
        let takes = roll_out.takes(ms(0), "a");
        taken += u32::from(takes);
        grant(&mut roll_out, ms(0), takes);
    }
    assert_eq!(taken, 20);
}

/// Guards against a slow version that is kept because its requests are sent at the same time: their
/// responses end at different times.
#[test]
fn a_slow_version_is_rolled_back_if_its_requests_are_sent_together() {
    let mut roll_out = observing();
    for number in 0..100 {
        exchange(&mut roll_out, ms(10 * number), false, plain(50));
    }
    for number in 0..6 {
        let (sent_at, took) = (ms(1_000), 150 + 2 * number);
        let sample = sample(sent_at + ms(took), true, plain(took));
        grant(&mut roll_out, sent_at, true);
        roll_out.record_sample(sent_at + ms(took), Sample { sent_at, ..sample });
    }
    let stage = roll_out.decide(ms(1_200), &STATE);
    assert!(matches!(stage, Stage::RolledBack(RollBackCause::Bad(_))), "{stage:?}");
}

/// Guards against responses that came at different times, before there was a reference for their
/// times, being taken for ones that one stall delayed together because they are judged together.
#[test]
fn slow_responses_before_those_of_the_other_version_count_each() {
    let mut roll_out = observing();
    for number in 0..6 {
        let (sent_at, took) = (ms(0), 200 + 2 * number);
        let sample = sample(sent_at + ms(took), true, plain(took));
        grant(&mut roll_out, sent_at, true);
        roll_out.record_sample(sent_at + ms(took), Sample { sent_at, ..sample });
    }
    for number in 0..100 {
        exchange(&mut roll_out, ms(300 + 10 * number), false, plain(50));
    }
    assert_eq!(roll_out.counts().target.slow, 6);
}
