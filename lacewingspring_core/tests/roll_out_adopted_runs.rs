//! Requests that an instance reports before the gate knows the upstreams.

use std::time::Duration;

use dispatch_support::{ms, request, ticket, upstream};
use lacewingspring_core::{
    dispatch::{Dispatcher, FleetShare, VersionUse},
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::{Bounds, Counts, Order, OrderId, RollOut, Stage},
};

mod dispatch_support;

/// Guards against a completion beside requests that were reported before the registry was read.
#[test]
fn requests_reported_before_the_upstreams_are_known_count_as_running() {
    let service = ServiceName::from("models");
    let order = Order {
        service: service.clone(),
        target: SoftwareVersion::from("v2"),
        received_at: Duration::ZERO,
        deadline: Duration::from_secs(12),
        id: OrderId { era: 0, revision: 1 },
    };
    let bounds = Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: Duration::from_secs(5) };
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_fleet_share(ms(0), FleetShare::WHOLE);
    dispatcher.adopt(ms(1), ticket(1), &request("chat"), UpstreamName::from("old"));
    dispatcher.set_upstreams(ms(2), [upstream("old", 4)]);
    let roll_out = RollOut::new(order, bounds, Counts::default(), Stage::Shifting);
    dispatcher.hold_roll_out(&service, roll_out, VersionUse::Shifting);
    let state = dispatcher.roll_out_state(ms(3), &service, ms(0)).expect("a roll-out");
    assert_eq!(state.old_running, 1);
}
