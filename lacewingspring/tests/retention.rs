//! Claims and acts expire after the configured retention, and not before.

use std::time::Duration;

use lacewingspring::platform::key_value::{KeyValue, LeaseId};
use tokio::time::sleep;

use crate::support::{
    Fleet, FleetConfig,
    caller::{book, plain_runs, request_state},
    get,
    history::CallerOutcome,
};

mod support;

/// Retention of claims in the test, in seconds; the shortest that the settings accept.
const RETENTION_S: u64 = 10;

/// Identifier of the first lease that the key-value stand-in grants.
const FIRST_LEASE_ID: i64 = 7_000_000_001;

fn store(fleet: &Fleet) -> KeyValue {
    KeyValue::new(vec![fleet.key_value], Duration::from_secs(2))
}

/// Returns the store keys of all claims and acts.
async fn claim_and_act_keys(fleet: &Fleet) -> Vec<String> {
    let mut keys = Vec::new();
    for prefix in ["claims/", "acts/"] {
        let reply = store(fleet).range(&format!("/lacewingspring/{prefix}")).await;
        keys.extend(reply.expect("a range").entries.into_iter().map(|entry| entry.key));
    }
    keys
}

fn is_answer(outcome: &CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::Answer(_))
}

#[tokio::test(flavor = "multi_thread")]
async fn key_can_run_again_after_the_retention() {
    let config =
        FleetConfig { instances: 3, claim_retention_s: RETENTION_S, ..FleetConfig::default() };
    let fleet = Fleet::start(config).await;
    let at = |i: usize| fleet.instances[i].caller_address;
    let first = book(at(0), "kept", 1).await;
    assert!(is_answer(&first), "{first:?}");
    assert_eq!(request_state(at(0), "unknown").await.as_deref(), Some("not_run"));
    sleep(Duration::from_secs(RETENTION_S / 2)).await;
    assert_eq!(book(at(1), "kept", 1).await, first);
    assert_eq!(plain_runs(&fleet).await.0["kept"], 1);
    assert_eq!(
        claim_and_act_keys(&fleet).await.len(),
        3,
        "the claims of two keys and the act of the booking"
    );
    sleep(Duration::from_secs(RETENTION_S - 2)).await;
    assert_eq!(claim_and_act_keys(&fleet).await, Vec::<String>::new());
    let again = book(at(2), "kept", 1).await;
    assert!(is_answer(&again), "{again:?}");
    assert_eq!(plain_runs(&fleet).await.0["kept"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_share_a_lease_and_a_revoked_lease_is_replaced() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    for seat in 0..20 {
        let at = fleet.instances[seat % 2].caller_address;
        assert!(is_answer(&book(at, &format!("key-{seat}"), seat as u64).await));
    }
    // One grant per instance: each attaches all its claims and acts to one lease.
    let calls = get(fleet.key_value, "/calls").await.expect("counts").json();
    assert_eq!(calls["leases"], 2, "{calls}");
    for number in 0..2 {
        store(&fleet).revoke(LeaseId(FIRST_LEASE_ID + number)).await.expect("revokes a lease");
    }
    assert_eq!(claim_and_act_keys(&fleet).await, Vec::<String>::new());
    for seat in 20..24 {
        let at = fleet.instances[seat % 2].caller_address;
        assert!(is_answer(&book(at, &format!("key-{seat}"), seat as u64).await));
    }
    assert_eq!(claim_and_act_keys(&fleet).await.len(), 8);
}
