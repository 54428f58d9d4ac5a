//! What a gate decides while it withholds upstreams whose software version is not recorded.
//!
//! Guards against `no_upstream` by an instance that becomes the gate less than a second after its
//! start, before it has recorded the versions of upstreams that other gates use already.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    dispatch::{End, ServedVersion, UpstreamInfo},
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        message::{EndDetails, FromGate, ToGate},
        recorded_versions::MAX_RECORD_DELAY,
    },
};
use support::{Decided, decided, host, open_link, slot_request};
use tokio::sync::mpsc::UnboundedReceiver;

mod support;

fn upstream(name: &str, software: &str, draining: bool) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(name),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from(software),
        address: ([127, 0, 0, 1], 8000).into(),
        data_centre: DataCentreName::from("a"),
        slots: 4,
        memory_tokens: 100_000,
        draining,
        started_at_ms: 1,
    }
}

fn version(software: &str) -> ServedVersion {
    let software = SoftwareVersion::from(software);
    ServedVersion { service: ServiceName::from("models"), software, age_ms: 0 }
}

/// Creates a gate that has just read the entries of upstreams, and a link to it.
fn gate_with<I>(now: Duration, upstreams: I) -> (Arc<GateHost>, u64, UnboundedReceiver<FromGate>)
where
    I: IntoIterator<Item = UpstreamInfo>,
{
    let host = host();
    host.require_recorded_versions();
    host.set_upstreams(now, []);
    host.set_versions_recorded(now, &[version("v0")]);
    host.set_upstreams(now, upstreams);
    let (link, rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    (host, link, rx)
}

#[test]
fn a_request_waits_until_the_only_version_is_recorded() {
    let now = clock::now();
    let (host, link, mut rx) = gate_with(now, [upstream("u", "v1", false)]);
    host.handle(now, link, slot_request(1));
    assert_eq!(decided(&mut rx), Decided::default());
    let at = now + Duration::from_millis(20);
    host.set_versions_recorded(at, &[version("v1")]);
    assert_eq!(decided(&mut rx), Decided { granted: 1, refused: 0 });
}

#[test]
fn a_request_waits_for_an_upstream_beside_those_that_drain() {
    let now = clock::now();
    let upstreams = [upstream("u", "v1", false), upstream("old", "v0", true)];
    let (host, link, mut rx) = gate_with(now, upstreams);
    host.handle(now, link, slot_request(1));
    assert_eq!(decided(&mut rx), Decided::default());
    host.learn_recorded_versions(now, &[version("v1")], &[]);
    assert_eq!(decided(&mut rx), Decided { granted: 1, refused: 0 });
}

#[test]
fn a_request_waits_for_a_record_for_a_second_at_most() {
    let now = clock::now();
    let (host, link, mut rx) = gate_with(now, [upstream("u", "v1", false)]);
    host.handle(now, link, slot_request(1));
    host.beat(now + MAX_RECORD_DELAY - Duration::from_millis(1));
    assert_eq!(decided(&mut rx), Decided::default());
    host.beat(now + MAX_RECORD_DELAY);
    assert_eq!(decided(&mut rx), Decided { granted: 1, refused: 0 });
    host.handle(now + MAX_RECORD_DELAY, link, slot_request(2));
    assert_eq!(decided(&mut rx), Decided { granted: 1, refused: 0 });
}

#[test]
fn a_request_does_not_wait_where_another_version_is_recorded() {
    let now = clock::now();
    let upstreams = [upstream("u", "v1", false), upstream("old", "v0", false)];
    let (host, link, mut rx) = gate_with(now, upstreams);
    host.handle(now, link, slot_request(1));
    assert_eq!(decided(&mut rx), Decided { granted: 1, refused: 0 });
}

#[test]
fn a_request_is_refused_at_once_without_an_upstream_that_will_be_used() {
    let now = clock::now();
    for upstreams in [vec![], vec![upstream("old", "v1", true)]] {
        let (host, link, mut rx) = gate_with(now, upstreams);
        host.handle(now, link, slot_request(1));
        assert_eq!(decided(&mut rx), Decided { granted: 0, refused: 1 });
    }
}

#[test]
fn a_request_that_waits_is_refused_when_its_upstreams_leave() {
    let now = clock::now();
    let (host, link, mut rx) = gate_with(now, [upstream("u", "v1", false)]);
    host.handle(now, link, slot_request(1));
    host.set_upstreams(now, []);
    assert_eq!(decided(&mut rx), Decided { granted: 0, refused: 1 });
}

#[test]
fn a_request_whose_caller_left_gets_no_slot() {
    let now = clock::now();
    let (host, link, mut rx) = gate_with(now, [upstream("u", "v1", false)]);
    host.handle(now, link, slot_request(1));
    let details = EndDetails::NONE;
    host.handle(now, link, ToGate::End { number: 1, end: End::Cancelled, details });
    host.set_versions_recorded(now, &[version("v1")]);
    assert_eq!(decided(&mut rx), Decided::default());
    assert!(host.counts().iter().all(|(_, counts)| counts.running == 0));
}
