//! A new home that has learned what all instances hold need not wait for old shares to run out.

use std::time::Duration;

use lacewingspring_core::{
    limits::{Admission, Demand, ShareConfig, ShareLedger, ShareUse},
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
    ledger.observe_reach(2, 2);
    ledger
}

fn ask(used: &mut ShareUse, now: Duration) -> Demand {
    used.wait(now);
    used.ask(now + Duration::from_secs(1)).expect("a question is due")
}

#[test]
fn gives_nothing_before_it_has_learned_and_the_rest_after() {
    let (mut old, mut new) = (ledger(), ledger());
    old.learned(NOW);
    let mut first = ShareUse::new(ShareConfig::default(), NOW);
    let mut second = ShareUse::new(ShareConfig::default(), NOW);
    let demand = ask(&mut first, NOW);
    let held = old.grant(NOW, &instance("first"), demand);
    first.granted(NOW, held);
    assert!(new.is_quiet(NOW));
    let demand = ask(&mut second, NOW);
    assert_eq!(new.grant(NOW, &instance("second"), demand).concurrency, 0);
    new.learn(NOW, &instance("first"), first.report(NOW));
    new.learn(NOW, &instance("second"), second.report(NOW));
    new.learned(NOW);
    assert!(!new.is_quiet(NOW));
    let demand = second.ask(NOW + Duration::from_secs(3)).expect("a question is due");
    let share = new.grant(NOW, &instance("second"), demand);
    assert!(share.concurrency > 0, "{share:?}");
    assert!(share.concurrency + held.concurrency <= limits().concurrency, "{share:?} {held:?}");
    assert_eq!(new.violations(), 0);
}

#[test]
fn takes_no_answer_of_an_old_home_after_a_report() {
    let mut old = ledger();
    old.learned(NOW);
    let mut used = ShareUse::new(ShareConfig::default(), NOW);
    let demand = ask(&mut used, NOW);
    let late = old.grant(NOW, &instance("first"), demand);
    assert!(late.concurrency > 0);
    used.report(NOW);
    used.granted(NOW, late);
    assert_eq!(used.share(NOW), None);
    assert!(matches!(used.admit(NOW), Admission::LimitReached { .. }));
}

#[test]
fn gives_again_what_it_took_back_while_members_could_not_be_reached() {
    let mut old = ledger();
    old.learned(NOW);
    let mut used = ShareUse::new(ShareConfig::default(), NOW);
    let demand = ask(&mut used, NOW);
    let held = old.grant(NOW, &instance("first"), demand);
    used.granted(NOW, held);
    let mut new = ledger();
    new.observe_reach(1, 100);
    let demand = used.ask(NOW + Duration::from_secs(2)).expect("a question is due");
    let less = new.grant(NOW, &instance("first"), demand);
    assert_eq!(less.concurrency, 0, "{less:?}");
    used.granted(NOW + Duration::from_secs(2), less);
    new.observe_reach(2, 2);
    let demand = used.ask(NOW + Duration::from_secs(4)).expect("a question is due");
    assert!(new.is_quiet(NOW));
    let again = new.grant(NOW, &instance("first"), demand);
    assert!(again.concurrency > 0 && again.concurrency <= held.concurrency, "{again:?}");
    assert!(again.rate > 0.0 && again.rate <= held.rate, "{again:?}");
    assert_eq!(new.violations(), 0);
}
