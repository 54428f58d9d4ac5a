//! Which software versions the dispatcher uses while a roll-out is in progress.

use std::time::Duration;

use dispatch_support::{dispatcher, finished, granted, ms, refused, request, ticket, upstream};
use lacewingspring_core::{
    dispatch::{
        BarredVersions, Dispatcher, End, Reason, SlotRequest, StreamRef, UpstreamInfo, VersionUse,
    },
    names::{ServiceName, SoftwareVersion},
    roll_out::{Block, Bounds, Counts, Order, OrderId, RollOut, Stage},
};

mod dispatch_support;

const DEADLINE: Duration = Duration::from_secs(12);

fn models() -> ServiceName {
    ServiceName::from("models")
}

fn target(name: &str, slots: u32) -> UpstreamInfo {
    UpstreamInfo { software: SoftwareVersion::from("v2"), ..upstream(name, slots) }
}

fn roll_out(stage: Stage) -> RollOut {
    let order = Order {
        service: models(),
        target: SoftwareVersion::from("v2"),
        received_at: Duration::ZERO,
        deadline: DEADLINE,
        id: OrderId { era: 0, revision: 1 },
    };
    let bounds = Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: Duration::from_secs(5) };
    RollOut::new(order, bounds, Counts::default(), stage)
}

/// Returns the gate of a service with one old upstream and two of the target, which is observed.
fn observing() -> Dispatcher {
    let mut dispatcher = dispatcher(&[upstream("old", 4), target("new-1", 4), target("new-2", 4)]);
    dispatcher.hold_roll_out(&models(), roll_out(Stage::Observing), VersionUse::Observing);
    dispatcher
}

fn open_block(dispatcher: &mut Dispatcher, size: u64, expires_at: Duration) {
    dispatcher.open_block(Duration::ZERO, &models(), Block { size, expires_at });
}

/// Requests slots at a time; returns the upstreams.
fn grant(dispatcher: &mut Dispatcher, now: Duration, numbers: std::ops::Range<u64>) -> Vec<String> {
    let mut upstreams = Vec::new();
    for number in numbers {
        let decisions = dispatcher.request_slot(now, ticket(number), request("chat"));
        upstreams.extend(granted(&decisions).into_iter().map(|(_, name)| name.to_owned()));
    }
    upstreams
}

fn count(upstreams: &[String], start: &str) -> usize {
    upstreams.iter().filter(|name| name.starts_with(start)).count()
}

/// Guards against requests to the target that the store does not reserve.
#[test]
fn the_target_gets_nothing_without_a_block() {
    let mut dispatcher = observing();
    assert_eq!(grant(&mut dispatcher, ms(10), 0..4), ["old"; 4]);
    // The old upstream is full: further requests wait, although the target is idle.
    assert_eq!(grant(&mut dispatcher, ms(10), 4..6), Vec::<String>::new());
}

/// Guards against more requests than the block has, and against a block that has expired.
#[test]
fn the_target_gets_no_more_than_its_block_before_it_expires() {
    let mut dispatcher = observing();
    open_block(&mut dispatcher, 2, ms(1_000));
    let mut got = Vec::new();
    for number in 0..12 {
        got.extend(grant(&mut dispatcher, ms(10), number..number + 1));
        dispatcher.end(ms(20), ticket(number), finished(10, 5));
    }
    assert_eq!(count(&got, "new"), 2);
    assert_eq!(got.len(), 12);
    open_block(&mut dispatcher, 2, ms(1_000));
    assert_eq!(count(&grant(&mut dispatcher, ms(1_000), 20..24), "new"), 0);
}

/// Guards against requests that are spread so thinly that no upstream of the target is loaded.
#[test]
fn the_requests_to_the_target_are_concentrated_on_few_upstreams() {
    let mut dispatcher = observing();
    open_block(&mut dispatcher, 8, ms(1_000));
    let got = grant(&mut dispatcher, ms(10), 0..8);
    assert!(count(&got, "new") >= 2, "{got:?}");
    let used = ["new-1", "new-2"].map(|name| count(&got, name));
    assert!(used.contains(&0), "{used:?}");
}

fn resumed(version: &str) -> SlotRequest {
    let stream = StreamRef { id: 9, is_resumed: true, attempt: 1, lifetime: ms(10_000) };
    let software = Some(SoftwareVersion::from(version));
    SlotRequest { stream: Some(stream), software, ..request("chat") }
}

/// Guards against resumed streams that are not counted against the block.
#[test]
fn a_resumed_stream_of_the_target_needs_a_block() {
    let mut dispatcher = observing();
    let decisions = dispatcher.request_slot(ms(10), ticket(1), resumed("v2"));
    assert!(decisions.is_empty(), "it waits");
    dispatcher.open_block(ms(20), &models(), Block { size: 1, expires_at: ms(1_000) });
    let counts = dispatcher.roll_out(&models()).expect("is held").counts();
    assert_eq!((counts.requests, counts.target_requests), (0, 1));
    assert_eq!(count(&grant(&mut dispatcher, ms(30), 2..5), "new"), 0);
}

/// Guards against requests at the old upstreams that delay the completion, and against a stream
/// that goes on at another version.
#[test]
fn while_shifting_new_requests_go_to_the_target_only() {
    let mut dispatcher = observing();
    dispatcher.set_version_use(ms(10), &models(), VersionUse::Shifting);
    dispatcher.extend_roll_outs(ms(500));
    assert_eq!(count(&grant(&mut dispatcher, ms(20), 0..8), "new"), 8);
    let decisions = dispatcher.request_slot(ms(20), ticket(20), resumed("v1"));
    assert_eq!(granted(&decisions), [(20, "old")]);
}

/// Guards against a gate that was frozen and goes on with the target.
#[test]
fn a_shift_that_is_no_longer_held_uses_the_old_upstreams() {
    let mut dispatcher = observing();
    dispatcher.set_version_use(ms(10), &models(), VersionUse::Shifting);
    dispatcher.extend_roll_outs(ms(500));
    assert_eq!(grant(&mut dispatcher, ms(500), 0..2), ["old"; 2]);
}

/// Guards against callers that are refused because the target has no upstream left.
#[test]
fn while_shifting_the_old_upstreams_serve_if_the_target_has_none() {
    let mut dispatcher = observing();
    dispatcher.set_version_use(ms(10), &models(), VersionUse::Shifting);
    dispatcher.extend_roll_outs(ms(500));
    dispatcher.set_upstreams(ms(20), [upstream("old", 4)]);
    assert_eq!(grant(&mut dispatcher, ms(30), 0..2), ["old"; 2]);
}

/// Guards against requests that wait for a target which has lost upstreams, while old ones are
/// free.
#[test]
fn while_shifting_the_old_upstreams_serve_what_the_target_has_no_slots_for() {
    let mut dispatcher = dispatcher(&[upstream("old", 4), target("new-1", 2)]);
    dispatcher.hold_roll_out(&models(), roll_out(Stage::Shifting), VersionUse::Shifting);
    dispatcher.extend_roll_outs(ms(500));
    let upstreams = grant(&mut dispatcher, ms(20), 0..5);
    assert_eq!((count(&upstreams, "new"), count(&upstreams, "old")), (2, 3));
}

/// Guards against old upstreams that never drain as more requests arrive than there are slots.
#[test]
fn while_shifting_an_overloaded_service_waits_for_a_target_of_the_same_size() {
    let mut dispatcher = dispatcher(&[upstream("old", 4), target("new-1", 4)]);
    dispatcher.hold_roll_out(&models(), roll_out(Stage::Shifting), VersionUse::Shifting);
    dispatcher.extend_roll_outs(ms(500));
    assert_eq!(count(&grant(&mut dispatcher, ms(20), 0..8), "old"), 0);
}

/// Guards against requests that wait for a version which was rolled back.
#[test]
fn a_barred_version_gets_nothing() {
    let mut dispatcher = observing();
    open_block(&mut dispatcher, 8, ms(1_000));
    let v2 = SoftwareVersion::from("v2");
    let barred = BarredVersions::from([(models(), [v2].into_iter().collect())]);
    dispatcher.set_barred_versions(ms(10), barred.clone());
    assert_eq!(grant(&mut dispatcher, ms(20), 0..4), ["old"; 4]);
    dispatcher.release_roll_out(&models());
    let decisions = dispatcher.request_slot(ms(20), ticket(9), resumed("v2"));
    let refusals: Vec<(u64, Reason)> =
        refused(&decisions).into_iter().map(|(number, reason, _)| (number, reason)).collect();
    assert_eq!(refusals, [(9, Reason::NoUpstream)]);
    dispatcher.set_barred_versions(ms(30), BarredVersions::new());
    assert_eq!(granted(&dispatcher.request_slot(ms(30), ticket(10), resumed("v2"))).len(), 1);
}

/// Guards against a gate that releases its roll-outs and goes on with a block.
#[test]
fn a_roll_out_that_is_released_leaves_no_block() {
    let mut dispatcher = observing();
    open_block(&mut dispatcher, 8, ms(1_000));
    dispatcher.release_roll_outs();
    dispatcher.hold_roll_out(&models(), roll_out(Stage::Observing), VersionUse::Observing);
    assert_eq!(grant(&mut dispatcher, ms(10), 0..4), ["old"; 4]);
}

/// Guards against a completion while requests run at the old upstreams.
#[test]
fn runs_at_old_upstreams_are_counted() {
    let mut dispatcher = observing();
    grant(&mut dispatcher, ms(10), 0..3);
    let state = dispatcher.roll_out_state(ms(20), &models(), Duration::ZERO);
    let state = state.expect("a roll-out is held");
    assert_eq!((state.old_running, state.target_running), (3, 0));
    assert_eq!((state.old_usable_slots, state.target_usable_slots), (4, 8));
    dispatcher.set_upstreams(ms(30), [target("new-1", 4)]);
    let state = dispatcher.roll_out_state(ms(30), &models(), Duration::ZERO);
    assert_eq!(state.expect("a roll-out is held").old_running, 3);
}

/// Returns the bad responses of a target one of whose requests, sent at 10 ms with 15 s left, has
/// this end.
fn bad_after(now: Duration, error_status: Option<u16>, has_output: bool, end: End) -> u64 {
    let mut dispatcher = observing();
    open_block(&mut dispatcher, 1, ms(1_000));
    let upstreams = grant(&mut dispatcher, ms(10), 0..2);
    let number = upstreams.iter().position(|name| name.starts_with("new"));
    let ticket = ticket(number.expect("the target runs a request") as u64);
    if has_output {
        dispatcher.first_output(ms(50), ticket, ms(40));
    }
    if let Some(status) = error_status {
        dispatcher.record_error_status(ticket, status);
    }
    dispatcher.end(now, ticket, end);
    dispatcher.roll_out(&models()).expect("is held").counts().bad
}

/// Guards against errors that count as complete responses because they are passed on as such.
#[test]
fn an_error_that_is_passed_on_is_a_bad_response() {
    assert_eq!(bad_after(ms(400), Some(504), false, finished(390, 0)), 1);
    assert_eq!(bad_after(ms(14_990), Some(504), false, finished(14_980, 0)), 1, "at the deadline");
    assert_eq!(bad_after(ms(400), Some(500), false, finished(390, 0)), 1);
    assert_eq!(bad_after(ms(400), None, false, finished(390, 0)), 0);
}

/// Guards against a version whose streams begin in time and are cut off at their deadline.
#[test]
fn a_stream_that_reaches_its_deadline_is_a_bad_response() {
    assert_eq!(bad_after(ms(15_010), None, true, End::Cancelled), 1);
    assert_eq!(bad_after(ms(14_000), None, true, End::Cancelled), 0, "its caller left");
}
