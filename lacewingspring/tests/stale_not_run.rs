//! A repeat of a request that ran is never refused as "not run", whatever stands in its way.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::support::{
    Fleet, Plan,
    caller::{Reply, desk, key, plain_runs, try_book},
    history::{History, Told},
};

mod support;

async fn check(fleet: &Fleet, request_key: &str, first: Told, repeat: Reply) {
    let mut history = History::default();
    history.add(request_key, None, first);
    history.add(request_key, None, repeat.told.clone());
    assert_eq!(history.check(&plain_runs(fleet).await), vec![], "{repeat:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_in_an_outage_is_not_told_that_it_was_not_run() {
    let fleet = Fleet::start(Plan::default()).await;
    let first = try_book(fleet.instances[0].callers, "repeat", 1).await.told;
    assert!(matches!(first, Told::Answer(_)), "{first:?}");
    fleet.fault(fleet.key_value, json!({ "down": true })).await;
    let body = json!({ "seat": 1, "client": "north" }).to_string();
    let headers = [desk(), key("repeat"), ("request-timeout-ms", "700".into())];
    let at = fleet.instances[1].callers;
    let answer = support::call(at, "POST", "/services/booking/seats", &headers, body).await;
    check(&fleet, "repeat", first, support::caller::told(answer.unwrap())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_at_a_leaving_instance_is_not_told_that_it_was_not_run() {
    let fleet = Fleet::start(Plan::default()).await;
    let first = try_book(fleet.instances[0].callers, "repeat", 1).await.told;
    assert!(matches!(first, Told::Answer(_)), "{first:?}");
    fleet.instances[1].process.signal(Signal::TERM);
    sleep(Duration::from_millis(300)).await;
    let repeat = try_book(fleet.instances[1].callers, "repeat", 1).await;
    check(&fleet, "repeat", first, repeat).await;
}
