//! A new home to which all instances have reported what they hold need not wait until the shares of
//! the earlier home expire.

use std::time::Duration;

use lacewingspring_core::{
    limits::{Admission, Demand, ShareConfig, ShareLedger, ShareLimiter},
    names::InstanceName,
    resources::WorkspaceLimits,
};

const NOW: Duration = Duration::from_secs(100);

fn limits() -> WorkspaceLimits {
    WorkspaceLimits { requests_per_second: 100, concurrency: 10 }
}

fn instance(name: &str) -> InstanceName {
    InstanceName::from(name)
}

fn ledger() -> ShareLedger {
    let mut ledger = ShareLedger::new(ShareConfig::default(), limits(), NOW);
    ledger.set_member_counts(2, 2);
    ledger
}

fn next_demand(limiter: &mut ShareLimiter, now: Duration) -> Demand {
    limiter.count_waiting(now);
    limiter.poll_demand(now + Duration::from_secs(1)).expect("a demand is due")
}

#[test]
fn a_new_home_grants_the_rest_once_all_instances_have_reported() {
    let (mut old, mut new) = (ledger(), ledger());
    old.end_grace_period(NOW);
    let mut first = ShareLimiter::new(ShareConfig::default(), NOW);
    let mut second = ShareLimiter::new(ShareConfig::default(), NOW);
    let demand = next_demand(&mut first, NOW);
    let held = old.grant(NOW, &instance("first"), demand);
    first.apply_share(NOW, held);
    assert!(new.is_in_grace_period(NOW));
    let demand = next_demand(&mut second, NOW);
    assert_eq!(new.grant(NOW, &instance("second"), demand).concurrency, 0);
    new.record_report(NOW, &instance("first"), first.report(NOW));
    new.record_report(NOW, &instance("second"), second.report(NOW));
    new.end_grace_period(NOW);
    assert!(!new.is_in_grace_period(NOW));
    let demand = second.poll_demand(NOW + Duration::from_secs(3)).expect("a demand is due");
    let share = new.grant(NOW, &instance("second"), demand);
    assert!(share.concurrency > 0, "{share:?}");
    assert!(share.concurrency + held.concurrency <= limits().concurrency, "{share:?} {held:?}");
    assert_eq!(new.violations(), 0);
}

#[test]
fn ignores_replies_of_an_earlier_home_after_a_report() {
    let mut old = ledger();
    old.end_grace_period(NOW);
    let mut limiter = ShareLimiter::new(ShareConfig::default(), NOW);
    let demand = next_demand(&mut limiter, NOW);
    let late = old.grant(NOW, &instance("first"), demand);
    assert!(late.concurrency > 0);
    limiter.report(NOW);
    limiter.apply_share(NOW, late);
    assert_eq!(limiter.share(NOW), None);
    assert!(matches!(limiter.admit(NOW), Admission::LimitReached { .. }));
}

#[test]
fn restores_a_share_that_it_reduced_while_members_were_unreachable() {
    let mut old = ledger();
    old.end_grace_period(NOW);
    let mut limiter = ShareLimiter::new(ShareConfig::default(), NOW);
    let demand = next_demand(&mut limiter, NOW);
    let held = old.grant(NOW, &instance("first"), demand);
    limiter.apply_share(NOW, held);
    let mut new = ledger();
    new.set_member_counts(1, 100);
    let demand = limiter.poll_demand(NOW + Duration::from_secs(2)).expect("a demand is due");
    let less = new.grant(NOW, &instance("first"), demand);
    assert_eq!(less.concurrency, 0, "{less:?}");
    limiter.apply_share(NOW + Duration::from_secs(2), less);
    new.set_member_counts(2, 2);
    let demand = limiter.poll_demand(NOW + Duration::from_secs(4)).expect("a demand is due");
    assert!(new.is_in_grace_period(NOW));
    let again = new.grant(NOW, &instance("first"), demand);
    assert!(again.concurrency > 0 && again.concurrency <= held.concurrency, "{again:?}");
    assert!(again.rate > 0.0 && again.rate <= held.rate, "{again:?}");
    assert_eq!(new.violations(), 0);
}
