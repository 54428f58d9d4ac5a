//! Instances apply each generation in time and never a lower one, whatever the service does.

mod declared_common;

use std::{sync::Arc, time::Duration};

use declared_common::{Service, commit, delete_tier, policy, tier, within};
use lacewingspring::declared::{DeclaredPolicy, DeclaredStore};

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
