//! A key whose run has ended is not reported as in progress for ever, although its home missed the
//! end.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::support::{
    Fleet, FleetConfig,
    caller::{book, complete, engine_runs, request_state, upstream_id},
    history::CallerOutcome,
    key_with_holders,
};

mod support;

/// Index of the instance that is the home of the key.
const HOME: usize = 0;

/// Index of the instance that runs the request.
const RUNNER: usize = 1;

/// Index of the instance that gets the status query. It knows only what the home and the runner
/// tell it.
const ASKED: usize = 2;

/// Time for which a runner waits for the home of a booking, with a margin.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a runner tries to report an outcome to the home, with a margin.
const REPORT_TIMEOUT: Duration = Duration::from_millis(6_000);

/// Longest wait for the state of an ended run; much shorter than the retention of its answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

async fn fleet() -> Fleet {
    Fleet::start(FleetConfig { instances: 3, use_relays: true, ..FleetConfig::default() }).await
}

/// Queries the state of a key until it is not `in_progress`.
async fn settled_state(fleet: &Fleet, key: &str) -> Option<String> {
    let at = fleet.instances[ASKED].caller_address;
    let settled = timeout(SETTLE_TIMEOUT, async {
        loop {
            let state = request_state(at, key).await;
            if state.as_deref() != Some("in_progress") {
                return state;
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
    settled.await.expect("the key leaves the state `in_progress`")
}

/// The home registers a booking after its runner has stopped waiting for the reply, as a home does
/// that was frozen. The runner runs the booking by its claim and reports no outcome to that home.
#[tokio::test(flavor = "multi_thread")]
async fn booking_registered_after_its_runner_gave_up_is_not_in_progress() {
    let fleet = fleet().await;
    let partition = fleet.partition.clone().expect("a fleet with relays");
    let key = key_with_holders(&fleet, &[HOME]);
    partition.block(&fleet, HOME, RUNNER);
    let (at, booked) = (fleet.instances[RUNNER].caller_address, key.clone());
    let booking = tokio::spawn(async move { book(at, &booked, 1).await });
    sleep(REGISTRATION_TIMEOUT).await;
    partition.heal();
    let outcome = booking.await.expect("a booking finishes");
    assert!(matches!(outcome, CallerOutcome::Answer(_)), "{outcome:?}");
    assert_eq!(settled_state(&fleet, &key).await.as_deref(), Some("ran"));
}

/// The runner of a completion can't reach the home until it has stopped reporting the outcome.
#[tokio::test(flavor = "multi_thread")]
async fn completion_whose_outcome_did_not_reach_its_home_is_not_in_progress() {
    let fleet = fleet().await;
    let partition = fleet.partition.clone().expect("a fleet with relays");
    let key = key_with_holders(&fleet, &[HOME]);
    let (at, sent) = (fleet.instances[RUNNER].caller_address, key.clone());
    let completion = tokio::spawn(async move { complete(at, "lookup", &sent, "plot", 100).await });
    let dispatched = async {
        let id = upstream_id(&key);
        while !engine_runs(&fleet).await.iter().any(|run| run["id"] == id) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(SETTLE_TIMEOUT, dispatched).await.expect("the completion is dispatched");
    partition.block(&fleet, RUNNER, HOME);
    let outcome = completion.await.expect("a completion finishes");
    assert!(matches!(outcome, CallerOutcome::Answer(_)), "{outcome:?}");
    sleep(REPORT_TIMEOUT).await;
    partition.heal();
    assert_eq!(settled_state(&fleet, &key).await.as_deref(), Some("ran"));
}
