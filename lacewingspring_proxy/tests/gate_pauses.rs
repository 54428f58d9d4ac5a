//! What a gate decides right after it stood still, started, or was linked to after it was alone.

use std::time::Duration;

use lacewingspring_core::{
    dispatch::{End, Quota, StoredUsage},
    names::{InstanceName, WorkspaceName},
};
use lacewingspring_proxy::{
    clock,
    gate::message::{DeclaredQuota, EndDetails, ToGate, Trailing},
};
use support::{
    CHARGE, Decided, decided, fate, host, host_among, host_without_configuration, open_link,
    open_link_of, request, slot_request,
};
use tokio::sync::mpsc::unbounded_channel;

mod support;

/// Requests of the gate's own callers come before the ends of its links.
#[test]
fn a_gate_that_stood_still_decides_nothing_before_it_knows_what_was_handed_out() {
    let host = host();
    let now = clock::now();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let ask = |now, number| {
        host.handle(now, link, slot_request(number));
    };
    for step in 0..40 {
        host.beat(now + Duration::from_millis(step * 50));
    }
    let frozen = now + Duration::from_millis(2_000);
    ask(frozen, 1);
    assert_eq!(fate(&mut rx, 1), Some("granted"));
    let awake = frozen + Duration::from_millis(2_300);
    ask(awake, 2);
    assert_eq!(fate(&mut rx, 2), None, "another gate may have handed out the limit");
    assert!(!host.serves_majority(awake), "it stores nothing over what another gate stored");
    ask(awake, 3);
    let details = EndDetails::NONE;
    host.handle(awake, link, ToGate::End { number: 3, end: End::Cancelled, details });
    host.disconnect(awake, link);
    let steps = vec![(100, 100 * CHARGE)];
    let usage = vec![StoredUsage { workspace: WorkspaceName::from("w"), steps }];
    let (tx, mut rx) = unbounded_channel();
    let link = host.connect(tx);
    let (instance, usage_age) = (InstanceName::from("i"), Duration::from_millis(50));
    host.handle(awake, link, ToGate::Hello { instance, usage, usage_age });
    host.handle(awake, link, slot_request(4));
    host.beat(awake + Duration::from_millis(50));
    assert_eq!(fate(&mut rx, 4), None);
    host.beat(awake + Duration::from_millis(100));
    assert_eq!(fate(&mut rx, 4), Some("refused"), "the limit is used up");
    assert!(host.serves_majority(awake + Duration::from_millis(100)));
}

#[test]
fn a_gate_that_stood_still_goes_on_with_what_it_knows_if_no_instance_left() {
    let host = host();
    let now = clock::now();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    host.beat(now);
    let awake = now + Duration::from_millis(400);
    host.handle(awake, link, slot_request(1));
    assert_eq!(fate(&mut rx, 1), None);
    host.beat(awake + Duration::from_millis(100));
    assert_eq!(fate(&mut rx, 1), Some("granted"));
}

/// An instance that just started decides for its callers before it is linked to the gate.
#[test]
fn a_gate_that_just_started_refuses_for_no_limit_before_it_may_know_the_usage() {
    let host = host();
    let now = clock::now();
    let later = |ms| now + Duration::from_millis(ms);
    host.beat(now);
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    for number in 0..30 {
        host.handle(later(10), link, slot_request(number));
    }
    assert_eq!(decided(&mut rx), Decided { granted: 20, refused: 0 }, "2,000 units are free");
    host.beat(later(100));
    assert_eq!(decided(&mut rx).refused, 0);
    host.beat(later(310));
    let last = decided(&mut rx);
    assert!(last.refused > 0, "a limit that is used up is kept");
    assert_eq!(last.granted + last.refused, 10);
}

/// After a kill of all others, the instance that lives hands out its part only until they link.
#[test]
fn the_gate_of_a_minority_refuses_for_no_limit_while_others_link() {
    let host = host_among(&["i0", "i1", "i2", "i3", "i4"]);
    let now = clock::now();
    let later = |ms| now + Duration::from_millis(ms);
    let usage = vec![StoredUsage { workspace: WorkspaceName::from("w"), steps: Vec::new() }];
    for ago in (0..=20).rev() {
        host.beat(now - Duration::from_millis(50 * ago));
    }
    let (link, mut rx) = open_link_of("i0", &host, usage.clone(), Duration::ZERO);
    for number in 0..30 {
        host.handle(later(10), link, slot_request(number));
    }
    let before = decided(&mut rx);
    assert!(before.granted < 30 && before.refused == 0, "{before:?}");
    for other in ["i1", "i2", "i3", "i4"] {
        open_link_of(other, &host, usage.clone(), Duration::ZERO);
    }
    host.beat(later(50));
    assert_eq!(decided(&mut rx), Decided { granted: 30 - before.granted, refused: 0 });
}

/// A gate that just started may know upstreams before it knows the window of limits.
#[test]
fn a_gate_without_a_configuration_refuses_for_no_limit_that_an_instance_tells() {
    let host = host_without_configuration(&["i"]);
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let told = DeclaredQuota { version: 5, quota: Quota { rate: Some(1_000.0), burst: 0.0 } };
    let quota = Trailing(Some(told));
    let message = ToGate::RequestSlot { number: 1, request: request(), quota };
    host.handle(clock::now(), link, message);
    assert_eq!(decided(&mut rx), Decided { granted: 1, refused: 0 });
}

/// A process with too little processor time stands still for 0.3 s again and again.
#[test]
fn a_gate_that_pauses_again_and_again_still_decides() {
    let host = host();
    let now = clock::now();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    host.beat(now);
    for round in 1..10 {
        let awake = now + Duration::from_millis(300 * round);
        host.beat(awake);
        if round == 1 {
            host.handle(awake, link, slot_request(1));
        }
    }
    assert_eq!(fate(&mut rx, 1), Some("granted"));
}
