//! Commits of racing operators and commits whose reply is lost.

mod declared_common;

use std::{sync::Arc, time::Duration};

use declared_common::{
    PREFIX, Service, commit, delete_tier, policy, soon, tier, transaction, without,
};
use lacewingspring::declared::{
    Author, Commit, CommitError, DeclaredPolicy, DeclaredStore, Mechanisms,
};
use lacewingspring_core::config::{Head, Transaction};
use serde_json::json;
use tokio::time::sleep;

/// Time for a service's answer that lets two operators read before either writes.
const SLOW_MS: u64 = 30;

/// Returns two instances with two tiers in force.
async fn two_tiers(policy: DeclaredPolicy) -> (Service, Arc<DeclaredStore>, Arc<DeclaredStore>) {
    let service = Service::start().await;
    let (one, two) = (service.store(policy.clone()), service.store(policy));
    commit(&one, &[tier("a", 0), tier("b", 1)]).await.unwrap();
    (service, one, two)
}

/// Returns the records of all commits that are kept, oldest first.
async fn records(service: Service) -> Vec<Head> {
    let range = service.client().range(&format!("{PREFIX}declared/history/")).await.unwrap();
    range.entries.iter().map(|entry| serde_json::from_slice(&entry.value).unwrap()).collect()
}

/// Lets two operators remove one tier each; returns how many tiers remain.
async fn tiers_after_a_race(policy: DeclaredPolicy) -> usize {
    let (service, one, two) = two_tiers(policy).await;
    service.faults(json!({"delay_ms": SLOW_MS})).await;
    let (first, second) = ([delete_tier("a")], [delete_tier("b")]);
    let (first, second) =
        soon(async { tokio::join!(commit(&one, &first), commit(&two, &second)) }).await;
    let refused = |result: &Result<Commit, CommitError>| {
        matches!(result, Err(CommitError::Invalid(_) | CommitError::Conflict(_)))
    };
    let accepted = usize::from(first.is_ok()) + usize::from(second.is_ok());
    assert_eq!(accepted + usize::from(refused(&first)) + usize::from(refused(&second)), 2);
    let tiers = service.client().range(&format!("{PREFIX}declared/resources/tier/")).await;
    tiers.unwrap().entries.len()
}

#[tokio::test]
async fn racing_operators_do_not_break_a_constraint_together() {
    assert_eq!(tiers_after_a_race(policy()).await, 1);
    assert_eq!(tiers_after_a_race(without(|on| on.compare_head = false)).await, 0);
}

#[tokio::test]
async fn the_loser_of_a_race_learns_what_changed() {
    let (service, one, two) = two_tiers(policy()).await;
    let expecting =
        |changes: &[_]| Transaction { expect_generation: Some(1), ..transaction(changes) };
    service.faults(json!({"delay_ms": SLOW_MS})).await;
    let (first, second) = (expecting(&[tier("c", 2)]), expecting(&[tier("d", 3)]));
    let author = Author { operator: "ann", at_ms: 0 };
    let (first, second) =
        soon(async { tokio::join!(one.commit(&first, author), two.commit(&second, author)) }).await;
    let (winner, loser) = if first.is_ok() { (first, second) } else { (second, first) };
    let Err(CommitError::Conflict(conflict)) = loser else { panic!("{loser:?}") };
    assert_eq!((winner.unwrap().generation, conflict.generation), (2, 2));
    assert_eq!(conflict.changed.len(), 1);
    assert_eq!(records(service).await[1].changed, conflict.changed);
}

#[tokio::test]
async fn commits_of_other_resources_both_take_effect() {
    let (service, one, two) = two_tiers(policy()).await;
    service.faults(json!({"delay_ms": SLOW_MS})).await;
    let (first, second) = ([tier("c", 2)], [tier("d", 3)]);
    let (first, second) =
        soon(async { tokio::join!(commit(&one, &first), commit(&two, &second)) }).await;
    let mut generations = [first.unwrap().generation, second.unwrap().generation];
    generations.sort_unstable();
    assert_eq!(generations, [2, 3]);
}

#[tokio::test]
async fn a_lost_reply_is_settled() {
    for settled in [true, false] {
        let (service, one, _) = two_tiers(without(|on| on.settle_lost_replies = settled)).await;
        service.faults(json!({"lose_replies": 1})).await;
        let result = commit(&one, &[tier("c", 2)]).await;
        assert_eq!(service.fault("lose_replies").await, 0, "the fault was met");
        assert_eq!(records(service).await.len(), 2, "applied once");
        // Without settling, a change that took effect is reported as one that did not.
        assert_eq!(matches!(result, Ok(Commit { generation: 2, .. })), settled, "{result:?}");
    }
}

/// A policy that leaves time between the tries to settle.
fn slow_to_settle(settle_attempts: u32) -> DeclaredPolicy {
    DeclaredPolicy { backoff_min: Duration::from_millis(400), settle_attempts, ..policy() }
}

#[tokio::test]
async fn a_later_commit_does_not_hide_a_lost_reply() {
    let (service, one, two) = two_tiers(slow_to_settle(6)).await;
    service.faults(json!({"lose_replies": 1})).await;
    let changes = [tier("c", 2)];
    let (first, second) = soon(async {
        tokio::join!(commit(&one, &changes), async {
            while service.fault("lose_replies").await != 0 {
                sleep(Duration::from_millis(5)).await;
            }
            commit(&two, &[tier("d", 3)]).await
        })
    })
    .await;
    assert_eq!((first.unwrap().generation, second.unwrap().generation), (2, 3));
    assert_eq!(records(service).await.len(), 3);
}

#[tokio::test]
async fn a_write_that_was_overtaken_is_not_reported_as_done() {
    let (service, one, two) = two_tiers(slow_to_settle(6)).await;
    service.faults(json!({"delay_ms": 100})).await;
    let stale = Transaction { expect_generation: Some(1), ..transaction(&[tier("c", 2)]) };
    let author = Author { operator: "ann", at_ms: 0 };
    let (first, second) = soon(async {
        tokio::join!(one.commit(&stale, author), async {
            // The head was read and the write is on its way.
            sleep(Duration::from_millis(150)).await;
            service.faults(json!({"down": true})).await;
            sleep(Duration::from_millis(100)).await;
            service.faults(json!({"down": false, "delay_ms": 0})).await;
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
async fn a_commit_that_cannot_be_settled_may_have_taken_effect() {
    let (service, one, two) = two_tiers(policy()).await;
    service.faults(json!({"lose_replies": 1_000})).await;
    let result = commit(&one, &[tier("c", 2)]).await;
    assert!(matches!(result, Err(CommitError::Unknown(_))), "{result:?}");
    service.faults(json!({"lose_replies": 0})).await;
    assert_eq!(commit(&two, &[tier("d", 3)]).await.unwrap().generation, 3);
    assert_eq!(records(service).await.len(), 3);
}

#[tokio::test]
async fn records_of_old_commits_are_removed() {
    let (service, one, _) = two_tiers(policy()).await;
    for rank in 2..80 {
        commit(&one, &[tier("c", rank)]).await.unwrap();
    }
    let generations: Vec<u64> = records(service).await.iter().map(|it| it.generation).collect();
    assert_eq!(generations, (16..=79).collect::<Vec<_>>());
    assert_eq!(one.snapshot().history.len(), 64);
}

#[test]
fn all_mechanisms_are_on() {
    let all = Mechanisms {
        compare_head: true,
        settle_lost_replies: true,
        refuse_older: true,
        catch_up: true,
        back_off: true,
    };
    assert_eq!(DeclaredPolicy::default().mechanisms, all);
}
