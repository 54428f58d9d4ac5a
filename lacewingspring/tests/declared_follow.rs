//! Instances apply each generation in time and never return to a lower one, despite faults of the
//! key-value service.

mod declared_common;

use std::{sync::Arc, time::Duration};

use declared_common::{KeyValueService, commit, delete_tier, policy, tier, wait_until, without};
use lacewingspring::{
    declared::{CommitError, DeclaredPolicy, DeclaredStore, Offer, SnapshotError},
    platform::key_value::KeyValue,
};
use lacewingspring_core::config::Transaction;
use serde_json::json;
use tokio::time::sleep;

/// Longest time until all instances apply a committed generation.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a key-value service and the stores of two instances, which both apply generation 1.
async fn start_pair(
    policy: DeclaredPolicy,
) -> (KeyValueService, Arc<DeclaredStore>, Arc<DeclaredStore>) {
    let service = KeyValueService::start().await;
    let (one, two) = (service.store(policy.clone()), service.store(policy));
    commit(&one, &[tier("a", 0)]).await.unwrap();
    assert!(wait_until(PROPAGATION_TIMEOUT, || two.generation() == 1).await);
    (service, one, two)
}

#[tokio::test]
async fn commit_is_applied_by_the_other_instance() {
    let (_, one, two) = start_pair(policy()).await;
    commit(&one, &[tier("b", 1), delete_tier("a")]).await.unwrap();
    assert_eq!(one.generation(), 2);
    assert!(wait_until(PROPAGATION_TIMEOUT, || two.generation() == 2).await);
    assert_eq!(two.snapshot().declared, one.snapshot().declared);
    assert!(two.catalog().tiers.contains_key("b") && !two.catalog().tiers.contains_key("a"));
}

/// Drops `lost` watch events of a commit; returns whether the other instance still applies it.
async fn applied_despite_lost_events(policy: DeclaredPolicy, lost: u64) -> bool {
    let (service, one, two) = start_pair(policy).await;
    one.set_watching(false);
    // The watch closes first, so that the fault affects only the other instance's watch.
    sleep(Duration::from_millis(50)).await;
    service.set_faults(json!({"drop_watch_events": lost})).await;
    commit(&one, &[tier("b", 1), tier("c", 2)]).await.unwrap();
    let applied = wait_until(PROPAGATION_TIMEOUT, || two.generation() == 2).await;
    assert_eq!(service.fault_value("drop_watch_events").await, 0, "the injected fault occurred");
    assert!(!applied || two.snapshot().declared == one.snapshot().declared);
    applied
}

#[tokio::test]
async fn instance_catches_up_after_lost_watch_events() {
    // A commit of two resources has four events: head, record and two resources.
    for lost in 1..=4 {
        let off = without(|on| on.catch_up = false);
        let (on, off) = tokio::join!(
            applied_despite_lost_events(policy(), lost),
            applied_despite_lost_events(off, lost)
        );
        assert!(on && !off, "{lost} events lost: applied {on} with catch_up on, {off} with it off");
    }
}

/// Makes the key-value service return stale data to an instance; returns whether the instance
/// reverted to it.
async fn reverts_on_a_stale_read(policy: DeclaredPolicy) -> bool {
    let service = KeyValueService::start().await;
    let writer = service.store(declared_common::policy());
    commit(&writer, &[tier("a", 0)]).await.unwrap();
    commit(&writer, &[tier("b", 1)]).await.unwrap();
    let reader = DeclaredStore::new(service.client(), declared_common::PREFIX, policy);
    let bytes = writer.encode_snapshot().unwrap();
    assert_eq!(reader.offer_snapshot(&bytes).unwrap(), Offer::Installed);
    // The first stale read is that of the head; the expected generation, which is higher, makes the
    // reader read all resources.
    service.set_faults(json!({"old_reads": 2})).await;
    let transaction = declared_common::transaction(&[tier("c", 2)]);
    let ahead = Transaction { expect_generation: Some(3), ..transaction };
    let result = reader.dry_run(&ahead).await;
    assert!(matches!(result, Err(CommitError::Conflict(_))), "{result:?}");
    assert_eq!(service.fault_value("old_reads").await, 0, "the injected fault occurred");
    let counts = reader.counts();
    assert!(counts.older > 0 || counts.reverted > 0, "{counts:?}");
    counts.reverted > 0
}

#[tokio::test]
async fn stale_read_is_ignored() {
    assert!(!reverts_on_a_stale_read(policy()).await);
    assert!(reverts_on_a_stale_read(without(|on| on.refuse_older = false)).await);
}

#[tokio::test]
async fn older_snapshot_is_ignored() {
    for refuse_older in [true, false] {
        let (_, one, two) = start_pair(without(|on| on.refuse_older = refuse_older)).await;
        let old = one.encode_snapshot().unwrap();
        commit(&one, &[tier("b", 1)]).await.unwrap();
        assert!(wait_until(PROPAGATION_TIMEOUT, || two.generation() == 2).await);
        let expected = if refuse_older { Offer::Known } else { Offer::Installed };
        assert_eq!(two.offer_snapshot(&old).unwrap(), expected);
        assert_eq!(two.counts().reverted > 0, !refuse_older);
        assert_eq!(two.generation(), if refuse_older { 2 } else { 1 });
    }
}

#[tokio::test]
async fn instance_started_in_an_outage_loads_a_peer_snapshot() {
    let (service, one, _) = start_pair(policy()).await;
    service.set_faults(json!({"down": true})).await;
    let started = service.store(policy());
    started.note_generation(one.generation());
    assert!(!wait_until(Duration::from_millis(300), || started.loaded()).await);
    assert!(started.encode_snapshot().is_none() && started.behind());
    assert!(started.offer_snapshot(b"{}").is_err());
    started.offer_snapshot(&one.encode_snapshot().unwrap()).unwrap();
    assert_eq!(started.snapshot().declared, one.snapshot().declared);
    service.set_faults(json!({"down": false})).await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    assert!(wait_until(PROPAGATION_TIMEOUT, || started.generation() == 2).await);
}

#[tokio::test]
async fn instance_whose_first_read_is_stale_catches_up() {
    let (service, one, _) = start_pair(policy()).await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    service.set_faults(json!({"old_reads": 1})).await;
    let started = service.store(policy());
    assert!(wait_until(PROPAGATION_TIMEOUT, || started.generation() == 2).await);
    assert_eq!(service.fault_value("old_reads").await, 0, "the injected fault occurred");
}

#[tokio::test]
async fn instance_without_a_watch_follows_its_peers() {
    let (service, one, two) = start_pair(policy()).await;
    two.set_watching(false);
    // The watch closes before the next commit.
    sleep(Duration::from_millis(50)).await;
    let before = service.calls().await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    assert!(!wait_until(Duration::from_millis(300), || two.generation() == 2).await);
    two.offer_snapshot(&one.encode_snapshot().unwrap()).unwrap();
    assert_eq!(two.generation(), 2);
    // If a peer reports a generation without a snapshot, the instance reads from the service.
    commit(&one, &[tier("c", 2)]).await.unwrap();
    two.note_generation(3);
    assert!(wait_until(PROPAGATION_TIMEOUT, || two.generation() == 3).await);
    assert_eq!(service.calls().await.watches, before.watches);
}

/// Takes the key-value service down for two seconds; returns how many calls nine instances made
/// from then until all apply a commit made after the outage.
async fn calls_over_an_outage(policy: DeclaredPolicy) -> u64 {
    let service = KeyValueService::start().await;
    let clients: Vec<_> = (0..9).map(|_| service.client()).collect();
    let start = |client: &KeyValue| {
        DeclaredStore::start_with(client.clone(), declared_common::PREFIX, policy.clone())
    };
    let stores: Vec<_> = clients.iter().map(start).collect();
    commit(&stores[0], &[tier("a", 0)]).await.unwrap();
    assert!(
        wait_until(PROPAGATION_TIMEOUT, || stores.iter().all(|store| store.generation() == 1))
            .await
    );
    let total = || clients.iter().map(|client| client.calls().total()).sum::<u64>();
    let before = total();
    service.set_faults(json!({"down": true})).await;
    sleep(Duration::from_secs(2)).await;
    service.set_faults(json!({"down": false})).await;
    commit(&stores[0], &[tier("b", 1)]).await.unwrap();
    assert!(
        wait_until(PROPAGATION_TIMEOUT, || stores.iter().all(|store| store.generation() == 2))
            .await
    );
    total() - before
}

#[tokio::test]
async fn backoff_bounds_the_calls_over_an_outage() {
    // With a backoff of 20 ms doubling to 500 ms, an instance makes at most ten attempts in the two
    // seconds of the outage. The bound leaves each of the nine instances five calls after it.
    let max_calls = 9 * 15;
    let calls = calls_over_an_outage(policy()).await;
    assert!(calls <= max_calls, "{calls} calls with backoff");
    let unbounded = calls_over_an_outage(without(|on| on.back_off = false)).await;
    assert!(unbounded > max_calls, "{unbounded} calls without backoff");
    println!("calls over an outage: {calls} with backoff, {unbounded} without");
}

#[tokio::test]
async fn commit_makes_one_read_and_one_write_however_many_watch() {
    let rare_refresh = DeclaredPolicy { refresh: Duration::from_secs(3_600), ..policy() };
    let (service, one, two) = start_pair(rare_refresh).await;
    let before = service.calls().await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    assert!(wait_until(PROPAGATION_TIMEOUT, || two.generation() == 2).await);
    sleep(Duration::from_millis(300)).await;
    let after = service.calls().await;
    let calls = [after.reads - before.reads, after.writes - before.writes];
    assert_eq!((calls, after.watches), ([1, 1], before.watches));
}

#[tokio::test]
async fn snapshot_since_a_generation_has_only_the_changes() {
    let (_, one, two) = start_pair(policy()).await;
    two.set_watching(false);
    // The watch closes before the next commit.
    sleep(Duration::from_millis(50)).await;
    let many: Vec<_> = (0..40).map(|i| tier(&format!("t{i}"), 1 + i)).collect();
    commit(&one, &many).await.unwrap();
    two.offer_snapshot(&one.encode_since(two.generation()).unwrap()).unwrap();
    let base = two.generation();
    commit(&one, &[tier("t0", 50)]).await.unwrap();
    commit(&one, &[delete_tier("t1")]).await.unwrap();
    let (changes, full) = (one.encode_since(base).unwrap(), one.encode_snapshot().unwrap());
    assert!(changes.len() * 4 < full.len(), "{} of {} bytes", changes.len(), full.len());
    assert_eq!(two.offer_snapshot(&changes).unwrap(), Offer::Installed);
    assert_eq!(two.snapshot().declared, one.snapshot().declared);
    assert_eq!(two.snapshot().history, one.snapshot().history);
    // The changes are refused on another base generation and leave the state unchanged.
    assert!(matches!(two.offer_snapshot(&changes), Err(SnapshotError::BaseMismatch(_))));
    assert_eq!(two.generation(), one.generation());
}

#[tokio::test]
async fn peer_older_than_the_history_gets_a_full_snapshot() {
    let (_, one, two) = start_pair(policy()).await;
    two.set_watching(false);
    // The watch closes before the next commit.
    sleep(Duration::from_millis(50)).await;
    let base = two.generation();
    for rank in 0..70 {
        commit(&one, &[tier("a", 100 + rank)]).await.unwrap();
    }
    assert_eq!(one.encode_since(base), one.encode_snapshot());
    assert_eq!(one.encode_since(0), one.encode_snapshot());
    two.offer_snapshot(&one.encode_since(base).unwrap()).unwrap();
    assert_eq!(two.snapshot().declared, one.snapshot().declared);
}
