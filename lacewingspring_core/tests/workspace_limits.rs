//! Limits of workspaces and of repeated sends, kept by one gate and across a change of gate.

use std::{collections::HashMap, time::Duration};

use dispatch_support::{dispatcher, finished, granted, ms, refused, request, ticket, upstream};
use lacewingspring_core::{
    dispatch::{Dispatcher, End, FleetShare, Limits, Quota, QuotaBounds, Reason, RetryBound},
    names::WorkspaceName,
};

mod dispatch_support;

fn limits(rate: f64, burst: f64) -> Limits {
    let quota = Quota { rate: Some(rate), burst };
    Limits {
        quotas: QuotaBounds {
            quotas: HashMap::from([(WorkspaceName::from("w"), quota)]),
            window: Duration::from_secs(8),
        },
        retries: RetryBound { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) },
    }
}

/// Requests 150 units every 10 ms; returns the units that were granted.
fn saturate(dispatcher: &mut Dispatcher, from: Duration, time: Duration, first: u64) -> f64 {
    let steps = time.as_millis() as u64 / 10;
    let units = (0..steps).map(|step| {
        let now = from + ms(step * 10);
        let decisions = dispatcher.request_slot(now, ticket(first + step), request("a"));
        let count = granted(&decisions).len();
        dispatcher.end(now, ticket(first + step), finished(1, 0));
        count as f64 * 150.0
    });
    units.sum()
}

#[test]
fn enforces_a_workspace_limit_and_returns_a_usable_retry_after() {
    let mut dispatcher = dispatcher(&[upstream("u", 100)]);
    dispatcher.set_limits(limits(1_500.0, 1_500.0));
    let taken = saturate(&mut dispatcher, Duration::from_secs(100), Duration::from_secs(8), 0);
    let limit = 1_500.0 * 9.0;
    assert!(taken >= limit * 0.95 && taken <= limit, "taken {taken} of {limit}");
    let now = Duration::from_secs(108);
    // All units were taken in the first seconds; they become free again as the window passes these.
    let decisions = dispatcher.request_slot(now - ms(1), ticket(9_000), request("a"));
    let [(_, Reason::Limit, wait)] = refused(&decisions)[..] else { panic!("{decisions:?}") };
    assert!(
        wait <= ms(1_000),
        "the first units are about to be free, but the retry-after time is {wait:?}"
    );
    assert_eq!(
        granted(&dispatcher.request_slot(now - ms(1) + wait, ticket(9_001), request("a"))).len(),
        1
    );
}

/// Returns a dispatcher that begins to decide for the whole fleet.
fn new_gate(now: Duration) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(now, [upstream("u", 100)]);
    dispatcher.set_limits(limits(1_500.0, 1_500.0));
    dispatcher.set_fleet_share(now, FleetShare::WHOLE);
    dispatcher
}

#[test]
fn enforces_a_limit_across_a_change_of_gate() {
    let mut before = dispatcher(&[upstream("u", 100)]);
    before.set_limits(limits(1_500.0, 1_500.0));
    let taken = saturate(&mut before, Duration::from_secs(100), Duration::from_secs(4), 0);
    let now = Duration::from_secs(104);
    let mut after = new_gate(now);
    let usage = before.export_usage(now);
    for age in [ms(0), ms(200)] {
        // The same usage arrives from the store and from instances; it must count once.
        after.import_usage(now, age, &usage);
    }
    let then = saturate(&mut after, now, Duration::from_secs(4), 10_000);
    let limit = 1_500.0 * 9.0;
    assert!(taken + then <= limit * 1.1, "taken {taken} and {then} of {limit}");
    assert!(taken + then >= limit * 0.8, "taken {taken} and {then} of {limit}");
}

/// A process that starts may read the stored usage before its first configuration.
#[test]
fn usage_that_is_loaded_before_the_limits_counts() {
    let mut before = dispatcher(&[upstream("u", 100)]);
    before.set_limits(limits(1_500.0, 1_500.0));
    let taken = saturate(&mut before, Duration::from_secs(100), Duration::from_secs(4), 0);
    let now = Duration::from_secs(104);
    let mut after = Dispatcher::default();
    after.set_upstreams(now, [upstream("u", 100)]);
    after.set_fleet_share(now, FleetShare::WHOLE);
    after.import_usage(now, ms(0), &before.export_usage(now));
    after.set_limits(limits(1_500.0, 1_500.0));
    let then = saturate(&mut after, now, Duration::from_secs(4), 10_000);
    let limit = 1_500.0 * 9.0;
    assert!(taken + then <= limit, "taken {taken} and {then} of {limit}");
}

#[test]
fn enforces_a_limit_if_the_latest_usage_was_not_published() {
    let mut before = dispatcher(&[upstream("u", 100)]);
    before.set_limits(limits(1_500.0, 1_500.0));
    let began = Duration::from_secs(100);
    let mut taken = 0.0;
    let mut published = before.export_usage(began);
    for step in 0..400 {
        let now = began + ms(step * 10);
        if before.must_publish_usage() {
            published = before.export_usage(now);
        }
        taken += saturate(&mut before, now, ms(10), step);
    }
    let now = began + Duration::from_secs(4);
    let mut after = new_gate(now);
    after.import_usage(now, ms(0), &published);
    let then = saturate(&mut after, now, Duration::from_secs(4), 10_000);
    let limit = 1_500.0 * 9.0;
    assert!(taken + then <= limit, "taken {taken} and {then} of {limit}");
}

#[test]
fn hands_out_no_full_window_while_earlier_usage_is_unknown() {
    let now = Duration::from_secs(104);
    let mut after = new_gate(now);
    let taken = saturate(&mut after, now, Duration::from_secs(4), 0);
    let limit = 1_500.0 * 5.0;
    assert!(taken <= limit * 1.1, "taken {taken}, but rate and burst allow {limit}");
    assert!(taken >= limit * 0.9, "taken {taken} of {limit}");
}

#[test]
fn enforces_a_limit_across_a_network_partition() {
    // The majority considers the other side gone and hands out the whole limit; the minority can't
    // know that.
    let now = Duration::from_secs(104);
    let mut majority = new_gate(now);
    let mut minority = new_gate(now);
    minority.set_fleet_share(now, FleetShare::of_minority(2.0 / 7.0));
    let later = now + Duration::from_secs(10);
    let taken = saturate(&mut majority, later, Duration::from_secs(8), 0)
        + saturate(&mut minority, later, Duration::from_secs(8), 0);
    let limit = 1_500.0 * 9.0;
    assert!(taken <= limit * 1.17, "taken {taken} of {limit}");
}

#[test]
fn refunds_the_units_of_requests_that_are_not_sent() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    dispatcher.set_limits(limits(1_500.0, 1_500.0));
    let now = Duration::from_secs(100);
    assert_eq!(granted(&dispatcher.request_slot(now, ticket(0), request("a"))).len(), 1);
    for number in 1..30 {
        let decisions = dispatcher.request_slot(now, ticket(number), request("a"));
        let reasons: Vec<_> =
            refused(&decisions).into_iter().map(|(_, reason, _)| reason).collect();
        assert!(!reasons.contains(&Reason::Limit), "request {number}: {reasons:?}");
        dispatcher.end(now, ticket(number), End::Cancelled);
    }
}

#[test]
fn enforces_the_budget_of_repeated_sends() {
    let mut dispatcher = dispatcher(&[upstream("a", 1_000), upstream("b", 1_000)]);
    dispatcher.set_limits(limits(f64::MAX, 0.0));
    for number in 0..100 {
        dispatcher.request_slot(ms(number), ticket(number), request("a"));
    }
    let mut repeated = request("a");
    repeated.sends = 1;
    let repeats = (100..200).filter(|number| {
        let decisions = dispatcher.request_slot(ms(*number), ticket(*number), repeated.clone());
        granted(&decisions).len() == 1
    });
    let repeats = repeats.count();
    assert!(
        (15..=30).contains(&repeats),
        "0.2 of 100 plus 10 repeated sends are allowed, {repeats} were sent"
    );
}
