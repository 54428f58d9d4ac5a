//! Another writer replaces the entry of a server that drains by one in which fields are missing.

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
    servers[0].drain(store);
    let left_at = record.now();
    // A heartbeat of the server is just over, so that its own entry is back in a second.
    let next_beat = servers[0].next_beat(left_at + Duration::from_millis(2_500));
    record.sleep_until(next_beat + Duration::from_millis(150));
    if has_trouble {
        // No version, no number, no time of its start: not what a server says of itself.
        let address = setup.address(11, 8080);
        let value = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"a\",\"slots\":6,\
             \"state\":\"ready\"}}"
        );
        store.put(&servers[0].key(), &value);
    }
    record.sleep_until(next_beat + Duration::from_millis(1_000));
    servers[0].leave(store);
    servers[0].exit();
    record.sleep_until(left_at + Duration::from_millis(7_000));
    let requests = load.stop();
    drop(instances);
    let told_at = left_at + Duration::from_millis(250);
    judge(setup, &requests, &servers[0], told_at)
}
