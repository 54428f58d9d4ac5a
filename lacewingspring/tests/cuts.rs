//! Network partitions between instances, in one direction or both: no request runs twice, and each
//! answer is correct and belongs to its request.

use std::{collections::BTreeMap, time::Duration};

use lacewingspring_standins::engine::answer;
use tokio::{task::JoinSet, time::sleep};

use crate::support::{
    Fleet, FleetConfig,
    caller::{Reply, engine_runs, plain_runs, try_book, try_complete, upstream_id},
    history::{CallerOutcome, History, Runs, Violation},
};

mod support;

/// Number of requests sent during a partition.
const REQUESTS: usize = 40;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a caller repeats its request at another instance.
const REPEAT_AFTER: Duration = Duration::from_millis(120);

/// Longest time from the end of a partition until every instance serves new requests again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Output tokens of a completion.
const TOKENS: u32 = 20;

/// Number of requests that still run when a partition ends.
const LONG_RUNS: usize = 6;

/// Output tokens of a request that still runs when a partition ends.
const LONG_TOKENS: u32 = 400;

/// A finished attempt of a request.
#[derive(Debug)]
struct FinishedAttempt {
    key: String,
    reply: Reply,
}

fn prompt(key: &str) -> String {
    format!("plot of {key} at the lake")
}

/// Sends request `n` to an instance after a delay: a booking if `n` is odd, else a completion.
fn send(
    attempts: &mut JoinSet<FinishedAttempt>,
    fleet: &Fleet,
    n: usize,
    at: usize,
    delay: Duration,
) {
    let at = fleet.instances[at % fleet.instances.len()].caller_address;
    attempts.spawn(async move {
        sleep(delay).await;
        let key = format!("key-{n}");
        let reply = if n % 2 == 1 {
            try_book(at, &key, n as u64).await
        } else {
            try_complete(at, "lookup", &key, &prompt(&key), TOKENS).await
        };
        FinishedAttempt { key, reply }
    });
}

/// Sends requests at a fixed interval, each to one instance and after `REPEAT_AFTER` to the next
/// one.
async fn send_requests(fleet: &Fleet, numbers: std::ops::Range<usize>) -> JoinSet<FinishedAttempt> {
    let mut attempts = JoinSet::new();
    for n in numbers {
        send(&mut attempts, fleet, n, n, Duration::ZERO);
        send(&mut attempts, fleet, n, n + 1, REPEAT_AFTER);
        sleep(INTERVAL).await;
    }
    attempts
}

/// Counts the runs of each booking and of the completions among the first `key_count` keys, at all
/// upstreams; a resumption is part of its run.
async fn runs(fleet: &Fleet, key_count: usize) -> Runs {
    let mut runs = plain_runs(fleet).await;
    let mut completions: BTreeMap<String, u64> = BTreeMap::new();
    for run in engine_runs(fleet).await {
        let count = |field: &str| run[field].as_u64().unwrap_or_default();
        let id = run["id"].as_str().unwrap_or_default().to_owned();
        *completions.entry(id).or_default() += count("dispatches") - count("resumptions");
    }
    for key in (0..key_count).map(|n| format!("key-{n}")) {
        if let Some(count) = completions.get(&upstream_id(&key)) {
            runs.0.insert(key, *count);
        }
    }
    runs
}

fn outcome_name(outcome: &CallerOutcome) -> String {
    let text = format!("{outcome:?}");
    text.split('(').next().unwrap_or_default().to_owned()
}

/// Waits for all attempts and returns the violations of their history.
async fn violations(
    fleet: &Fleet,
    attempts: JoinSet<FinishedAttempt>,
    key_count: usize,
) -> Vec<Violation> {
    let mut history = History::default();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for FinishedAttempt { key, reply } in attempts.join_all().await {
        let name = if reply.kind.is_empty() { outcome_name(&reply.outcome) } else { reply.kind };
        *counts.entry(name).or_default() += 1;
        let completion = key.trim_start_matches("key-").parse::<usize>().is_ok_and(|n| n % 2 == 0);
        let expected = completion.then(|| answer(&prompt(&key), u64::from(TOKENS)));
        // A refusal as not run states only that its own attempt ran nothing; the other attempt may
        // run the key.
        let states_outcome_of_key = reply.outcome != CallerOutcome::NotRun;
        if states_outcome_of_key {
            history.add(&key, expected, reply.outcome);
        }
    }
    println!("outcomes {counts:?}");
    history.check(&runs(fleet, key_count).await)
}

/// Returns how many addresses each instance lists for callers, by index.
async fn address_counts(fleet: &Fleet) -> Vec<usize> {
    let mut counts = Vec::new();
    for instance in &fleet.instances {
        let answer =
            support::get(instance.caller_address, "/v1/addresses").await.expect("addresses");
        counts.push(answer.json()["addresses"].as_array().map_or(0, Vec::len));
    }
    counts
}

/// Ends the partition and waits until each instance answers a new request, within
/// `RECOVERY_TIMEOUT`.
async fn end_partition(fleet: &Fleet) {
    fleet.partition.as_ref().expect("relays").heal();
    let start = support::now();
    for (i, instance) in fleet.instances.iter().enumerate() {
        for n in 0.. {
            let key = format!("healed-{i}-{n}");
            let reply =
                try_book(instance.caller_address, &key, 10_000 + (i * 100 + n) as u64).await;
            if matches!(reply.outcome, CallerOutcome::Answer(_)) {
                break;
            }
            assert!(start.elapsed() < RECOVERY_TIMEOUT, "{reply:?} at {}", instance.name);
            sleep(Duration::from_millis(100)).await;
        }
    }
    fleet.wait_until_ready(fleet.instances.len()).await;
    assert!(start.elapsed() < RECOVERY_TIMEOUT, "recovered after {:?}", start.elapsed());
}

fn config(instances: usize, data_centres: usize) -> FleetConfig {
    FleetConfig {
        instances,
        data_centres,
        engines: data_centres,
        plain_upstreams: data_centres,
        use_relays: true,
        ..FleetConfig::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_runs_twice_while_one_instance_cannot_send() {
    let fleet = Fleet::start(config(4, 1)).await;
    let partition = fleet.partition.clone().expect("relays");
    for other in 1..4 {
        partition.block(&fleet, 0, other);
    }
    let attempts = send_requests(&fleet, 0..REQUESTS).await;
    assert_eq!(address_counts(&fleet).await, [1, 3, 3, 3]);
    end_partition(&fleet).await;
    assert_eq!(violations(&fleet, attempts, REQUESTS).await, vec![]);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_runs_twice_while_one_instance_cannot_receive() {
    let fleet = Fleet::start(config(4, 1)).await;
    let partition = fleet.partition.clone().expect("relays");
    for other in 1..4 {
        partition.block(&fleet, other, 0);
    }
    let attempts = send_requests(&fleet, 0..REQUESTS).await;
    assert_eq!(address_counts(&fleet).await, [1, 3, 3, 3]);
    end_partition(&fleet).await;
    assert_eq!(violations(&fleet, attempts, REQUESTS).await, vec![]);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_runs_twice_while_a_data_centre_is_partitioned() {
    let fleet = Fleet::start(config(6, 3)).await;
    let partition = fleet.partition.clone().expect("relays");
    // Instances 0 and 3 are in the first data centre.
    partition.split(&fleet, &[0, 3], &[1, 2, 4, 5]);
    let attempts = send_requests(&fleet, 0..REQUESTS).await;
    assert_eq!(address_counts(&fleet).await, [2, 4, 4, 2, 4, 4]);
    end_partition(&fleet).await;
    assert_eq!(violations(&fleet, attempts, REQUESTS).await, vec![]);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_claims_a_partitioned_data_centre_runs_keys_twice() {
    let fleet = Fleet::start(FleetConfig { switch_off: &["claim"], ..config(6, 3) }).await;
    let partition = fleet.partition.clone().expect("relays");
    partition.split(&fleet, &[0, 3], &[1, 2, 4, 5]);
    // Before the first request, each side drops the members of the other side from its view.
    sleep(Duration::from_secs(4)).await;
    let attempts = send_requests(&fleet, 0..REQUESTS).await;
    end_partition(&fleet).await;
    let violations = violations(&fleet, attempts, REQUESTS).await;
    let twice = violations.iter().filter(|violation| matches!(violation, Violation::RanTwice(_)));
    assert!(twice.count() > 0, "{violations:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn both_sides_agree_on_open_runs_after_a_partition() {
    let fleet = Fleet::start(config(2, 2)).await;
    let partition = fleet.partition.clone().expect("relays");
    partition.split(&fleet, &[0], &[1]);
    sleep(Duration::from_secs(4)).await;
    // Each side first requests a slot of its own engine. One side wins the claim, and the other
    // side follows its run.
    let mut attempts = JoinSet::new();
    for n in 0..LONG_RUNS {
        for at in [n, n + 1] {
            let at = fleet.instances[at % 2].caller_address;
            let key = format!("long-{n}");
            attempts.spawn(async move {
                try_complete(at, "lookup", &key, &prompt(&key), LONG_TOKENS).await
            });
            sleep(REPEAT_AFTER).await;
        }
    }
    end_partition(&fleet).await;
    for reply in attempts.join_all().await {
        assert!(matches!(reply.outcome, CallerOutcome::Answer(_)), "{reply:?}");
    }
    for run in engine_runs(&fleet).await {
        assert_eq!(run["dispatches"], 1, "{run}");
    }
    // A home in a debug build fails an assertion at each dispatch after it has counted a second
    // dispatch of a key, so a new completion shows that it has counted none.
    let reply =
        try_complete(fleet.instances[0].caller_address, "lookup", "after", "after", 3).await;
    assert!(matches!(reply.outcome, CallerOutcome::Answer(_)), "{reply:?}");
}
