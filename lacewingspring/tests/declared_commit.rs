//! Concurrent commits of several operators, and commits whose reply is lost.

mod declared_common;

use std::{sync::Arc, time::Duration};

use declared_common::{
    KeyValueService, PREFIX, commit, delete_tier, policy, tier, transaction, with_deadline, without,
};
use lacewingspring::declared::{
    Author, Commit, CommitError, DeclaredPolicy, DeclaredStore, Mechanisms,
};
use lacewingspring_core::config::{Head, Transaction};
use serde_json::json;
use tokio::time::sleep;

/// Delay of the key-value service's responses in milliseconds, long enough that two operators read
/// before either writes.
const RESPONSE_DELAY_MS: u64 = 30;

/// Starts a key-value service and the stores of two instances, and commits the tiers `a` and `b`.
async fn start_with_two_tiers(
    policy: DeclaredPolicy,
) -> (KeyValueService, Arc<DeclaredStore>, Arc<DeclaredStore>) {
    let service = KeyValueService::start().await;
    let (one, two) = (service.store(policy.clone()), service.store(policy));
    commit(&one, &[tier("a", 0), tier("b", 1)]).await.unwrap();
    (service, one, two)
}

/// Returns the retained commit records, oldest first.
async fn records(service: KeyValueService) -> Vec<Head> {
    let range = service.client().range(&format!("{PREFIX}declared/history/")).await.unwrap();
    range.entries.iter().map(|entry| serde_json::from_slice(&entry.value).unwrap()).collect()
}

/// Deletes `a` at one instance and `b` at the other at the same time; returns how many tiers
/// remain.
async fn tiers_after_concurrent_deletes(policy: DeclaredPolicy) -> usize {
    let (service, one, two) = start_with_two_tiers(policy).await;
    service.set_faults(json!({"delay_ms": RESPONSE_DELAY_MS})).await;
    let (first, second) = ([delete_tier("a")], [delete_tier("b")]);
    let (first, second) =
        with_deadline(async { tokio::join!(commit(&one, &first), commit(&two, &second)) }).await;
    let refused = |result: &Result<Commit, CommitError>| {
        matches!(result, Err(CommitError::Invalid(_) | CommitError::Conflict(_)))
    };
    let accepted = usize::from(first.is_ok()) + usize::from(second.is_ok());
    assert_eq!(accepted + usize::from(refused(&first)) + usize::from(refused(&second)), 2);
    let tiers = service.client().range(&format!("{PREFIX}declared/resources/tier/")).await;
    tiers.unwrap().entries.len()
}

// At least one tier is required. Each delete is valid by itself; both together break the
// constraint. With `compare_head` off, both take effect.
#[tokio::test]
async fn concurrent_commits_cannot_break_a_constraint_together() {
    assert_eq!(tiers_after_concurrent_deletes(policy()).await, 1);
    assert_eq!(tiers_after_concurrent_deletes(without(|on| on.compare_head = false)).await, 0);
}

#[tokio::test]
async fn conflict_lists_the_resources_that_the_other_commit_changed() {
    let (service, one, two) = start_with_two_tiers(policy()).await;
    let expecting =
        |changes: &[_]| Transaction { expect_generation: Some(1), ..transaction(changes) };
    service.set_faults(json!({"delay_ms": RESPONSE_DELAY_MS})).await;
    let (first, second) = (expecting(&[tier("c", 2)]), expecting(&[tier("d", 3)]));
    let author = Author { operator: "ann", at_ms: 0 };
    let (first, second) = with_deadline(async {
        tokio::join!(one.commit(&first, author), two.commit(&second, author))
    })
    .await;
    let (winner, loser) = if first.is_ok() { (first, second) } else { (second, first) };
    let Err(CommitError::Conflict(conflict)) = loser else { panic!("{loser:?}") };
    assert_eq!((winner.unwrap().generation, conflict.generation), (2, 2));
    assert_eq!(conflict.changed.len(), 1);
    assert_eq!(records(service).await[1].changed, conflict.changed);
}

#[tokio::test]
async fn concurrent_commits_of_different_resources_both_take_effect() {
    let (service, one, two) = start_with_two_tiers(policy()).await;
    service.set_faults(json!({"delay_ms": RESPONSE_DELAY_MS})).await;
    let (first, second) = ([tier("c", 2)], [tier("d", 3)]);
    let (first, second) =
        with_deadline(async { tokio::join!(commit(&one, &first), commit(&two, &second)) }).await;
    let mut generations = [first.unwrap().generation, second.unwrap().generation];
    generations.sort_unstable();
    assert_eq!(generations, [2, 3]);
}

// Settling is the search for the outcome of a write whose reply was lost.
#[tokio::test]
async fn commit_with_a_lost_reply_is_settled() {
    for settle_lost_replies in [true, false] {
        let (service, one, _) =
            start_with_two_tiers(without(|on| on.settle_lost_replies = settle_lost_replies)).await;
        service.set_faults(json!({"lose_replies": 1})).await;
        let result = commit(&one, &[tier("c", 2)]).await;
        assert_eq!(service.fault_value("lose_replies").await, 0, "the injected fault occurred");
        assert_eq!(records(service).await.len(), 2, "the commit is applied once");
        // Without settling, a commit that took effect is reported as not applied.
        assert_eq!(
            matches!(result, Ok(Commit { generation: 2, .. })),
            settle_lost_replies,
            "{result:?}"
        );
    }
}

/// Returns a policy whose waits between settle attempts start at 400 ms, in which another commit
/// can finish.
fn policy_with_slow_settling(settle_attempts: u32) -> DeclaredPolicy {
    DeclaredPolicy { backoff_min: Duration::from_millis(400), settle_attempts, ..policy() }
}

// When the first commit looks for its outcome, the head is already that of a later commit. It must
// find its own record by the generation.
#[tokio::test]
async fn commit_with_a_lost_reply_is_settled_despite_a_later_commit() {
    let (service, one, two) = start_with_two_tiers(policy_with_slow_settling(6)).await;
    service.set_faults(json!({"lose_replies": 1})).await;
    let changes = [tier("c", 2)];
    let (first, second) = with_deadline(async {
        tokio::join!(commit(&one, &changes), async {
            while service.fault_value("lose_replies").await != 0 {
                sleep(Duration::from_millis(5)).await;
            }
            commit(&two, &[tier("d", 3)]).await
        })
    })
    .await;
    assert_eq!((first.unwrap().generation, second.unwrap().generation), (2, 3));
    assert_eq!(records(service).await.len(), 3);
}

// The first commit does not know the outcome of its write, and another commit takes the generation
// that it wanted. Settling must not mistake that commit for its own.
#[tokio::test]
async fn lost_write_reports_a_conflict_after_another_commit() {
    let (service, one, two) = start_with_two_tiers(policy_with_slow_settling(6)).await;
    service.set_faults(json!({"delay_ms": 100})).await;
    let stale = Transaction { expect_generation: Some(1), ..transaction(&[tier("c", 2)]) };
    let author = Author { operator: "ann", at_ms: 0 };
    let (first, second) = with_deadline(async {
        tokio::join!(one.commit(&stale, author), async {
            // With responses delayed by 100 ms, the first commit has read the head and sent its
            // write after 150 ms.
            sleep(Duration::from_millis(150)).await;
            service.set_faults(json!({"down": true})).await;
            sleep(Duration::from_millis(100)).await;
            service.set_faults(json!({"down": false, "delay_ms": 0})).await;
            commit(&two, &[tier("d", 3)]).await
        })
    })
    .await;
    assert_eq!(second.unwrap().generation, 2);
    let Err(CommitError::Conflict(conflict)) = first else { panic!("{first:?}") };
    assert_eq!(conflict.changed.len(), 1);
    assert_eq!(conflict.changed[0].name, "d");
}

#[tokio::test]
async fn commit_that_cannot_be_settled_is_reported_as_unknown() {
    let (service, one, two) = start_with_two_tiers(policy()).await;
    service.set_faults(json!({"lose_replies": 1_000})).await;
    let result = commit(&one, &[tier("c", 2)]).await;
    assert!(matches!(result, Err(CommitError::Unknown(_))), "{result:?}");
    service.set_faults(json!({"lose_replies": 0})).await;
    // The commit with the unknown outcome took effect as generation 2.
    assert_eq!(commit(&two, &[tier("d", 3)]).await.unwrap().generation, 3);
    assert_eq!(records(service).await.len(), 3);
}

// The key-value service and the instances retain the last 64 commit records.
#[tokio::test]
async fn old_commit_records_are_removed() {
    let (service, one, _) = start_with_two_tiers(policy()).await;
    for rank in 2..80 {
        commit(&one, &[tier("c", rank)]).await.unwrap();
    }
    let generations: Vec<u64> = records(service).await.iter().map(|it| it.generation).collect();
    assert_eq!(generations, (16..=79).collect::<Vec<_>>());
    assert_eq!(one.snapshot().history.len(), 64);
}

#[test]
fn default_policy_has_all_mechanisms_on() {
    let all = Mechanisms {
        compare_head: true,
        settle_lost_replies: true,
        refuse_older: true,
        catch_up: true,
        back_off: true,
    };
    assert_eq!(DeclaredPolicy::default().mechanisms, all);
}
