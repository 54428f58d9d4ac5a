//! Instances that can't reach each other, in one direction or both: nothing runs twice, and no
//! answer is wrong or crossed.

use std::{collections::BTreeMap, time::Duration};

use lacewingspring_standins::engine::answer;
use tokio::{task::JoinSet, time::sleep};

use crate::support::{
    Fleet, FleetConfig,
    caller::{Reply, engine_runs, plain_runs, try_book, try_complete, upstream_id},
    history::{CallerOutcome, History, Runs, Violation},
};

mod support;

/// Requests that are sent while instances are cut off.
const REQUESTS: usize = 40;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a caller repeats its request at another instance.
const REPEAT_AFTER: Duration = Duration::from_millis(120);

/// Longest time after a cut ends until all is well again.
const HEALED_WITHIN: Duration = Duration::from_secs(8);

/// Output tokens of a completion.
const TOKENS: u32 = 20;

/// Requests that still run when a cut ends.
const LONG_RUNS: usize = 6;

/// Output tokens of these.
const LONG_TOKENS: u32 = 400;

/// One attempt of a request.
#[derive(Debug)]
struct Ended {
    key: String,
    reply: Reply,
}

fn prompt(key: &str) -> String {
    format!("plot of {key} at the lake")
}

/// Sends one request to an instance: an odd one books, an even one asks for a completion.
fn send(asking: &mut JoinSet<Ended>, fleet: &Fleet, n: usize, at: usize, after: Duration) {
    let at = fleet.instances[at % fleet.instances.len()].caller_address;
    asking.spawn(async move {
        sleep(after).await;
        let key = format!("key-{n}");
        let reply = if n % 2 == 1 {
            try_book(at, &key, n as u64).await
        } else {
            try_complete(at, "lookup", &key, &prompt(&key), TOKENS).await
        };
        Ended { key, reply }
    });
}

/// Sends requests one after the other, each at one instance and soon after at another.
async fn press(fleet: &Fleet, numbers: std::ops::Range<usize>) -> JoinSet<Ended> {
    let mut asking = JoinSet::new();
    for n in numbers {
        send(&mut asking, fleet, n, n, Duration::ZERO);
        send(&mut asking, fleet, n, n + 1, REPEAT_AFTER);
        sleep(INTERVAL).await;
    }
    asking
}

/// Runs of each key at all upstreams.
async fn runs(fleet: &Fleet, keys: usize) -> Runs {
    let mut runs = plain_runs(fleet).await;
    let mut completions: BTreeMap<String, u64> = BTreeMap::new();
    for run in engine_runs(fleet).await {
        let count = |field: &str| run[field].as_u64().unwrap_or_default();
        let id = run["id"].as_str().unwrap_or_default().to_owned();
        *completions.entry(id).or_default() += count("dispatches") - count("resumptions");
    }
    for key in (0..keys).map(|n| format!("key-{n}")) {
        if let Some(count) = completions.get(&upstream_id(&key)) {
            runs.0.insert(key, *count);
        }
    }
    runs
}

fn told_name(told: &CallerOutcome) -> String {
    let text = format!("{told:?}");
    text.split('(').next().unwrap_or_default().to_owned()
}

/// Returns which promises were broken.
async fn broken(fleet: &Fleet, asking: JoinSet<Ended>, keys: usize) -> Vec<Violation> {
    let mut history = History::default();
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    for Ended { key, reply } in asking.join_all().await {
        let name = if reply.kind.is_empty() { told_name(&reply.outcome) } else { reply.kind };
        *told.entry(name).or_default() += 1;
        let completion = key.trim_start_matches("key-").parse::<usize>().is_ok_and(|n| n % 2 == 0);
        let expected = completion.then(|| answer(&prompt(&key), u64::from(TOKENS)));
        // An attempt that is refused as not run says so of itself: the other may run the key.
        let of_key = reply.outcome != CallerOutcome::NotRun;
        if of_key {
            history.add(&key, expected, reply.outcome);
        }
    }
    println!("told {told:?}");
    history.check(&runs(fleet, keys).await)
}

/// Numbers of addresses that the instances name to callers, by index.
async fn seen(fleet: &Fleet) -> Vec<usize> {
    let mut seen = Vec::new();
    for instance in &fleet.instances {
        let answer =
            support::get(instance.caller_address, "/v1/addresses").await.expect("addresses");
        seen.push(answer.json()["addresses"].as_array().map_or(0, Vec::len));
    }
    seen
}

/// Waits until a fresh request at each instance is answered, and returns how long it took.
async fn heal(fleet: &Fleet) {
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
            assert!(start.elapsed() < HEALED_WITHIN, "{reply:?} at {}", instance.name);
            sleep(Duration::from_millis(100)).await;
        }
    }
    fleet.wait_until_ready(fleet.instances.len()).await;
    assert!(start.elapsed() < HEALED_WITHIN, "healed after {:?}", start.elapsed());
}

fn plan(instances: usize, data_centres: usize) -> FleetConfig {
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
async fn runs_nothing_twice_while_one_instance_is_heard_by_none() {
    let fleet = Fleet::start(plan(4, 1)).await;
    let partition = fleet.partition.clone().expect("relays");
    for other in 1..4 {
        partition.block(&fleet, 0, other);
    }
    let asking = press(&fleet, 0..REQUESTS).await;
    assert_eq!(seen(&fleet).await, [1, 3, 3, 3]);
    heal(&fleet).await;
    assert_eq!(broken(&fleet, asking, REQUESTS).await, vec![]);
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_nothing_twice_while_one_instance_hears_no_other() {
    let fleet = Fleet::start(plan(4, 1)).await;
    let partition = fleet.partition.clone().expect("relays");
    for other in 1..4 {
        partition.block(&fleet, other, 0);
    }
    let asking = press(&fleet, 0..REQUESTS).await;
    assert_eq!(seen(&fleet).await, [1, 3, 3, 3]);
    heal(&fleet).await;
    assert_eq!(broken(&fleet, asking, REQUESTS).await, vec![]);
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_nothing_twice_while_a_data_centre_is_parted() {
    let fleet = Fleet::start(plan(6, 3)).await;
    let partition = fleet.partition.clone().expect("relays");
    // Instances 0 and 3 are in the first data centre.
    partition.split(&fleet, &[0, 3], &[1, 2, 4, 5]);
    let asking = press(&fleet, 0..REQUESTS).await;
    assert_eq!(seen(&fleet).await, [2, 4, 4, 2, 4, 4]);
    heal(&fleet).await;
    assert_eq!(broken(&fleet, asking, REQUESTS).await, vec![]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_parted_data_centre_runs_keys_twice_without_claims() {
    let fleet = Fleet::start(FleetConfig { switch_off: &["claim"], ..plan(6, 3) }).await;
    let partition = fleet.partition.clone().expect("relays");
    partition.split(&fleet, &[0, 3], &[1, 2, 4, 5]);
    // Both sides hold the others to be gone before the first request.
    sleep(Duration::from_secs(4)).await;
    let asking = press(&fleet, 0..REQUESTS).await;
    heal(&fleet).await;
    let broken = broken(&fleet, asking, REQUESTS).await;
    let twice = broken.iter().filter(|violation| matches!(violation, Violation::RanTwice(_)));
    assert!(twice.count() > 0, "{broken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn both_sides_agree_afterwards_on_what_still_runs() {
    let fleet = Fleet::start(plan(2, 2)).await;
    let partition = fleet.partition.clone().expect("relays");
    partition.split(&fleet, &[0], &[1]);
    sleep(Duration::from_secs(4)).await;
    // Each side asks its own engine first; one claim decides, and the other side takes that run up.
    let mut asking = JoinSet::new();
    for n in 0..LONG_RUNS {
        for at in [n, n + 1] {
            let at = fleet.instances[at % 2].caller_address;
            let key = format!("long-{n}");
            asking.spawn(async move {
                try_complete(at, "lookup", &key, &prompt(&key), LONG_TOKENS).await
            });
            sleep(REPEAT_AFTER).await;
        }
    }
    heal(&fleet).await;
    for reply in asking.join_all().await {
        assert!(matches!(reply.outcome, CallerOutcome::Answer(_)), "{reply:?}");
    }
    for run in engine_runs(&fleet).await {
        assert_eq!(run["dispatches"], 1, "{run}");
    }
    // A home that counted two dispatches of a key answers no dispatch any more under test.
    let told = try_complete(fleet.instances[0].caller_address, "lookup", "after", "after", 3).await;
    assert!(matches!(told.outcome, CallerOutcome::Answer(_)), "{told:?}");
}
