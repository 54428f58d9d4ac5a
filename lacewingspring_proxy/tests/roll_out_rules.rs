//! Which versions an instance must not use, by the orders that it knows and its role.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use lacewingspring_core::{
    dispatch::UpstreamInfo,
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
    roll_out::Bounds,
};
use lacewingspring_proxy::{
    gate::roll_out::{
        DeclaredOrder, DeclaredOrders,
        rules::{KeptRule, Role, RollOutRules},
    },
    store::{Era, Revision},
};

const BOUNDS: Bounds =
    Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: Duration::from_secs(5) };

const MAJORITY: Role = Role { is_majority: true, orders_age: Some(Duration::ZERO) };

const MINORITY: Role = Role { is_majority: false, orders_age: Some(Duration::ZERO) };

/// Role of an instance that reaches neither the others nor the key-value service.
const ALONE: Role = Role { is_majority: false, orders_age: Some(Duration::from_secs(2)) };

fn at(number: u64) -> Revision {
    Revision { era: Era(0), number }
}

fn upstreams(versions: &[&str]) -> Vec<UpstreamInfo> {
    let upstream = |version: &&str| UpstreamInfo {
        name: UpstreamName::from(*version),
        service: ServiceName::from("app"),
        software: SoftwareVersion::from(*version),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: 4,
        memory_tokens: u64::MAX,
        draining: false,
        started_at_ms: 1,
    };
    versions.iter().map(upstream).collect()
}

fn order(target: &str, revision: u64) -> DeclaredOrder {
    DeclaredOrder {
        service: ServiceName::from("app"),
        target: SoftwareVersion::from(target),
        allowed: Duration::from_secs(12),
        revision: at(revision),
    }
}

fn set_orders(rules: &mut RollOutRules, orders: Vec<DeclaredOrder>, revision: u64) {
    let orders = DeclaredOrders { orders, unreadable: Vec::new() };
    rules.set_orders(Duration::ZERO, orders, at(revision));
}

fn barred(rules: &RollOutRules, role: Role) -> Vec<String> {
    let barred = rules.barred(role).remove("app").unwrap_or_default();
    barred.into_iter().map(|version| version.to_string()).collect()
}

/// Returns rules of an instance that has seen `v2` appear beside `v1`, with a copy of the orders
/// up to revision 10.
fn mixed() -> RollOutRules {
    let mut rules = RollOutRules::new(BOUNDS);
    set_orders(&mut rules, Vec::new(), 10);
    rules.set_registered(&upstreams(&["v1"]), at(10));
    rules.set_registered(&upstreams(&["v1", "v2"]), at(12));
    rules
}

/// Guards against the use of a version whose order this instance has not seen yet.
#[test]
fn a_version_beside_another_waits_until_the_orders_are_complete_up_to_its_entry() {
    let mut rules = mixed();
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    assert!(!rules.confirm(at(11)));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    assert!(rules.confirm(at(12)));
    assert_eq!(barred(&rules, MAJORITY), Vec::<String>::new());
}

/// Guards against an older number of a later era, or a later number of an older one, that passes
/// for a confirmation.
#[test]
fn an_earlier_era_of_the_orders_confirms_nothing() {
    let mut rules = mixed();
    rules.set_registered(&upstreams(&["v1"]), Revision { era: Era(1), number: 4 });
    rules.set_registered(&upstreams(&["v1", "v2"]), Revision { era: Era(1), number: 5 });
    assert!(!rules.confirm(at(90)));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    assert!(rules.confirm(Revision { era: Era(1), number: 5 }));
}

/// Guards against a service without upstreams because its only version is withheld.
#[test]
fn the_only_version_of_a_service_is_used() {
    let mut rules = RollOutRules::new(BOUNDS);
    rules.set_registered(&upstreams(&["v1"]), at(12));
    assert_eq!(barred(&rules, ALONE), Vec::<String>::new());
    set_orders(&mut rules, vec![order("v1", 13)], 13);
    assert_eq!(barred(&rules, ALONE), Vec::<String>::new());
}

/// Guards against an instance on its own that uses a version which may have been ordered since it
/// was cut off.
#[test]
fn an_instance_on_its_own_uses_only_the_version_that_was_there_first() {
    let mut rules = mixed();
    rules.confirm(at(12));
    assert_eq!(barred(&rules, MINORITY), Vec::<String>::new());
    assert_eq!(barred(&rules, ALONE), ["v2"]);
    rules.set_registered(&upstreams(&["v2"]), at(20));
    rules.set_registered(&upstreams(&["v2", "v3"]), at(21));
    rules.confirm(at(21));
    assert_eq!(barred(&rules, ALONE), ["v3"]);
}

/// Guards against the use of the target before its record is written, and by a minority at all.
#[test]
fn only_a_majority_that_holds_the_roll_out_uses_the_target() {
    let mut rules = mixed();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    rules.begin_tenure();
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    let held = KeptRule {
        order: order("v2", 13).id(),
        target: SoftwareVersion::from("v2"),
        is_target_usable: true,
        rolled_back: BTreeSet::new(),
        in_service: BTreeSet::from([SoftwareVersion::from("v1")]),
        left: BTreeSet::new(),
    };
    let service = ServiceName::from("app");
    rules.set_kept(&service, Some(held.clone()));
    assert_eq!(barred(&rules, MAJORITY), Vec::<String>::new());
    assert_eq!(barred(&rules, MINORITY), ["v2"]);
    rules.set_kept(&service, Some(KeptRule { is_target_usable: false, ..held }));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    // An order that was deleted does not free its target.
    set_orders(&mut rules, Vec::new(), 14);
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    assert_eq!(barred(&rules, MINORITY), ["v2"]);
}

/// Guards against the target of an older order being used after a newer one replaced it.
#[test]
fn the_target_of_an_order_that_was_replaced_is_not_used_by_a_minority() {
    let mut rules = mixed();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    rules.set_registered(&upstreams(&["v1", "v2", "v3"]), at(14));
    set_orders(&mut rules, vec![order("v3", 15)], 15);
    assert_eq!(barred(&rules, MINORITY), ["v2", "v3"]);
    // One that served alone in between is an ordinary version, also while its order stays.
    rules.set_registered(&upstreams(&["v3"]), at(18));
    rules.set_registered(&upstreams(&["v3", "v4"]), at(19));
    rules.confirm(at(19));
    assert_eq!(barred(&rules, MINORITY), Vec::<String>::new());
    rules.set_registered(&upstreams(&["v3"]), at(20));
    rules.set_registered(&upstreams(&["v3", "v4"]), at(21));
    set_orders(&mut rules, vec![order("v4", 22)], 22);
    assert_eq!(barred(&rules, MINORITY), ["v4"]);
}

/// Guards against a former target being used between the begin of a tenure and the read of its
/// record.
#[test]
fn a_new_tenure_does_not_free_the_target_of_a_deleted_order() {
    let mut rules = mixed();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    set_orders(&mut rules, Vec::new(), 14);
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    rules.begin_tenure();
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
}

/// Guards against an instance that is no longer the gate and uses a version that was rolled back.
#[test]
fn the_end_of_a_tenure_does_not_free_a_version_that_was_rolled_back() {
    let mut rules = mixed();
    rules.confirm(at(12));
    rules.begin_tenure();
    let rule = KeptRule {
        order: order("v2", 13).id(),
        target: SoftwareVersion::from("v2"),
        is_target_usable: false,
        rolled_back: BTreeSet::new(),
        in_service: BTreeSet::from([SoftwareVersion::from("v1")]),
        left: BTreeSet::new(),
    };
    rules.set_kept(&ServiceName::from("app"), Some(rule));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    assert!(rules.end_tenure());
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    assert_eq!(barred(&rules, MINORITY), ["v2"]);
}

/// Guards against a service without upstreams since its only version was once rolled back.
#[test]
fn a_version_that_was_rolled_back_once_and_left_may_be_released() {
    let mut rules = mixed();
    rules.begin_tenure();
    let held = KeptRule {
        order: order("v2", 13).id(),
        target: SoftwareVersion::from("v2"),
        is_target_usable: false,
        rolled_back: BTreeSet::new(),
        in_service: BTreeSet::from([SoftwareVersion::from("v1")]),
        left: BTreeSet::new(),
    };
    rules.set_kept(&ServiceName::from("app"), Some(held));
    rules.set_registered(&upstreams(&["v1"]), at(30));
    rules.set_registered(&upstreams(&["v1", "v2"]), at(40));
    rules.confirm(at(40));
    rules.set_registered(&upstreams(&["v2"]), at(50));
    assert_eq!(barred(&rules, MAJORITY), Vec::<String>::new());
}

/// Guards against a target being free on an instance of its own because the old entries were gone
/// for a moment.
#[test]
fn a_target_that_was_alone_for_a_moment_is_not_free() {
    let mut rules = mixed();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    rules.set_registered(&upstreams(&["v2"]), at(20));
    rules.set_registered(&upstreams(&["v1", "v2"]), at(21));
    rules.confirm(at(21));
    assert_eq!(barred(&rules, MINORITY), ["v2"]);
}

/// Guards against a service of which all versions are withheld.
#[test]
fn an_instance_that_started_beside_two_versions_still_serves_one() {
    let mut rules = RollOutRules::new(BOUNDS);
    set_orders(&mut rules, Vec::new(), 10);
    rules.set_registered(&upstreams(&["v1", "v2"]), at(9));
    assert_eq!(barred(&rules, MAJORITY), Vec::<String>::new());
    assert_ne!(barred(&rules, ALONE), ["v1", "v2"]);
}

/// Guards against a version in service that is withheld when an earlier one is released again.
#[test]
fn a_target_that_served_alone_stays_free_after_its_deadline() {
    let mut rules = mixed();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    rules.set_registered(&upstreams(&["v2"]), at(20));
    rules.advance(Duration::from_secs(13));
    rules.set_registered(&upstreams(&["v1", "v2"]), at(21));
    rules.confirm(at(21));
    assert_eq!(barred(&rules, MINORITY), Vec::<String>::new());
}

/// Returns what the keeper knows after the roll-out of `v2` beside `v1` was rolled back.
fn rolled_back() -> KeptRule {
    KeptRule {
        order: order("v2", 13).id(),
        target: SoftwareVersion::from("v2"),
        is_target_usable: false,
        rolled_back: BTreeSet::new(),
        in_service: BTreeSet::from([SoftwareVersion::from("v1")]),
        left: BTreeSet::new(),
    }
}

/// Guards against a version in service that is withheld as it was rolled back once, so that all
/// requests go to a new version, whose order is not written yet.
#[test]
fn a_version_that_was_rolled_back_and_serves_alone_is_in_service() {
    let mut rules = mixed();
    rules.begin_tenure();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    rules.set_kept(&ServiceName::from("app"), Some(rolled_back()));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    rules.set_registered(&upstreams(&["v2"]), at(20));
    rules.set_registered(&upstreams(&["v2", "v3"]), at(21));
    assert_eq!(barred(&rules, MAJORITY), ["v3"]);
    rules.confirm(at(21));
    assert_eq!(barred(&rules, MAJORITY), Vec::<String>::new());
}

/// Guards against a version that was rolled back and is used again because the entries of the
/// version in service were gone for a moment.
#[test]
fn a_version_that_was_rolled_back_and_alone_for_a_moment_is_not_in_service() {
    let mut rules = mixed();
    rules.begin_tenure();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    rules.set_kept(&ServiceName::from("app"), Some(rolled_back()));
    rules.advance(Duration::from_secs(20));
    rules.set_registered(&upstreams(&["v2"]), at(20));
    rules.set_registered(&upstreams(&["v1", "v2"]), at(21));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
    rules.confirm(at(21));
    assert_eq!(barred(&rules, MAJORITY), ["v2"]);
}

/// Guards against callers of a minority that are refused because an operator ordered the version in
/// service again.
#[test]
fn a_minority_uses_the_version_in_service_after_an_order_back_to_it() {
    let mut rules = mixed();
    rules.confirm(at(12));
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    set_orders(&mut rules, vec![order("v1", 15)], 15);
    assert_eq!(barred(&rules, MINORITY), ["v2"]);
    assert_eq!(barred(&rules, ALONE), ["v2"]);
}

/// Guards against a new version that is used at once because the key of a completed order still
/// names the version in service.
#[test]
fn a_version_beside_a_completed_target_waits_for_its_confirmation() {
    let mut rules = mixed();
    set_orders(&mut rules, vec![order("v2", 13)], 13);
    rules.set_registered(&upstreams(&["v2"]), at(20));
    rules.set_registered(&upstreams(&["v2", "v3"]), at(21));
    assert_eq!(barred(&rules, MINORITY), ["v3"]);
    rules.confirm(at(21));
    assert_eq!(barred(&rules, MINORITY), Vec::<String>::new());
}
