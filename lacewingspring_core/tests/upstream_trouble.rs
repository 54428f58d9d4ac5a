//! Decisions of the dispatcher about upstreams that can't be reached or may crash.

use std::{ops::Range, time::Duration};

use dispatch_support::{LINK, finished, granted, ms, request, ticket, upstream};
use lacewingspring_core::{
    dispatch::{Dispatcher, End, Finding, FleetShare, SlotRequest, Ticket, UpstreamInfo, Work},
    names::UpstreamName,
};

mod dispatch_support;

fn dispatcher(upstreams: &[UpstreamInfo]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(Duration::ZERO, upstreams.to_vec());
    dispatcher.set_fleet_share(Duration::ZERO, FleetShare::WHOLE);
    dispatcher
}

#[test]
fn backs_off_from_an_unreachable_upstream() {
    let mut dispatcher = dispatcher(&[upstream("a", 1), upstream("b", 1)]);
    let decisions = dispatcher.request_slot(ms(0), ticket(1), request("a"));
    let dead = granted(&decisions)[0].1.to_owned();
    dispatcher.end(ms(1), ticket(1), End::Unreachable);
    let decisions = dispatcher.request_slot(ms(2), ticket(2), request("a"));
    assert_ne!(granted(&decisions)[0].1, dead);
    assert_eq!(granted(&dispatcher.request_slot(ms(3), ticket(3), request("a"))), []);
    assert_eq!(granted(&dispatcher.tick(ms(300))), [(3, dead.as_str())]);
}

#[test]
fn an_instance_without_a_path_does_not_back_upstreams_off_for_the_others() {
    let upstreams: Vec<UpstreamInfo> =
        (1..=5).map(|number| upstream(&format!("s{number}"), 1)).collect();
    let mut dispatcher = dispatcher(&upstreams);
    dispatcher.request_slot(ms(0), ticket(1), request("a"));
    dispatcher.end(ms(0), ticket(1), End::Cancelled);
    let cut = |number| Ticket { link: 2, number };
    for number in 1..=5 {
        assert_eq!(granted(&dispatcher.request_slot(ms(0), cut(number), request("a"))).len(), 1);
    }
    for number in 1..=5 {
        dispatcher.end(ms(400), cut(number), End::Unreachable);
    }
    let backs_off = dispatcher.take_findings().into_iter().map(|finding| match finding {
        Finding::Unreachable { link: 2, backs_off, .. } => backs_off,
        other => panic!("unexpected finding {other:?}"),
    });
    assert_eq!(backs_off.collect::<Vec<bool>>(), [false; 5]);
    for number in 10..15 {
        assert_eq!(
            granted(&dispatcher.request_slot(ms(410), ticket(number), request("a"))).len(),
            1
        );
    }
}

#[test]
fn two_instances_that_cannot_connect_to_an_upstream_back_it_off() {
    let mut dispatcher = dispatcher(&[upstream("s1", 9), upstream("s2", 9)]);
    let sent = |dispatcher: &mut Dispatcher, at, link, number| {
        let decisions = dispatcher.request_slot(ms(at), Ticket { link, number }, request("a"));
        granted(&decisions).first().map(|(_, upstream)| (*upstream).to_owned())
    };
    let mut fail = |at, link, number| {
        let upstream = sent(&mut dispatcher, at, link, number);
        dispatcher.end(ms(at), Ticket { link, number }, End::Unreachable);
        let is_backed_off = dispatcher
            .take_findings()
            .into_iter()
            .any(|finding| matches!(finding, Finding::Unreachable { backs_off: true, .. }));
        (upstream.expect("a slot"), is_backed_off)
    };
    // The third instance only keeps the first from being alone.
    assert_eq!(fail(0, 3, 1), ("s1".into(), true), "it is alone");
    let first = fail(3_000, 1, 1);
    assert_eq!(first, ("s1".into(), false));
    assert_eq!(fail(3_010, 1, 2), ("s2".into(), false), "the pair of the first is paused");
    assert_eq!(fail(3_020, 2, 1), ("s1".into(), true), "two agree");
}

#[test]
fn a_response_shows_that_an_instance_has_a_path() {
    let upstreams = [upstream("s1", 1), upstream("s2", 1), upstream("s3", 1)];
    let mut dispatcher = dispatcher(&upstreams);
    let mut fail = |at: u64, is_answered: bool| {
        let decisions = dispatcher.request_slot(ms(at), ticket(at), request("a"));
        assert_eq!(granted(&decisions).len(), 1);
        dispatcher.end(
            ms(at),
            ticket(at),
            if is_answered { End::Declined } else { End::Unreachable },
        );
        dispatcher.take_findings().len()
    };
    assert_eq!([fail(1, false), fail(2, false), fail(3, true), fail(300, false)], [1, 1, 0, 1]);
    let decisions = dispatcher.request_slot(ms(310), ticket(310), request("a"));
    assert_eq!(granted(&decisions).len(), 1);
    dispatcher.end(ms(310), ticket(310), End::Unreachable);
    let findings = dispatcher.take_findings();
    assert!(matches!(findings[..], [Finding::Unreachable { backs_off: true, .. }]), "{findings:?}");
}

/// Requests slots at `now` for plain calls until none is granted; returns how many were.
fn fill(dispatcher: &mut Dispatcher, now: Duration, numbers: Range<u64>) -> usize {
    let plain = || SlotRequest { work: Work::Plain, ..request("a") };
    let granted_at = |number| granted(&dispatcher.request_slot(now, ticket(number), plain())).len();
    numbers.map(granted_at).sum()
}

#[test]
fn keeps_a_slot_of_brittle_upstreams_free_until_none_says_so() {
    let mut dispatcher = dispatcher(&[upstream("s1", 8), upstream("s2", 8)]);
    assert_eq!(fill(&mut dispatcher, ms(0), 0..1), 1);
    dispatcher.set_brittle(ms(10), ticket(0));
    assert_eq!(dispatcher.take_findings().len(), 1);
    assert_eq!(fill(&mut dispatcher, ms(20), 1..30), 13, "seven at each, less the one before");
    dispatcher.end_link(ms(30), LINK);
    let after = ms(10) + ms(2_000);
    assert_eq!(fill(&mut dispatcher, after, 30..60), 18, "nine at each");
}

#[test]
fn sends_nothing_to_a_brittle_upstream_for_a_second_after_it_declined() {
    let mut dispatcher = dispatcher(&[upstream("s1", 8)]);
    assert_eq!(fill(&mut dispatcher, ms(0), 0..2), 2);
    dispatcher.set_brittle(ms(10), ticket(0));
    dispatcher.end(ms(20), ticket(1), End::Declined);
    assert_eq!(fill(&mut dispatcher, ms(900), 2..3), 0);
    dispatcher.end_link(ms(950), LINK);
    assert_eq!(fill(&mut dispatcher, ms(1_020), 3..4), 1);
}

/// Time of a call at an upstream that responds, in milliseconds.
const CALL_MS: u64 = 30;

/// Time after which an upstream that accepts connections breaks them, in milliseconds.
const BREAK_MS: u64 = 5;

/// Time between two requests, in milliseconds: more than two of three upstreams can serve.
const REQUEST_INTERVAL_MS: u64 = 2;

/// Time in which one upstream breaks all connections, in milliseconds.
const BREAKING_MS: Range<u64> = 500..2_500;

/// Time for which the play lasts, in milliseconds.
const PLAY_MS: u64 = 5_500;

/// Largest number of requests that may be sent to the upstream while it breaks connections: as many
/// as it has slots, three times, before it counts as broken, and one after each back-off.
const MAX_BROKEN: usize = 3 * 6 + 5;

/// Plays calls to three upstreams with 6 slots; connections to `s1` break for a while. Returns the
/// time at which each call to `s1` was granted, in milliseconds, and the changes of circuits.
fn play_breaking_upstream() -> (Vec<u64>, Vec<Finding>) {
    let names = ["s1", "s2", "s3"];
    let mut dispatcher = dispatcher(&names.map(|name| upstream(name, 6)));
    let mut running: Vec<(u64, u64, End)> = Vec::new();
    let mut granted_to_breaking = Vec::new();
    let plain = |number| SlotRequest { work: Work::Plain, fingerprint: number, ..request("a") };
    for now in 0..PLAY_MS {
        let mut decisions = dispatcher.tick(ms(now));
        let ended = running.extract_if(.., |(end, ..)| *end <= now).collect::<Vec<_>>();
        for (_, number, end) in ended {
            decisions.extend(dispatcher.end(ms(now), ticket(number), end));
        }
        if now.is_multiple_of(REQUEST_INTERVAL_MS) {
            decisions.extend(dispatcher.request_slot(ms(now), ticket(now), plain(now)));
        }
        for (number, upstream) in granted(&decisions) {
            let is_breaking = upstream == "s1" && BREAKING_MS.contains(&now);
            running.push(if is_breaking {
                (now + BREAK_MS, number, End::Broken)
            } else {
                (now + CALL_MS, number, finished(CALL_MS, 0))
            });
            if upstream == "s1" {
                granted_to_breaking.push(now);
            }
        }
    }
    let mut findings = dispatcher.take_findings();
    findings.retain(|finding| matches!(finding, Finding::CircuitChanged { .. }));
    (granted_to_breaking, findings)
}

/// Guards against an upstream that breaks all connections and gets all requests that the others
/// have no room for, as its slots are always free. Their callers cannot be told that nothing ran.
#[test]
fn an_upstream_that_breaks_all_connections_gets_few_requests_until_it_responds() {
    let (granted_at, changes) = play_breaking_upstream();
    let broken = granted_at.iter().filter(|at| BREAKING_MS.contains(at)).count();
    assert!(broken <= MAX_BROKEN, "{broken} requests were sent to it");
    let after = granted_at.iter().filter(|at| **at >= BREAKING_MS.end + 2_000).count();
    assert!(after > 100, "it got {after} requests after it had responded again");
    let change = |is_open| Finding::CircuitChanged { upstream: UpstreamName::from("s1"), is_open };
    assert_eq!(changes, [change(true), change(false)]);
}

/// Requests a slot of the instance with a link and ends its run with a broken connection; returns
/// its upstream, `None` if the request waits.
fn break_run(dispatcher: &mut Dispatcher, at: u64, link: u64) -> Option<String> {
    let mut request = request("a");
    request.fingerprint = at;
    let ticket = Ticket { link, number: at };
    let decisions = dispatcher.request_slot(ms(at), ticket, request);
    let upstream = granted(&decisions).first().map(|(_, upstream)| (*upstream).to_owned());
    dispatcher.end(ms(at), ticket, End::Broken);
    upstream
}

/// Occupies all slots of the upstream `busy`, so that requests go to the other one.
fn with_busy_upstream(links: u64) -> Dispatcher {
    let mut dispatcher = dispatcher(&[upstream("busy", 1)]);
    for link in 1..=links {
        dispatcher.request_slot(ms(0), Ticket { link, number: 0 }, request("a"));
    }
    for link in 2..=links {
        dispatcher.end(ms(0), Ticket { link, number: 0 }, End::Cancelled);
    }
    dispatcher.set_upstreams(ms(0), [upstream("busy", 1), upstream("broken", 4)]);
    dispatcher
}

/// Guards against the loss of all requests that find no other slot at an upstream that breaks each
/// run at once.
#[test]
fn pauses_an_upstream_that_breaks_one_run_after_the_other() {
    let mut dispatcher = with_busy_upstream(2);
    let broken = (1..=100).filter(|at| {
        break_run(&mut dispatcher, *at, 1 + at % 2).is_some_and(|upstream| upstream == "broken")
    });
    assert_eq!(broken.count(), 3);
    assert_eq!(break_run(&mut dispatcher, 253, 1).as_deref(), Some("broken"), "after the pause");
    assert_eq!(break_run(&mut dispatcher, 254, 2), None, "it still breaks runs");
}

/// Guards against a pause by an instance whose own path breaks its connections.
#[test]
fn one_of_several_instances_does_not_pause_an_upstream() {
    let mut dispatcher = with_busy_upstream(2);
    for at in 1..=10 {
        assert_eq!(break_run(&mut dispatcher, at, 1).as_deref(), Some("broken"));
    }
}

/// Guards against a pause after a crash, which breaks all runs of an upstream at once, and after
/// broken runs between completed ones.
#[test]
fn a_crash_or_single_broken_runs_do_not_pause_an_upstream() {
    let mut dispatcher = with_busy_upstream(1);
    let numbered = |number| SlotRequest { fingerprint: number, ..request("a") };
    for number in 1..=4 {
        dispatcher.request_slot(ms(10), ticket(number), numbered(number));
    }
    for number in 1..=4 {
        dispatcher.end(ms(20 + number), ticket(number), End::Broken);
    }
    assert_eq!(break_run(&mut dispatcher, 30, LINK).as_deref(), Some("broken"));
    for at in [40, 50, 60] {
        dispatcher.request_slot(ms(at), ticket(at), numbered(at));
        dispatcher.end(ms(at), ticket(at), finished(1, 0));
        assert_eq!(break_run(&mut dispatcher, at + 1, LINK).as_deref(), Some("broken"));
    }
}

/// Guards against a pause of an upstream that responds between the runs that break, as when the
/// requests are the cause and its other responses are streams that take longer.
#[test]
fn broken_runs_between_responses_do_not_pause_an_upstream() {
    let mut dispatcher = with_busy_upstream(2);
    let failed = ticket(1_000);
    for at in [10, 20, 30, 40, 50, 60] {
        assert_eq!(break_run(&mut dispatcher, at, 1 + at / 10 % 2).as_deref(), Some("broken"));
        if at < 30 {
            let stream = ticket(at + 1);
            dispatcher.request_slot(ms(at + 1), stream, request("a"));
            dispatcher.first_output(ms(at + 2), stream, ms(1));
        } else {
            dispatcher.request_slot(ms(at + 1), failed, request("a"));
            dispatcher.end(ms(at + 2), failed, End::Failed);
        }
    }
}

/// Guards against an upstream that gets no request for as long as streams go on that it began
/// before it broke others, although it responds again.
#[test]
fn a_paused_upstream_is_tried_while_earlier_streams_go_on() {
    let mut dispatcher = with_busy_upstream(2);
    let stream = ticket(1_000);
    assert_eq!(granted(&dispatcher.request_slot(ms(1), stream, request("a"))), [(1_000, "broken")]);
    dispatcher.first_output(ms(2), stream, ms(1));
    for at in [10, 20, 30] {
        assert_eq!(break_run(&mut dispatcher, at, 1 + at / 10 % 2).as_deref(), Some("broken"));
    }
    assert_eq!(break_run(&mut dispatcher, 40, 1), None);
    let probe = dispatcher.request_slot(ms(300), ticket(2), request("a"));
    assert_eq!(granted(&probe), [(2, "broken")]);
    assert_eq!(granted(&dispatcher.request_slot(ms(301), ticket(3), request("a"))), []);
    let responded = dispatcher.end(ms(310), ticket(2), finished(10, 0));
    assert_eq!(granted(&responded), [(3, "broken")]);
}
