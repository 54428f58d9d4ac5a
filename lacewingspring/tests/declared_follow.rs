//! Instances apply each generation in time and never a lower one, whatever the service does.

mod declared_common;

use std::{sync::Arc, time::Duration};

use declared_common::{Service, commit, delete_tier, policy, tier, within, without};
use lacewingspring::{
    declared::{CommitError, DeclaredPolicy, DeclaredStore, Offer, SnapshotError},
    platform::key_value::KeyValue,
};
use lacewingspring_core::config::Transaction;
use serde_json::json;
use tokio::time::sleep;

/// Time in which a generation is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Starts two instances with a first generation in force.
async fn pair(policy: DeclaredPolicy) -> (Service, Arc<DeclaredStore>, Arc<DeclaredStore>) {
    let service = Service::start().await;
    let (one, two) = (service.store(policy.clone()), service.store(policy));
    commit(&one, &[tier("a", 0)]).await.unwrap();
    assert!(within(IN_FORCE, || two.generation() == 1).await);
    (service, one, two)
}

#[tokio::test]
async fn a_commit_is_in_force_elsewhere() {
    let (_, one, two) = pair(policy()).await;
    commit(&one, &[tier("b", 1), delete_tier("a")]).await.unwrap();
    assert_eq!(one.generation(), 2);
    assert!(within(IN_FORCE, || two.generation() == 2).await);
    assert_eq!(two.snapshot().declared, one.snapshot().declared);
    assert!(two.catalog().tiers.contains_key("b") && !two.catalog().tiers.contains_key("a"));
}

/// Loses events of a commit's watch batch; returns whether the other instance still applies it.
async fn applied_despite_lost_events(policy: DeclaredPolicy, lost: u64) -> bool {
    let (service, one, two) = pair(policy).await;
    one.set_watching(false);
    // Only the other instance's watch is to meet the fault.
    sleep(Duration::from_millis(50)).await;
    service.faults(json!({"drop_watch_events": lost})).await;
    commit(&one, &[tier("b", 1), tier("c", 2)]).await.unwrap();
    let applied = within(IN_FORCE, || two.generation() == 2).await;
    assert_eq!(service.fault("drop_watch_events").await, 0, "the fault was met");
    assert!(!applied || two.snapshot().declared == one.snapshot().declared);
    applied
}

#[tokio::test]
async fn a_watch_that_misses_events_is_noticed() {
    // A commit of two resources has four events: head, record and two resources.
    for lost in 1..=4 {
        let off = without(|on| on.catch_up = false);
        let (on, off) = tokio::join!(
            applied_despite_lost_events(policy(), lost),
            applied_despite_lost_events(off, lost)
        );
        assert!(on && !off, "{lost} events lost: {on}, {off} without catching up");
    }
}

/// Lets the service answer a read of an instance from the past; returns whether that came into
/// force.
async fn reverts_on_an_old_read(policy: DeclaredPolicy) -> bool {
    let service = Service::start().await;
    let writer = service.store(declared_common::policy());
    commit(&writer, &[tier("a", 0)]).await.unwrap();
    commit(&writer, &[tier("b", 1)]).await.unwrap();
    let reader = DeclaredStore::new(service.client(), declared_common::PREFIX, policy);
    let bytes = writer.encode_snapshot().unwrap();
    assert_eq!(reader.offer_snapshot(&bytes).unwrap(), Offer::Installed);
    // The first old read is of the head; the peer's claim makes the reader read everything.
    service.faults(json!({"old_reads": 2})).await;
    let transaction = declared_common::transaction(&[tier("c", 2)]);
    let ahead = Transaction { expect_generation: Some(3), ..transaction };
    let result = reader.dry_run(&ahead).await;
    assert!(matches!(result, Err(CommitError::Conflict(_))), "{result:?}");
    assert_eq!(service.fault("old_reads").await, 0, "the fault was met");
    let counts = reader.counts();
    assert!(counts.older > 0 || counts.reverted > 0, "{counts:?}");
    counts.reverted > 0
}

#[tokio::test]
async fn an_old_read_is_ignored() {
    assert!(!reverts_on_an_old_read(policy()).await);
    assert!(reverts_on_an_old_read(without(|on| on.refuse_older = false)).await);
}

#[tokio::test]
async fn an_older_offer_is_ignored() {
    for refuse_older in [true, false] {
        let (_, one, two) = pair(without(|on| on.refuse_older = refuse_older)).await;
        let old = one.encode_snapshot().unwrap();
        commit(&one, &[tier("b", 1)]).await.unwrap();
        assert!(within(IN_FORCE, || two.generation() == 2).await);
        let expected = if refuse_older { Offer::Known } else { Offer::Installed };
        assert_eq!(two.offer_snapshot(&old).unwrap(), expected);
        assert_eq!(two.counts().reverted > 0, !refuse_older);
        assert_eq!(two.generation(), if refuse_older { 2 } else { 1 });
    }
}

#[tokio::test]
async fn an_instance_born_in_an_outage_learns_from_a_peer() {
    let (service, one, _) = pair(policy()).await;
    service.faults(json!({"down": true})).await;
    let born = service.store(policy());
    born.note_generation(one.generation());
    assert!(!within(Duration::from_millis(300), || born.loaded()).await);
    assert!(born.encode_snapshot().is_none() && born.behind());
    assert!(born.offer_snapshot(b"{}").is_err());
    born.offer_snapshot(&one.encode_snapshot().unwrap()).unwrap();
    assert_eq!(born.snapshot().declared, one.snapshot().declared);
    service.faults(json!({"down": false})).await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    assert!(within(IN_FORCE, || born.generation() == 2).await);
}

#[tokio::test]
async fn an_instance_whose_first_read_is_old_catches_up() {
    let (service, one, _) = pair(policy()).await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    service.faults(json!({"old_reads": 1})).await;
    let born = service.store(policy());
    assert!(within(IN_FORCE, || born.generation() == 2).await);
    assert_eq!(service.fault("old_reads").await, 0, "the fault was met");
}

#[tokio::test]
async fn an_instance_that_does_not_watch_learns_from_its_peers() {
    let (service, one, two) = pair(policy()).await;
    two.set_watching(false);
    sleep(Duration::from_millis(50)).await;
    let quiet = service.calls().await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    assert!(!within(Duration::from_millis(300), || two.generation() == 2).await);
    two.offer_snapshot(&one.encode_snapshot().unwrap()).unwrap();
    assert_eq!(two.generation(), 2);
    // Without an offer, a generation that a peer applies is read from the service.
    commit(&one, &[tier("c", 2)]).await.unwrap();
    two.note_generation(3);
    assert!(within(IN_FORCE, || two.generation() == 3).await);
    assert_eq!(service.calls().await.watches, quiet.watches);
}

/// Holds the service down for a while; returns the calls that `instances` made by the time they
/// all apply a commit made on its return.
async fn calls_over_an_outage(policy: DeclaredPolicy) -> u64 {
    let service = Service::start().await;
    let clients: Vec<_> = (0..9).map(|_| service.client()).collect();
    let start = |client: &KeyValue| {
        DeclaredStore::start_with(client.clone(), declared_common::PREFIX, policy.clone())
    };
    let stores: Vec<_> = clients.iter().map(start).collect();
    commit(&stores[0], &[tier("a", 0)]).await.unwrap();
    assert!(within(IN_FORCE, || stores.iter().all(|store| store.generation() == 1)).await);
    let total = || clients.iter().map(|client| client.calls().total()).sum::<u64>();
    let before = total();
    service.faults(json!({"down": true})).await;
    sleep(Duration::from_secs(2)).await;
    service.faults(json!({"down": false})).await;
    commit(&stores[0], &[tier("b", 1)]).await.unwrap();
    assert!(within(IN_FORCE, || stores.iter().all(|store| store.generation() == 2)).await);
    total() - before
}

#[tokio::test]
async fn an_outage_ends_without_a_storm() {
    // Two seconds at waits of 20 ms doubling to 500 ms are at most ten tries an instance.
    let most = 9 * 15;
    let calls = calls_over_an_outage(policy()).await;
    assert!(calls <= most, "{calls} calls");
    let storm = calls_over_an_outage(without(|on| on.back_off = false)).await;
    assert!(storm > most, "{storm} calls");
    println!("calls over an outage: {calls} with backoff, {storm} without");
}

#[tokio::test]
async fn a_commit_costs_one_read_and_one_write_whoever_watches() {
    let quiet = DeclaredPolicy { refresh: Duration::from_secs(3_600), ..policy() };
    let (service, one, two) = pair(quiet).await;
    let before = service.calls().await;
    commit(&one, &[tier("b", 1)]).await.unwrap();
    assert!(within(IN_FORCE, || two.generation() == 2).await);
    sleep(Duration::from_millis(300)).await;
    let after = service.calls().await;
    let calls = [after.reads - before.reads, after.writes - before.writes];
    assert_eq!((calls, after.watches), ([1, 1], before.watches));
}

#[tokio::test]
async fn peers_hand_each_other_only_what_changed() {
    let (_, one, two) = pair(policy()).await;
    two.set_watching(false);
    sleep(Duration::from_millis(50)).await;
    let many: Vec<_> = (0..40).map(|i| tier(&format!("t{i}"), 1 + i)).collect();
    commit(&one, &many).await.unwrap();
    two.offer_snapshot(&one.encode_since(two.generation()).unwrap()).unwrap();
    let base = two.generation();
    commit(&one, &[tier("t0", 50)]).await.unwrap();
    commit(&one, &[delete_tier("t1")]).await.unwrap();
    let (changes, whole) = (one.encode_since(base).unwrap(), one.encode_snapshot().unwrap());
    assert!(changes.len() * 4 < whole.len(), "{} of {} bytes", changes.len(), whole.len());
    assert_eq!(two.offer_snapshot(&changes).unwrap(), Offer::Installed);
    assert_eq!(two.snapshot().declared, one.snapshot().declared);
    assert_eq!(two.snapshot().history, one.snapshot().history);
    // The same changes fit no other base, and leave the state as it is.
    assert!(matches!(two.offer_snapshot(&changes), Err(SnapshotError::BaseMismatch(_))));
    assert_eq!(two.generation(), one.generation());
}

#[tokio::test]
async fn a_peer_that_is_too_far_behind_gets_the_whole_state() {
    let (_, one, two) = pair(policy()).await;
    two.set_watching(false);
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
