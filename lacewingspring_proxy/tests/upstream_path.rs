//! When the path of an instance to upstreams counts as lost.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use lacewingspring_core::{
    dispatch::UpstreamInfo,
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::upstream_path::UpstreamPath;

fn upstream(name: &str, service: &str) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(name),
        service: ServiceName::from(service),
        software: SoftwareVersion::from("v1"),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: 1,
        memory_tokens: u64::MAX,
        draining: false,
        started_at_ms: 1,
    }
}

/// Path to four upstreams of one service and two of another.
struct Fixture(UpstreamPath);

impl Fixture {
    fn new() -> Self {
        let models = ["m1", "m2", "m3", "m4"].map(|name| upstream(name, "models"));
        let plain = ["p1", "p2"].map(|name| upstream(name, "plain"));
        let upstreams = models.into_iter().chain(plain).collect();
        Self(UpstreamPath::new(Arc::new(ArcSwap::from_pointee(upstreams))))
    }

    fn fail(&self, at_ms: u64, name: &str) {
        let error: io::Result<()> = Err(io::ErrorKind::TimedOut.into());
        self.0.record(Duration::from_millis(at_ms), &UpstreamName::from(name), &error);
    }

    fn connect(&self, at_ms: u64, name: &str) {
        let connected: io::Result<()> = Ok(());
        self.0.record(Duration::from_millis(at_ms), &UpstreamName::from(name), &connected);
    }

    /// Returns whether the paths to the two services are lost.
    fn lost(&self) -> [bool; 2] {
        ["models", "plain"].map(|service| self.0.is_lost(&ServiceName::from(service)))
    }
}

#[test]
fn three_upstreams_in_a_row_show_that_the_path_is_lost() {
    let path = Fixture::new();
    path.fail(100, "m1");
    path.fail(110, "m1");
    path.fail(120, "m2");
    assert_eq!(path.lost(), [false, false], "two upstreams may have crashed");
    path.fail(130, "p1");
    assert_eq!(path.lost(), [true, true]);
    path.connect(600, "m3");
    assert_eq!(path.lost(), [false, false]);
}

#[test]
fn failures_long_ago_or_before_a_connection_do_not_count() {
    let path = Fixture::new();
    path.fail(100, "m1");
    path.fail(200, "m2");
    path.fail(2_150, "m3");
    assert_eq!(path.lost(), [false, false], "the first was two seconds before");
    path.connect(2_160, "m4");
    path.fail(2_170, "p1");
    path.fail(2_180, "m4");
    assert_eq!(path.lost(), [false, false]);
}

#[test]
fn a_service_is_lost_when_all_its_upstreams_fail_though_others_are_reached() {
    let path = Fixture::new();
    path.fail(100, "p1");
    path.connect(110, "m1");
    path.fail(120, "p2");
    assert_eq!(path.lost(), [false, true]);
    path.connect(200, "m1");
    assert_eq!(path.lost(), [false, true], "a connection to another service says nothing of it");
    path.connect(700, "p2");
    assert_eq!(path.lost(), [false, false]);
}
