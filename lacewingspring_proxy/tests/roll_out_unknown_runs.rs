//! A completed roll-out whose status waits for what instances run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use lacewingspring_core::names::{DataCentreName, InstanceName};
use lacewingspring_proxy::{
    clock,
    gate::host::GateHost,
    members::{Member, Members},
    replica::Replicas,
    store::Revision,
};
use roll_out_support::{RECORD, STATUS, SharedStore, record, start_keeper};
use support::open_link_of;
use tokio::time::sleep;

mod roll_out_support;
mod support;

/// Time after a link in which its instance reports what it runs.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Creates a gate in a fleet of three instances and a fourth that leaves.
fn host() -> Arc<GateHost> {
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    let member = |name: &str| Member {
        instance: InstanceName::from(name),
        incarnation: 1,
        data_centre: DataCentreName::from("a"),
        millicores: 500,
        caller_address: address,
        peer_address: address,
        is_leaving: name == "leaving",
    };
    let names = ["i1", "i2", "i3", "leaving"];
    let members = Members::from_iter(names.map(|name| (Revision::default(), member(name))));
    let members = Arc::new(ArcSwap::from_pointee(members));
    let host = GateHost::new(members, Arc::new(Replicas::default()), None);
    host.on_members_changed(clock::now());
    Arc::new(host)
}

/// Links all instances but one; the status must follow when that one has been linked for a while.
async fn check_without(missing: &str) {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Completed""#));
    let host = host();
    let linked = ["i1", "i2", "i3", "leaving"].into_iter().filter(|name| *name != missing);
    let open = |name: &str| open_link_of(name, &host, Vec::new(), Duration::from_secs(3_600));
    let mut links: Vec<_> = linked.map(open).collect();
    start_keeper(&store, &host);
    sleep(REPORT_TIME + Duration::from_secs(2)).await;
    assert_eq!(store.text(STATUS), "InProgress", "{missing} is not linked");
    links.push(open(missing));
    sleep(REPORT_TIME - Duration::from_secs(1)).await;
    assert_eq!(store.text(STATUS), "InProgress", "{missing} has had no time to report");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.text(STATUS), "Completed");
}

/// Guards against an instance that leaves and is linked, which was counted for one that is cut off.
#[tokio::test]
async fn a_leaving_instance_does_not_count_for_one_that_is_cut_off() {
    check_without("i3").await;
}

/// Guards against requests of an instance that leaves and is not linked to this gate.
#[tokio::test]
async fn a_completion_waits_for_a_leaving_instance() {
    check_without("leaving").await;
}
