//! Which reports of load count, for which process, and for how long.

use std::time::Duration;

use dispatch_support::{dispatcher, finished, granted, ms, request, ticket, upstream};
use lacewingspring_core::dispatch::{Dispatcher, End, Finding, UpstreamInfo, UpstreamLoad};

mod dispatch_support;

const USUAL: UpstreamLoad = UpstreamLoad { running: 1, waiting: 0, slots: 8, pace: Some(1.0) };

fn two_upstreams() -> [UpstreamInfo; 2] {
    ["a", "b"].map(|name| upstream(name, 8))
}

/// Runs a request at each upstream, whose responses report these loads.
fn run_with_loads(dispatcher: &mut Dispatcher, now: Duration, a: UpstreamLoad, b: UpstreamLoad) {
    let first = now.as_millis() as u64 * 10;
    for number in [first, first + 1] {
        let decisions = dispatcher.request_slot(now, ticket(number), request("class"));
        let upstream = granted(&decisions)[0].1.to_owned();
        let load = if upstream == "a" { a } else { b };
        dispatcher.record_load(now, ticket(number), load);
    }
    for number in [first, first + 1] {
        dispatcher.first_output(now, ticket(number), ms(10));
        dispatcher.end(now, ticket(number), finished(250, 50));
    }
}

/// Returns the upstream that the next request is sent to.
fn choice(dispatcher: &mut Dispatcher, now: Duration) -> String {
    let number = 1_000_000 + now.as_millis() as u64;
    let decisions = dispatcher.request_slot(now, ticket(number), request("class"));
    let upstream = granted(&decisions)[0].1.to_owned();
    dispatcher.end(now, ticket(number), End::Cancelled);
    upstream
}

#[test]
fn a_reported_slowdown_keeps_requests_away_until_the_report_is_old() {
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    assert_eq!(choice(&mut dispatcher, ms(1)), "a", "both are alike");
    let slow = UpstreamLoad { pace: Some(4.0), ..USUAL };
    dispatcher.request_slot(ms(2), ticket(1), request("class"));
    dispatcher.record_load(ms(2), ticket(1), slow);
    dispatcher.end(ms(2), ticket(1), End::Cancelled);
    assert_eq!(choice(&mut dispatcher, ms(10)), "b", "a reported that it is slow");
    assert_eq!(choice(&mut dispatcher, ms(1_500)), "a", "the report is old");
}

#[test]
fn work_of_others_keeps_requests_away_until_the_report_is_old() {
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    let busy = UpstreamLoad { running: 8, waiting: 4, ..USUAL };
    dispatcher.request_slot(ms(2), ticket(1), request("class"));
    dispatcher.record_load(ms(2), ticket(1), busy);
    dispatcher.end(ms(2), ticket(1), End::Cancelled);
    assert_eq!(choice(&mut dispatcher, ms(10)), "b", "others run and wait at a");
    assert_eq!(choice(&mut dispatcher, ms(1_500)), "a", "the report is old");
}

/// Guards against own requests, of which a report tells, being taken for those of others.
#[test]
fn own_requests_do_not_count_as_those_of_others() {
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    let own: Vec<u64> = (1..=8).collect();
    for number in &own {
        dispatcher.request_slot(ms(500), ticket(*number), request("class"));
    }
    for number in &own {
        let load = UpstreamLoad { running: 4, ..USUAL };
        dispatcher.record_load(ms(540), ticket(*number), load);
        dispatcher.first_output(ms(540), ticket(*number), ms(10));
        dispatcher.end(ms(550), ticket(*number), finished(50, 50));
    }
    assert_eq!(choice(&mut dispatcher, ms(560)), "a", "nobody else uses either upstream");
}

/// Guards against a report of a process that ended being used for the next one of its name.
#[test]
fn a_report_belongs_to_its_process() {
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    let slow = UpstreamLoad { pace: Some(8.0), ..USUAL };
    assert_eq!(granted(&dispatcher.request_slot(ms(2), ticket(1), request("class")))[0].1, "a");
    dispatcher.record_load(ms(2), ticket(1), slow);
    let [mut a, b] = two_upstreams();
    a.started_at_ms += 1;
    dispatcher.set_upstreams(ms(3), [a, b]);
    dispatcher.record_load(ms(4), ticket(1), slow);
    dispatcher.end(ms(4), ticket(1), End::Cancelled);
    assert_eq!(choice(&mut dispatcher, ms(5)), "a", "the new process reported nothing");
    assert_eq!(dispatcher.load_reports().received, 3, "that of the earlier process came late");
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    let slow = UpstreamLoad { pace: Some(4.0), ..USUAL };
    dispatcher.request_slot(ms(50), ticket(1), request("class"));
    dispatcher.record_load(ms(50), ticket(1), slow);
    dispatcher.record_load(ms(20), ticket(1), USUAL);
    dispatcher.end(ms(51), ticket(1), End::Cancelled);
    assert_eq!(choice(&mut dispatcher, ms(60)), "b");
}

/// Guards against absurd figures that change decisions, and a log line for each of them.
#[test]
fn absurd_figures_are_ignored_and_told_once() {
    let paces = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9, 1e-9];
    let loads = paces.map(|pace| UpstreamLoad { pace: Some(pace), ..USUAL });
    let more = [
        UpstreamLoad { slots: 0, ..USUAL },
        UpstreamLoad { waiting: u32::MAX, ..USUAL },
        UpstreamLoad { running: u32::MAX, ..USUAL },
    ];
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    dispatcher.request_slot(ms(1), ticket(1), request("class"));
    for load in loads.into_iter().chain(more) {
        dispatcher.record_load(ms(1), ticket(1), load);
    }
    let findings = dispatcher.take_findings();
    assert!(matches!(findings[..], [Finding::LoadIgnored { .. }]), "{findings:?}");
    let counts = dispatcher.load_reports();
    assert_eq!((counts.received, counts.ignored), (11, 9));
    dispatcher.end(ms(2), ticket(1), End::Cancelled);
    assert_eq!(choice(&mut dispatcher, ms(3)), "a", "as without them");
}

#[test]
fn three_figures_are_not_a_report() {
    let mut dispatcher = dispatcher(&two_upstreams());
    dispatcher.request_slot(ms(1), ticket(1), request("class"));
    let busy = UpstreamLoad { running: 8, waiting: 50, slots: 8, pace: None };
    dispatcher.record_load(ms(1), ticket(1), busy);
    dispatcher.end(ms(2), ticket(1), End::Cancelled);
    assert_eq!(choice(&mut dispatcher, ms(3)), "a");
    assert_eq!(dispatcher.load_reports(), Default::default());
}

#[test]
fn counts_ages_and_errors() {
    let mut dispatcher = dispatcher(&two_upstreams());
    run_with_loads(&mut dispatcher, ms(0), USUAL, USUAL);
    dispatcher.request_slot(ms(30), ticket(1), request("class"));
    dispatcher.first_output(ms(80), ticket(1), ms(50));
    let counts = dispatcher.load_reports();
    assert_eq!((counts.used, counts.age_at_use, counts.predicted), (1, ms(30), 1));
    assert!(counts.error > ms(20) && counts.error < ms(50), "{:?}", counts.error);
}
