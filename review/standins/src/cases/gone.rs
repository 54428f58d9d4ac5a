//! The store comes back from a copy in which a server is still registered that has left since.

use std::time::Duration;

use crate::{
    cases::load::{Load, judge},
    server::{Server, Spec, Work},
    setup::Setup,
};

const SERVICE: &str = "booking";

/// Runs the case; returns whether the rule was broken.
pub fn run(setup: &Setup, has_trouble: bool) -> bool {
    let Setup { store, record, .. } = setup;
    setup.configure(&[(SERVICE, "non_idempotent", 3_000)]);
    let servers = [1, 2, 3].map(|number| {
        let spec = Spec {
            id: format!("i-{number}"),
            service: SERVICE.into(),
            version: "v1".into(),
            address: setup.address(10 + number, 8080),
            slots: 6,
            work: Work::Call(Duration::from_millis(200)),
            cold: Duration::ZERO,
        };
        Server::start(spec, store, record)
    });
    let instances = [1, 2, 3].map(|last| setup.instance(last, Vec::new()).0);
    let load = Load::start(setup, SERVICE, &[1, 2, 3]);
    record.sleep_until(record.now() + Duration::from_secs(3));
    let copy = store.copy();
    std::thread::sleep(Duration::from_millis(1_000));
    // This server never reports that it drains: its entry is removed, and it serves on for a while.
    servers[0].leave(store);
    let left_at = record.now();
    record.sleep_until(left_at + Duration::from_millis(3_000));
    if has_trouble {
        store.go_away();
        record.sleep_until(left_at + Duration::from_millis(3_800));
        store.come_back(copy);
        // What the servers wrote is written again within two seconds, also the removal.
        record.sleep_until(left_at + Duration::from_millis(5_300));
        servers[0].leave(store);
    }
    record.sleep_until(left_at + Duration::from_millis(6_000));
    servers[0].exit();
    record.sleep_until(left_at + Duration::from_millis(9_000));
    let requests = load.stop();
    drop(instances);
    // Each instance is told within some milliseconds; a quarter of a second is more than enough.
    let told_at = left_at + Duration::from_millis(250);
    judge(setup, &requests, &servers[0], told_at)
}
