//! Two instances with the same incarnation number, as when both start in the same millisecond,
//! join each other's runs and fetch each other's answers.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::support::{
    Fleet, FleetConfig,
    caller::{book, complete, plain_runs, request_state},
    history::CallerOutcome,
};

mod support;

async fn fleet() -> Fleet {
    Fleet::start(FleetConfig { incarnation: Some(1), ..FleetConfig::default() }).await
}

#[tokio::test(flavor = "multi_thread")]
async fn joins_a_booking_that_the_other_instance_runs() {
    let fleet = fleet().await;
    fleet.inject_faults(fleet.plain_upstreams[0], json!({ "delay_ms": 1_000 })).await;
    let (one, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let first = tokio::spawn(book(one, "joined", 1));
    sleep(Duration::from_millis(400)).await;
    assert_eq!(request_state(other, "joined").await.as_deref(), Some("in_progress"));
    let repeat = book(other, "joined", 1).await;
    assert!(matches!(repeat, CallerOutcome::Answer(_)), "{repeat:?}");
    assert_eq!(first.await.unwrap(), repeat);
    assert_eq!(plain_runs(&fleet).await.0.values().copied().collect::<Vec<_>>(), [1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn fetches_an_answer_that_the_other_instance_keeps() {
    let fleet = fleet().await;
    let request_completion = |at| complete(at, "lookup", "kept", "plot seven", 5);
    let first = request_completion(fleet.instances[0].caller_address).await;
    assert!(matches!(first, CallerOutcome::Answer(_)), "{first:?}");
    assert_eq!(request_completion(fleet.instances[1].caller_address).await, first);
}
