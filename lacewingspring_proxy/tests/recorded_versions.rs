//! Which upstreams are used before their software version is recorded.

use std::{net::SocketAddr, time::Duration};

use lacewingspring_core::{
    dispatch::{ServedVersion, UpstreamInfo},
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::gate::recorded_versions::{MAX_RECORD_DELAY, RecordedVersions};

const RETENTION: Duration = Duration::from_secs(20);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(name: &str, software: &str) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(name),
        service: ServiceName::from("app"),
        software: SoftwareVersion::from(software),
        address: SocketAddr::from(([127, 0, 0, 1], 8080)),
        data_centre: DataCentreName::from("a"),
        slots: 4,
        memory_tokens: u64::MAX,
        draining: false,
        started_at_ms: 1,
    }
}

fn version(software: &str) -> ServedVersion {
    let software = SoftwareVersion::from(software);
    ServedVersion { service: ServiceName::from("app"), software, age_ms: 0 }
}

fn usable(versions: &RecordedVersions, now: Duration) -> Vec<String> {
    versions.usable(now).iter().map(|info| info.name.as_str().to_owned()).collect()
}

fn enabled() -> RecordedVersions {
    let mut versions = RecordedVersions::default();
    versions.enable();
    versions
}

#[test]
fn an_upstream_is_used_once_its_version_is_recorded() {
    let mut versions = enabled();
    versions.set_registered(ms(0), vec![upstream("a", "v1")]);
    assert_eq!(usable(&versions, ms(10)), [""; 0]);
    assert_eq!(versions.unrecorded(), [version("v1")]);
    versions.set_recorded(ms(20), &[version("v1")]);
    assert_eq!(usable(&versions, ms(20)), ["a"]);
    versions.set_registered(ms(30), vec![upstream("a", "v1"), upstream("b", "v2")]);
    assert_eq!(usable(&versions, ms(30)), ["a"], "the old version serves on");
    assert_eq!(versions.registered().len(), 2);
}

#[test]
fn an_upstream_is_used_after_a_second_if_its_version_can_not_be_recorded() {
    let mut versions = enabled();
    versions.set_registered(ms(0), vec![upstream("a", "v1")]);
    versions.set_registered(ms(500), vec![upstream("a", "v1"), upstream("b", "v1")]);
    assert_eq!(usable(&versions, MAX_RECORD_DELAY - ms(1)), [""; 0]);
    assert_eq!(versions.withheld_until(ms(500)), Some(MAX_RECORD_DELAY));
    assert_eq!(usable(&versions, MAX_RECORD_DELAY), ["a", "b"]);
    assert_eq!(versions.withheld_until(MAX_RECORD_DELAY), None);
    assert_eq!(versions.unrecorded(), [version("v1")], "it is still to be recorded");
}

#[test]
fn a_version_stays_recorded_until_no_caller_may_return_to_it() {
    let mut versions = enabled();
    versions.set_recorded(ms(0), &[version("v1")]);
    versions.set_registered(ms(0), vec![upstream("a", "v1")]);
    versions.set_registered(ms(1_000), vec![upstream("b", "v2")]);
    assert_eq!(versions.take_expired(ms(1_000) + RETENTION - ms(1), RETENTION), []);
    assert_eq!(versions.take_expired(ms(1_000) + RETENTION, RETENTION), [version("v1")]);
    assert_eq!(
        versions.take_expired(ms(2_000) + RETENTION, RETENTION),
        [version("v1")],
        "again until its record is removed"
    );
    versions.set_registered(ms(3_000) + RETENTION, vec![upstream("c", "v1")]);
    assert_eq!(usable(&versions, ms(3_000) + RETENTION), [""; 0], "a roll-back is recorded first");
}

#[test]
fn all_versions_are_recorded_again_in_a_restored_store_and_used_meanwhile() {
    let mut versions = enabled();
    versions.set_registered(ms(0), vec![upstream("a", "v1")]);
    versions.set_recorded(ms(10), &[version("v1")]);
    versions.forget_recorded();
    assert_eq!(versions.unrecorded(), [version("v1")]);
    assert_eq!(usable(&versions, ms(5_000)), ["a"]);
}

/// A restarted fleet refused new streams while it had servers of an unrecorded version only.
#[test]
fn a_version_is_urgent_while_its_service_has_no_other() {
    let mut versions = enabled();
    versions.set_registered(ms(0), vec![upstream("b", "v2")]);
    assert_eq!(versions.urgent(ms(10)), [version("v2")]);
    versions.set_recorded(ms(20), &[version("v1")]);
    versions.set_registered(ms(30), vec![upstream("a", "v1"), upstream("b", "v2")]);
    assert_eq!(versions.urgent(ms(30)), []);
}
