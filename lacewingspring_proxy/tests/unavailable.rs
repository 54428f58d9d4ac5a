//! Which upstreams an instance must not use, by the registry and by what they announced.

use std::time::Duration;

use lacewingspring_core::{
    dispatch::UpstreamInfo,
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::{
    retry_after::{InvalidRetryAfter, MAX_RETRY_AFTER, parse_retry_after},
    unavailable::{Unavailable, UnavailableUpstreams},
};

fn upstream(name: &str, started_at_ms: u64, draining: bool) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(name),
        service: ServiceName::from("app"),
        software: SoftwareVersion::from("v1"),
        address: ([127, 0, 0, 1], 8000).into(),
        data_centre: DataCentreName::from("a"),
        slots: 4,
        memory_tokens: u64::MAX,
        draining,
        started_at_ms,
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn name(name: &str) -> UpstreamName {
    UpstreamName::from(name)
}

#[test]
fn draining_and_unregistered_upstreams_are_leaving() {
    let upstreams = UnavailableUpstreams::default();
    assert_eq!(upstreams.reason(secs(1), &name("a")), None, "an unknown upstream may be new");
    upstreams.update(&[upstream("a", 1, false), upstream("b", 1, true)]);
    assert_eq!(upstreams.reason(secs(1), &name("a")), None);
    assert_eq!(upstreams.reason(secs(1), &name("b")), Some(Unavailable::Leaving));
    assert_eq!(upstreams.to_avoid(secs(1)), [], "the gate knows of them");
    upstreams.update(&[]);
    assert_eq!(upstreams.reason(secs(1), &name("a")), Some(Unavailable::Leaving));
    upstreams.update(&[upstream("a", 1, false)]);
    assert_eq!(upstreams.reason(secs(1), &name("a")), None, "its entry had lapsed");
}

#[test]
fn an_older_copy_of_an_entry_does_not_bring_back_an_upstream_that_drains() {
    let upstreams = UnavailableUpstreams::default();
    upstreams.update(&[upstream("a", 1, true)]);
    upstreams.update(&[upstream("a", 1, false)]);
    assert_eq!(upstreams.reason(secs(1), &name("a")), Some(Unavailable::Leaving));
    assert_eq!(upstreams.to_avoid(secs(1)), [name("a")]);
    upstreams.update(&[upstream("a", 2, false)]);
    assert_eq!(upstreams.reason(secs(1), &name("a")), None, "another process has its name");
}

#[test]
fn an_announced_leaving_outlives_changes_of_the_registry() {
    let upstreams = UnavailableUpstreams::default();
    upstreams.update(&[upstream("a", 1, false), upstream("b", 1, false)]);
    assert!(upstreams.record_leaving(&name("a")));
    assert!(!upstreams.record_leaving(&name("a")), "it is known already");
    for entries in [vec![upstream("a", 1, false)], Vec::new(), vec![upstream("a", 1, false)]] {
        upstreams.update(&entries);
        assert_eq!(upstreams.reason(secs(1), &name("a")), Some(Unavailable::Leaving));
    }
    assert_eq!(upstreams.to_avoid(secs(1)), [name("a")]);
}

#[test]
fn a_new_process_of_a_name_is_usable_after_the_old_one_announced_its_leaving() {
    let upstreams = UnavailableUpstreams::default();
    upstreams.update(&[upstream("a", 1, false)]);
    upstreams.record_leaving(&name("a"));
    upstreams.record_pause(secs(1), &name("a"), secs(100));
    upstreams.update(&[upstream("a", 2, false)]);
    assert_eq!(upstreams.reason(secs(2), &name("a")), None);
    assert_eq!(upstreams.to_avoid(secs(2)), []);
}

#[test]
fn an_announcement_counts_if_it_comes_before_the_entry() {
    let upstreams = UnavailableUpstreams::default();
    upstreams.record_leaving(&name("a"));
    upstreams.record_pause(secs(1), &name("b"), secs(5));
    upstreams.update(&[upstream("a", 7, false), upstream("b", 7, false)]);
    assert_eq!(upstreams.reason(secs(1), &name("a")), Some(Unavailable::Leaving));
    assert_eq!(upstreams.reason(secs(1), &name("b")), Some(Unavailable::Paused));
}

#[test]
fn a_pause_ends_at_its_time_and_a_shorter_one_does_not_cut_it() {
    let upstreams = UnavailableUpstreams::default();
    upstreams.update(&[upstream("a", 1, false)]);
    upstreams.record_pause(secs(10), &name("a"), secs(5));
    upstreams.record_pause(secs(11), &name("a"), secs(1));
    assert_eq!(upstreams.reason(secs(14), &name("a")), Some(Unavailable::Paused));
    assert_eq!(upstreams.to_avoid(secs(14)), [name("a")]);
    assert_eq!(upstreams.reason(secs(15), &name("a")), None);
    assert_eq!(upstreams.to_avoid(secs(15)), []);
}

#[test]
fn parses_retry_after_as_seconds_or_date() {
    let wall = secs(1_796_256_000); // 2026-12-03T00:00:00Z
    let parse = |value: &str| parse_retry_after(wall, value);
    assert_eq!(parse("3"), Ok(secs(3)));
    assert_eq!(parse(" 0.25 "), Ok(Duration::from_millis(250)));
    assert_eq!(parse("Thu, 03 Dec 2026 00:00:07 GMT"), Ok(secs(7)));
    assert_eq!(parse("Thu, 03 Dec 2026 00:00:00 GMT"), Ok(Duration::ZERO));
    assert_eq!(parse("Wed, 02 Dec 2026 00:00:00 GMT"), Ok(Duration::ZERO));
    assert_eq!(parse("99999"), Ok(MAX_RETRY_AFTER));
    let huge = "9".repeat(400);
    assert_eq!(parse(&huge), Ok(MAX_RETRY_AFTER));
    for value in ["", "-3", "soon", "1e3", "inf", "NaN", ".", "1.2.3", "+4"] {
        assert_eq!(parse(value), Err(InvalidRetryAfter), "{value:?}");
    }
}
