//! Random histories of racing operators under faults, checked against an order of commits.

mod declared_common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use declared_common::{
    PREFIX, Service, delete_tier, policy, soon, tier, transaction, within, without,
};
use lacewingspring::{
    declared::{Author, Commit, CommitError, DeclaredPolicy, DeclaredStore},
    platform::key_value::WatchEvent,
};
use lacewingspring_core::config::{DeclaredState, DiffAction, Head, Transaction};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::sleep;

/// Instances that operators commit at.
const INSTANCES: usize = 4;

/// Transactions at each instance.
const TRANSACTIONS: usize = 25;

/// Seeds of the runs.
const SEEDS: std::ops::Range<u64> = 0..6;

/// One transaction and what its operator was told.
struct Told {
    transaction: Transaction,
    result: Result<Commit, CommitError>,
}

fn random_transaction(rng: &mut StdRng) -> Transaction {
    let names = ["a", "b", "c", "d"];
    let mut changes = Vec::new();
    let first = rng.random_range(0..names.len());
    for i in 0..rng.random_range(1..=2) {
        let name = names[(first + i) % names.len()];
        changes.push(match rng.random_bool(0.4) {
            true => delete_tier(name),
            false => tier(name, rng.random_range(0..6)),
        });
    }
    transaction(&changes)
}

/// Commits transactions at one instance; the operator's name tells them apart.
async fn operate(store: Arc<DeclaredStore>, index: usize, seed: u64) -> Vec<(String, Told)> {
    let mut rng = StdRng::seed_from_u64(seed * 100 + index as u64);
    let mut told = Vec::new();
    for i in 0..TRANSACTIONS {
        let mut transaction = random_transaction(&mut rng);
        if rng.random_bool(0.3) {
            transaction.expect_generation = Some(store.generation());
        }
        let operator = format!("{index}-{i}");
        let author = Author { operator: &operator, at_ms: 0 };
        let result = store.commit(&transaction, author).await;
        told.push((operator, Told { transaction, result }));
        sleep(Duration::from_millis(rng.random_range(0..10))).await;
    }
    told
}

/// Sets faults at random until it is dropped.
async fn disturb(service: Service, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        let fault = match rng.random_range(0..4) {
            0 => json!({"lose_replies": rng.random_range(1..3)}),
            1 => json!({"old_reads": rng.random_range(1..3)}),
            2 => json!({"drop_watch_events": rng.random_range(1..6)}),
            _ => json!({"down": true}),
        };
        service.faults(fault).await;
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
        service.faults(json!({"down": false})).await;
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Reads the records of all commits from the service's past.
async fn all_heads(service: Service, last: u64) -> Vec<Head> {
    let mut watch = service.client().watch(&format!("{PREFIX}declared/head"), 1).await.unwrap();
    let mut heads: Vec<Head> = Vec::new();
    while heads.last().is_none_or(|head| head.generation < last) {
        for event in soon(watch.next()).await.unwrap().events {
            let WatchEvent::Put(entry) = event else { continue };
            heads.push(serde_json::from_slice(&entry.value).unwrap());
        }
    }
    heads
}

/// Waits until all instances have the same generation.
async fn converged(stores: &[Arc<DeclaredStore>]) -> Result<(), String> {
    let highest = || stores.iter().map(|store| store.generation()).max();
    let same = || stores.iter().all(|store| Some(store.generation()) == highest());
    match within(Duration::from_secs(3), same).await {
        true => Ok(()),
        false => Err("an instance stays behind".into()),
    }
}

/// Makes a last commit of which no watch brings anything.
async fn commit_unseen(service: Service, stores: &[Arc<DeclaredStore>]) -> Result<Told, String> {
    converged(stores).await?;
    // All watches are open again after the longest wait.
    sleep(policy().backoff_max * 2).await;
    service.faults(json!({"drop_watch_events": 1_000})).await;
    let transaction = transaction(&[tier("last", 9)]);
    let author = Author { operator: "last", at_ms: 0 };
    let result = stores[0].commit(&transaction, author).await;
    let applied = converged(stores).await;
    service.faults(json!({"drop_watch_events": 0})).await;
    applied?;
    Ok(Told { transaction, result })
}

/// Runs a history and returns the first thing that is wrong with it.
async fn run(policy: DeclaredPolicy, seed: u64) -> Result<usize, String> {
    let service = Service::start().await;
    let stores: Vec<_> = (0..INSTANCES).map(|_| service.store(policy.clone())).collect();
    let operators = stores.iter().enumerate();
    let operators: Vec<_> =
        operators.map(|(i, store)| tokio::spawn(operate(store.clone(), i, seed))).collect();
    let disturbing = tokio::spawn(disturb(service, seed));
    let mut told = BTreeMap::new();
    for operator in operators {
        told.extend(soon(operator).await.map_err(|err| err.to_string())?);
    }
    disturbing.abort();
    let _ = disturbing.await;
    let calm = json!({"down": false, "lose_replies": 0, "old_reads": 0, "drop_watch_events": 0});
    service.faults(calm).await;
    told.insert("last".into(), commit_unseen(service, &stores).await?);
    let head = service.client().get(&format!("{PREFIX}declared/head")).await.unwrap();
    let head = head.ok_or("nothing was committed")?;
    let head: Head = serde_json::from_slice(&head.value).unwrap();
    let heads = all_heads(service, head.generation).await;
    check_order(&heads, &told)?;
    check_told(&heads, &told)?;
    converged(&stores).await?;
    for store in stores {
        let counts = store.counts();
        if counts.reverted + counts.divergent > 0 {
            return Err(format!("{counts:?}"));
        }
    }
    Ok(heads.len())
}

/// Replays the commits: each is valid where it stands and leads to the recorded state.
fn check_order(heads: &[Head], told: &BTreeMap<String, Told>) -> Result<(), String> {
    let mut declared = DeclaredState::default();
    for head in heads {
        let transaction = &told[&head.operator].transaction;
        let next = declared.apply(transaction).map_err(|it| format!("{head:?}: {it:?}"))?;
        if next.generation != head.generation || next.digest() != head.digest {
            return Err(format!("{head:?} is not the next commit"));
        }
        declared = next;
    }
    Ok(())
}

/// Compares what the operators were told with what took effect.
fn check_told(heads: &[Head], told: &BTreeMap<String, Told>) -> Result<(), String> {
    for (operator, Told { result, .. }) in told {
        let own = heads.iter().filter(|head| head.operator == *operator);
        let own: Vec<u64> = own.map(|head| head.generation).collect();
        let truthful = match result {
            Ok(commit) if commit.diff.iter().all(|it| it.action == DiffAction::None) => {
                own.is_empty()
            }
            Ok(commit) => own == [commit.generation],
            Err(CommitError::Unknown(_)) => own.len() <= 1,
            Err(_) => own.is_empty(),
        };
        if !truthful {
            return Err(format!("{operator} was told {result:?} of generations {own:?}"));
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn histories_have_one_order_and_operators_are_told_the_truth() {
    for seed in SEEDS {
        match run(policy(), seed).await {
            Ok(commits) => println!("seed {seed}: {commits} commits"),
            Err(fault) => panic!("seed {seed}: {fault}"),
        }
    }
}

/// Tells whether a run of some seed fails the check.
async fn some_run_fails(policy: DeclaredPolicy) -> bool {
    for seed in SEEDS {
        if run(policy.clone(), seed).await.is_err() {
            return true;
        }
    }
    false
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_check_finds_what_the_mechanisms_prevent() {
    assert!(some_run_fails(without(|on| on.compare_head = false)).await);
    assert!(some_run_fails(without(|on| on.settle_lost_replies = false)).await);
    assert!(some_run_fails(without(|on| on.catch_up = false)).await);
}
