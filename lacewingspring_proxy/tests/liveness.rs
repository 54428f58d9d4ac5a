//! When an instance gives up its link to the gate.

use std::time::Duration;

use lacewingspring_proxy::gate::liveness::Liveness;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A link opened at 10 s with messages at these times, in milliseconds.
fn link(messages: &[u64]) -> Liveness {
    let mut liveness = Liveness::new(ms(10_000));
    for at in messages {
        liveness.record_message(ms(*at));
    }
    liveness
}

#[test]
fn a_busy_gate_that_acknowledges_late_is_kept() {
    let liveness = link(&[10_100, 10_900, 11_150]);
    assert!(!liveness.has_failed(ms(11_200), Some(ms(10_200))), "its last message is 50 ms old");
}

#[test]
fn a_new_gate_has_a_second_to_read_what_all_instances_report() {
    let liveness = link(&[]);
    assert!(!liveness.has_failed(ms(10_900), Some(ms(10_000))));
    assert!(liveness.has_failed(ms(11_000), Some(ms(10_000))));
}

#[test]
fn a_gate_that_falls_silent_is_left_soon_if_a_request_waits() {
    let liveness = link(&[12_000]);
    assert!(!liveness.has_failed(ms(12_300), Some(ms(12_000))));
    assert!(liveness.has_failed(ms(12_301), Some(ms(12_000))));
    assert!(!liveness.has_failed(ms(12_400), Some(ms(12_200))), "the request is 200 ms old");
}

#[test]
fn a_gate_that_falls_silent_is_left_after_a_second_if_nothing_waits() {
    let liveness = link(&[12_000]);
    assert!(!liveness.has_failed(ms(12_999), None));
    assert!(liveness.has_failed(ms(13_000), None));
}
