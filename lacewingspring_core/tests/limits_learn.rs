//! A new home that has learned what all instances hold need not wait for old shares to run out.

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

fn ask(used: &mut ShareLimiter, now: Duration) -> Demand {
    used.count_waiting(now);
    used.poll_demand(now + Duration::from_secs(1)).expect("a question is due")
}

#[test]
fn gives_nothing_before_it_has_learned_and_the_rest_after() {
    let (mut old, mut new) = (ledger(), ledger());
    old.end_grace_period(NOW);
    let mut first = ShareLimiter::new(ShareConfig::default(), NOW);
    let mut second = ShareLimiter::new(ShareConfig::default(), NOW);
    let demand = ask(&mut first, NOW);
    let held = old.grant(NOW, &instance("first"), demand);
    first.apply_share(NOW, held);
    assert!(new.is_in_grace_period(NOW));
    let demand = ask(&mut second, NOW);
    assert_eq!(new.grant(NOW, &instance("second"), demand).concurrency, 0);
    new.record_report(NOW, &instance("first"), first.report(NOW));
    new.record_report(NOW, &instance("second"), second.report(NOW));
    new.end_grace_period(NOW);
    assert!(!new.is_in_grace_period(NOW));
    let demand = second.poll_demand(NOW + Duration::from_secs(3)).expect("a question is due");
    let share = new.grant(NOW, &instance("second"), demand);
    assert!(share.concurrency > 0, "{share:?}");
    assert!(share.concurrency + held.concurrency <= limits().concurrency, "{share:?} {held:?}");
    assert_eq!(new.violations(), 0);
}

#[test]
fn takes_no_answer_of_an_old_home_after_a_report() {
    let mut old = ledger();
    old.end_grace_period(NOW);
    let mut used = ShareLimiter::new(ShareConfig::default(), NOW);
    let demand = ask(&mut used, NOW);
    let late = old.grant(NOW, &instance("first"), demand);
    assert!(late.concurrency > 0);
    used.report(NOW);
    used.apply_share(NOW, late);
    assert_eq!(used.share(NOW), None);
    assert!(matches!(used.admit(NOW), Admission::LimitReached { .. }));
}

#[test]
fn gives_again_what_it_took_back_while_members_could_not_be_reached() {
    let mut old = ledger();
    old.end_grace_period(NOW);
    let mut used = ShareLimiter::new(ShareConfig::default(), NOW);
    let demand = ask(&mut used, NOW);
    let held = old.grant(NOW, &instance("first"), demand);
    used.apply_share(NOW, held);
    let mut new = ledger();
    new.set_member_counts(1, 100);
    let demand = used.poll_demand(NOW + Duration::from_secs(2)).expect("a question is due");
    let less = new.grant(NOW, &instance("first"), demand);
    assert_eq!(less.concurrency, 0, "{less:?}");
    used.apply_share(NOW + Duration::from_secs(2), less);
    new.set_member_counts(2, 2);
    let demand = used.poll_demand(NOW + Duration::from_secs(4)).expect("a question is due");
    assert!(new.is_in_grace_period(NOW));
    let again = new.grant(NOW, &instance("first"), demand);
    assert!(again.concurrency > 0 && again.concurrency <= held.concurrency, "{again:?}");
    assert!(again.rate > 0.0 && again.rate <= held.rate, "{again:?}");
    assert_eq!(new.violations(), 0);
}
