//! Random concurrent transactions under faults, checked against the order of commits.

mod declared_common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use declared_common::{
    KeyValueService, PREFIX, delete_tier, policy, tier, transaction, wait_until, with_deadline,
    without,
};
use lacewingspring::{
    declared::{Author, Commit, CommitError, DeclaredPolicy, DeclaredStore},
    platform::key_value::WatchEvent,
};
use lacewingspring_core::config::{DeclaredState, DiffAction, Head, Transaction};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::sleep;

/// Number of instances; one operator commits at each.
const INSTANCES: usize = 4;

/// Number of transactions at each instance.
const TRANSACTIONS: usize = 25;

/// Seeds of the random histories; each seed gives one history.
const SEEDS: std::ops::Range<u64> = 0..6;

/// A transaction and the result that its operator got.
struct SubmittedTransaction {
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

/// Commits random transactions at one instance, each under an operator name of its own, by which
/// the checks identify it.
async fn run_operator(
    store: Arc<DeclaredStore>,
    index: usize,
    seed: u64,
) -> Vec<(String, SubmittedTransaction)> {
    let mut rng = StdRng::seed_from_u64(seed * 100 + index as u64);
    let mut submitted = Vec::new();
    for i in 0..TRANSACTIONS {
        let mut transaction = random_transaction(&mut rng);
        if rng.random_bool(0.3) {
            transaction.expect_generation = Some(store.generation());
        }
        let operator = format!("{index}-{i}");
        let author = Author { operator: &operator, at_ms: 0 };
        let result = store.commit(&transaction, author).await;
        submitted.push((operator, SubmittedTransaction { transaction, result }));
        sleep(Duration::from_millis(rng.random_range(0..10))).await;
    }
    submitted
}

/// Injects random faults until its task is aborted.
async fn inject_faults(service: KeyValueService, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        let fault = match rng.random_range(0..4) {
            0 => json!({"lose_replies": rng.random_range(1..3)}),
            1 => json!({"old_reads": rng.random_range(1..3)}),
            2 => json!({"drop_watch_events": rng.random_range(1..6)}),
            _ => json!({"down": true}),
        };
        service.set_faults(fault).await;
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
        service.set_faults(json!({"down": false})).await;
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Reads the records of all commits from the service's revision history.
async fn all_heads(service: KeyValueService, last: u64) -> Vec<Head> {
    let mut watch = service.client().watch(&format!("{PREFIX}declared/head"), 1).await.unwrap();
    let mut heads: Vec<Head> = Vec::new();
    while heads.last().is_none_or(|head| head.generation < last) {
        for event in with_deadline(watch.next()).await.unwrap().events {
            let WatchEvent::Put(entry) = event else { continue };
            heads.push(serde_json::from_slice(&entry.value).unwrap());
        }
    }
    heads
}

/// Waits until all instances have the same generation.
async fn wait_for_convergence(stores: &[Arc<DeclaredStore>]) -> Result<(), String> {
    let highest = || stores.iter().map(|store| store.generation()).max();
    let same = || stores.iter().all(|store| Some(store.generation()) == highest());
    match wait_until(Duration::from_secs(3), same).await {
        true => Ok(()),
        false => Err("instances do not apply the same generation after 3 s".into()),
    }
}

/// Makes a last commit while all its watch events are dropped.
async fn commit_without_watch_events(
    service: KeyValueService,
    stores: &[Arc<DeclaredStore>],
) -> Result<SubmittedTransaction, String> {
    wait_for_convergence(stores).await?;
    // Twice the longest backoff, after which all watches are open again.
    sleep(policy().backoff_max * 2).await;
    service.set_faults(json!({"drop_watch_events": 1_000})).await;
    let transaction = transaction(&[tier("last", 9)]);
    let author = Author { operator: "last", at_ms: 0 };
    let result = stores[0].commit(&transaction, author).await;
    let applied = wait_for_convergence(stores).await;
    service.set_faults(json!({"drop_watch_events": 0})).await;
    applied?;
    Ok(SubmittedTransaction { transaction, result })
}

/// Runs one random history and checks it; returns the number of commits, or the first violation.
async fn run_history(policy: DeclaredPolicy, seed: u64) -> Result<usize, String> {
    let service = KeyValueService::start().await;
    let stores: Vec<_> = (0..INSTANCES).map(|_| service.store(policy.clone())).collect();
    let operators = stores.iter().enumerate();
    let operators: Vec<_> =
        operators.map(|(i, store)| tokio::spawn(run_operator(store.clone(), i, seed))).collect();
    let fault_injector = tokio::spawn(inject_faults(service, seed));
    let mut submitted = BTreeMap::new();
    for operator in operators {
        submitted.extend(with_deadline(operator).await.map_err(|err| err.to_string())?);
    }
    fault_injector.abort();
    let _ = fault_injector.await;
    let no_faults =
        json!({"down": false, "lose_replies": 0, "old_reads": 0, "drop_watch_events": 0});
    service.set_faults(no_faults).await;
    submitted.insert("last".into(), commit_without_watch_events(service, &stores).await?);
    let head = service.client().get(&format!("{PREFIX}declared/head")).await.unwrap();
    let head = head.ok_or("no commit took effect")?;
    let head: Head = serde_json::from_slice(&head.value).unwrap();
    let heads = all_heads(service, head.generation).await;
    check_order(&heads, &submitted)?;
    check_results(&heads, &submitted)?;
    wait_for_convergence(&stores).await?;
    for store in stores {
        let counts = store.counts();
        if counts.reverted + counts.divergent > 0 {
            return Err(format!("{counts:?}"));
        }
    }
    Ok(heads.len())
}

/// Replays the commits in order: each must be valid and lead to its recorded state.
fn check_order(
    heads: &[Head],
    submitted: &BTreeMap<String, SubmittedTransaction>,
) -> Result<(), String> {
    let mut declared = DeclaredState::default();
    for head in heads {
        let transaction = &submitted[&head.operator].transaction;
        let next = declared.apply(transaction).map_err(|it| format!("{head:?}: {it:?}"))?;
        if next.generation != head.generation || next.digest() != head.digest {
            return Err(format!("{head:?} does not follow from the commit before it"));
        }
        declared = next;
    }
    Ok(())
}

/// Compares the results that the operators got with the commits that took effect.
fn check_results(
    heads: &[Head],
    submitted: &BTreeMap<String, SubmittedTransaction>,
) -> Result<(), String> {
    for (operator, SubmittedTransaction { result, .. }) in submitted {
        let own = heads.iter().filter(|head| head.operator == *operator);
        let own: Vec<u64> = own.map(|head| head.generation).collect();
        let correct = match result {
            Ok(commit) if commit.diff.iter().all(|it| it.action == DiffAction::None) => {
                own.is_empty()
            }
            Ok(commit) => own == [commit.generation],
            Err(CommitError::Unknown(_)) => own.len() <= 1,
            Err(_) => own.is_empty(),
        };
        if !correct {
            return Err(format!(
                "operator {operator} got {result:?}, but committed generations {own:?}"
            ));
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commits_have_one_order_and_operators_get_correct_results() {
    for seed in SEEDS {
        match run_history(policy(), seed).await {
            Ok(commits) => println!("seed {seed}: {commits} commits"),
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
}

/// Returns whether the history of any seed fails a check.
async fn any_history_fails(policy: DeclaredPolicy) -> bool {
    for seed in SEEDS {
        if run_history(policy.clone(), seed).await.is_err() {
            return true;
        }
    }
    false
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn checks_fail_with_a_mechanism_off() {
    assert!(any_history_fails(without(|on| on.compare_head = false)).await);
    assert!(any_history_fails(without(|on| on.settle_lost_replies = false)).await);
    assert!(any_history_fails(without(|on| on.catch_up = false)).await);
}
