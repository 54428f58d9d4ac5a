//! Decisions of the dispatcher: order of dispatch, choice of upstream, refusals and retry-after
//! times.

use std::{collections::HashMap, time::Duration};

use dispatch_support::{dispatcher, finished, granted, ms, refused, request, ticket, upstream};
use lacewingspring_core::{
    dispatch::{Decision, Dispatcher, End, FleetShare, Reason, SlotRequest, Ticket, Work},
    names::{DataCentreName, UpstreamName},
};

mod dispatch_support;

/// Ends the runs that are due, with a service time of 50 ms each, and dispatches waiting requests.
fn end_due_runs(
    dispatcher: &mut Dispatcher,
    running: &mut Vec<(Duration, u64)>,
    now: Duration,
) -> Vec<Decision> {
    let mut decisions = Vec::new();
    running.retain(|(until, number)| {
        let ends = *until <= now;
        if ends {
            decisions.extend(dispatcher.end(now, ticket(*number), finished(50, 0)));
        }
        !ends
    });
    decisions.extend(dispatcher.tick(now));
    decisions
}

#[test]
fn dispatches_up_to_the_slots_of_an_upstream() {
    let mut dispatcher = dispatcher(&[upstream("u", 2)]);
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(1), request("a"))), [(1, "u")]);
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(2), request("a"))), [(2, "u")]);
    assert_eq!(dispatcher.request_slot(ms(0), ticket(3), request("a")), []);
    assert_eq!(granted(&dispatcher.end(ms(10), ticket(1), finished(10, 0))), [(3, "u")]);
}

#[test]
fn sends_one_extra_request_to_an_upstream_with_many_slots() {
    let mut dispatcher = dispatcher(&[upstream("u", 11)]);
    let batches =
        (0..20).map(|number| dispatcher.request_slot(ms(0), ticket(number), request("a")));
    assert_eq!(batches.map(|decisions| granted(&decisions).len()).sum::<usize>(), 12);
}

#[test]
fn sends_one_extra_request_while_service_times_are_short() {
    let mut dispatcher = dispatcher(&[upstream("u", 6)]);
    let plain = || SlotRequest { work: Work::Plain, ..request("a") };
    let fill = |dispatcher: &mut Dispatcher, now: Duration, from: u64| {
        let batches =
            (from..from + 7).map(|number| dispatcher.request_slot(now, ticket(number), plain()));
        batches.map(|decisions| granted(&decisions).len()).sum::<usize>()
    };
    assert_eq!(fill(&mut dispatcher, ms(0), 0), 6, "without a sample, service times count as long");
    for number in 0..7 {
        dispatcher.end(ms(20), ticket(number), finished(20, 0));
    }
    for number in 100..200 {
        dispatcher.request_slot(ms(number), ticket(number), plain());
        dispatcher.end(ms(number), ticket(number), finished(20, 0));
    }
    assert_eq!(fill(&mut dispatcher, ms(300), 300), 7, "a service time of 20 ms counts as short");
}

#[test]
fn refuses_requests_that_cannot_be_on_time_and_spreads_retry_after_times() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    dispatcher.request_slot(ms(0), ticket(0), request("a"));
    let mut waits = Vec::new();
    for number in 1..10 {
        let decisions = dispatcher.request_slot(ms(0), ticket(number), request("a"));
        waits.extend(refused(&decisions).into_iter().map(|(_, reason, wait)| (reason, wait)));
    }
    assert!(
        waits.len() >= 7,
        "one slot with a service time of 500 ms can't serve ten in 400 ms: {waits:?}"
    );
    assert!(waits.iter().all(|(reason, _)| *reason == Reason::Overload));
    let all_differ = waits.windows(2).all(|pair| pair[0].1 < pair[1].1 || pair[1].1 >= ms(5_000));
    assert!(all_differ, "each caller gets a retry-after time of its own: {waits:?}");
}

#[test]
fn refuses_a_waiting_request_before_its_caller_leaves() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    dispatcher.request_slot(ms(0), ticket(0), request("a"));
    dispatcher.end(ms(100), ticket(0), finished(100, 0));
    dispatcher.request_slot(ms(100), ticket(1), request("a"));
    // The expected wait is short, but the running request holds its slot for long.
    let mut short = request("a");
    short.target_left = ms(800);
    assert_eq!(dispatcher.request_slot(ms(100), ticket(2), short), []);
    let mut at = 100;
    let decisions = loop {
        at += 20;
        let decisions = dispatcher.tick(ms(at));
        if !decisions.is_empty() {
            break decisions;
        }
        assert!(at < 2_500, "the request was not refused within 2,400 ms");
    };
    assert_eq!(refused(&decisions)[0].0, 2);
    assert!(at <= 100 + 1_440, "refused at {at} ms; its caller waits for 2,400 ms from 100 ms on");
}

#[test]
fn serves_a_late_retry_after_requests_that_can_be_on_time() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    let with_fingerprint = |fingerprint| SlotRequest { fingerprint, ..request("a") };
    dispatcher.request_slot(ms(0), ticket(0), with_fingerprint(0));
    let mut number = 0;
    let victim = loop {
        number += 1;
        let decisions = dispatcher.request_slot(ms(0), ticket(number), with_fingerprint(number));
        if let [(victim, Reason::Overload, _)] = refused(&decisions)[..] {
            break victim;
        }
        assert!(number < 10, "one slot with a service time of 500 ms can't serve ten in 400 ms");
    };
    for waiting in 0..number {
        dispatcher.end(ms(1), ticket(waiting), End::Cancelled);
    }
    // The refused request is retried after a second, together with a new one, while the only slot
    // is taken.
    dispatcher.request_slot(ms(1_000), ticket(100), with_fingerprint(100));
    assert_eq!(dispatcher.request_slot(ms(1_000), ticket(101), with_fingerprint(victim)), []);
    let mut patient = with_fingerprint(102);
    patient.target_left = ms(1_000);
    assert_eq!(dispatcher.request_slot(ms(1_010), ticket(102), patient), []);
    let decisions = dispatcher.end(ms(1_020), ticket(100), finished(20, 0));
    assert_eq!(granted(&decisions), [(102, "u")], "the new request can still be on time");
    let decisions = dispatcher.end(ms(1_040), ticket(102), finished(20, 0));
    assert_eq!(granted(&decisions), [(101, "u")]);
}

#[test]
fn serves_classes_evenly_under_overload() {
    let mut dispatcher = dispatcher(&[upstream("u", 4)]);
    let mut running: Vec<(Duration, u64)> = Vec::new();
    let mut served: HashMap<&str, u32> = HashMap::new();
    let mut number = 0;
    let mut classes = HashMap::new();
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        let mut decisions = Vec::new();
        // Class `many` sends four times as many requests as `few`; together twice what can be
        // served.
        for class in if step % 5 == 0 { ["few", "many"] } else { ["many", "many"] } {
            if step % 5 < 3 || class == "few" {
                number += 1;
                classes.insert(number, class);
                let request = SlotRequest { fingerprint: number, ..request(class) };
                decisions.extend(dispatcher.request_slot(now, ticket(number), request));
            }
        }
        decisions.extend(end_due_runs(&mut dispatcher, &mut running, now));
        for (number, _) in granted(&decisions) {
            running.push((now + ms(50), number));
            *served.entry(classes[&number]).or_default() += 1;
        }
    }
    let arrived = |class: &str| classes.values().filter(|other| **other == class).count() as f64;
    let share = |class: &str| f64::from(served[class]) / arrived(class);
    let (few, many) = (share("few"), share("many"));
    assert!(few > 0.4 && many > 0.4, "few {few}, many {many}");
    assert!((few - many).abs() < 0.3, "few {few}, many {many}");
}

/// Simulates an overload by one class in which one request in ten has a prompt of `large` tokens;
/// returns the served fractions of the other requests and of these.
fn served_by_size(large: u32) -> (f64, f64) {
    let mut dispatcher = dispatcher(&[upstream("u", 4)]);
    let mut running: Vec<(Duration, u64)> = Vec::new();
    let (mut arrived, mut served) = ([0_u32; 2], [0_u32; 2]);
    for number in 0..6_000_u64 {
        let now = ms(number * 5);
        let is_large = number % 10 == 3;
        arrived[usize::from(is_large)] += 1;
        let prompt_tokens = if is_large { large } else { 200 };
        let work = Work::Generation { prompt_tokens, output_tokens: 50, parts: Vec::new() };
        let request = SlotRequest { fingerprint: number, work, ..request("a") };
        let mut decisions = dispatcher.request_slot(now, ticket(number), request);
        decisions.extend(end_due_runs(&mut dispatcher, &mut running, now));
        for (number, _) in granted(&decisions) {
            running.push((now + ms(50), number));
            served[usize::from(number % 10 == 3)] += 1;
        }
    }
    let fraction = |size: usize| f64::from(served[size]) / f64::from(arrived[size]);
    (fraction(0), fraction(1))
}

#[test]
fn serves_large_requests_of_a_class_at_least_half_as_often() {
    let (small, large) = served_by_size(8_000);
    let all = small * 0.9 + large * 0.1;
    assert!(all < 0.8, "the load must exceed the capacity, but the fraction {all} was served");
    assert!(large > all / 2.0, "served fractions: large {large}, all {all}");
    assert!(large < small, "under overload small requests go first: large {large}, small {small}");
}

/// Number of requests by outcome.
#[derive(Debug, Default)]
struct LoadResult {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// Time from the end of prefill to the first output of an engine.
const ENGINE_STARTUP: Duration = Duration::from_millis(40);

/// Simulates twice the load that four engines can carry. Each engine prefills one prompt after
/// the other and needs [`ENGINE_STARTUP`] more before an answer begins.
fn overload_engines() -> LoadResult {
    let engines = ["u", "v", "w", "x"].map(|name| upstream(name, 4));
    let mut dispatcher = dispatcher(&engines);
    let mut prefill_done_at: HashMap<String, Duration> = HashMap::new();
    let mut events: Vec<(Duration, u64, Option<Duration>)> = Vec::new();
    let mut got = LoadResult::default();
    for number in 0..8_000_u64 {
        let now = ms(number * 5);
        let prompt_tokens = if number % 4 == 0 { 4_000 } else { 1_000 };
        let work = Work::Generation { prompt_tokens, output_tokens: 25, parts: Vec::new() };
        let mut decisions = Vec::new();
        events.sort_by_key(|(at, ..)| *at);
        while events.first().is_some_and(|(at, ..)| *at <= now) {
            let (at, ended, first) = events.remove(0);
            match first {
                Some(took) => dispatcher.first_output(now, ticket(ended), took),
                None => decisions.extend(dispatcher.end(at, ticket(ended), finished(170, 25))),
            }
        }
        let request = SlotRequest { fingerprint: number, work, ..request("a") };
        decisions.extend(dispatcher.request_slot(now, ticket(number), request));
        decisions.extend(dispatcher.tick(now));
        got.refused += u32::try_from(refused(&decisions).len()).expect("a few");
        for (number, engine) in granted(&decisions) {
            let tokens = if number % 4 == 0 { 4_000 } else { 1_000 };
            let done_at = prefill_done_at.entry(engine.to_owned()).or_default();
            *done_at = now.max(*done_at) + Duration::from_micros(15 * tokens);
            let first_at = *done_at + ENGINE_STARTUP;
            let whole_at = first_at + ms(125);
            events.push((first_at, number, Some(first_at - now)));
            events.push((whole_at, number, None));
            let requested_at = ms(number * 5);
            if first_at - requested_at <= ms(400) {
                got.on_time += 1;
            } else {
                got.late += 1;
            }
        }
    }
    got
}

#[test]
fn dispatches_under_overload_only_requests_with_timely_first_output() {
    let got = overload_engines();
    assert!(got.refused > 2_000, "the load must exceed the capacity: {got:?}");
    assert!(got.on_time > 2_500, "the engines must be kept busy: {got:?}");
    assert!(
        f64::from(got.late) < f64::from(got.on_time) * 0.05,
        "too many slots went to late answers: {got:?}"
    );
}

#[test]
fn prefers_its_own_data_centre_among_equal_upstreams() {
    let mut far = upstream("far", 4);
    far.data_centre = DataCentreName::from("b");
    let mut dispatcher = dispatcher(&[far, upstream("near", 4)]);
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(1), request("a"))), [(1, "near")]);
    let mut there = request("a");
    there.data_centre = DataCentreName::from("b");
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(2), there)), [(2, "far")]);
}

#[test]
fn prefers_the_faster_upstream() {
    let mut dispatcher = dispatcher(&[upstream("fast", 4), upstream("slow", 4)]);
    for number in 0..40 {
        let now = ms(number * 100);
        let decisions = dispatcher.request_slot(now, ticket(number), request("a"));
        let (_, name) = granted(&decisions)[0];
        let took = if name == "fast" { 100 } else { 800 };
        dispatcher.end(now, ticket(number), finished(took, 50));
    }
    let decisions = dispatcher.request_slot(ms(5_000), ticket(100), request("a"));
    assert_eq!(granted(&decisions), [(100, "fast")]);
}

#[test]
fn waits_for_an_upstream_that_can_complete_a_long_answer_in_time() {
    let mut dispatcher = dispatcher(&[upstream("fast", 1), upstream("slow", 1)]);
    for number in 0..40 {
        let now = ms(number * 1_000);
        let decisions = dispatcher.request_slot(now, ticket(number), request("a"));
        let (_, name) = granted(&decisions)[0];
        let took = if name == "fast" { 150 } else { 800 };
        let other = Ticket { link: 2, number };
        let decisions = dispatcher.request_slot(now, other, request("a"));
        let second = if granted(&decisions)[0].1 == "fast" { 150 } else { 800 };
        dispatcher.end(now, ticket(number), finished(took, 50));
        dispatcher.end(now, other, finished(second, 50));
    }
    let now = Duration::from_secs(60);
    assert_eq!(granted(&dispatcher.request_slot(now, ticket(100), request("a")))[0].1, "fast");
    // A thousand tokens take 3 s at the fast upstream and 16 s at the slow one.
    let mut long = request("b");
    long.work = Work::Generation { prompt_tokens: 100, output_tokens: 1_000, parts: Vec::new() };
    long.target_left = ms(800);
    assert_eq!(
        dispatcher.request_slot(now, ticket(101), long),
        [],
        "the long request waits for the fast upstream"
    );
    let decisions = dispatcher.request_slot(now, ticket(102), request("a"));
    assert_eq!(granted(&decisions), [(102, "slow")], "a short request is dispatched before it");
    let decisions = dispatcher.end(now + ms(150), ticket(100), finished(150, 50));
    assert_eq!(granted(&decisions), [(101, "fast")]);
}

#[test]
fn sends_nothing_to_an_upstream_that_was_reported_as_leaving() {
    let mut dispatcher = dispatcher(&[upstream("u", 4)]);
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(1), request("a"))), [(1, "u")]);
    dispatcher.end(ms(0), ticket(1), End::Leaving);
    let decisions = dispatcher.request_slot(ms(0), ticket(2), request("a"));
    assert_eq!(refused(&decisions)[0].1, Reason::NoUpstream);
}

#[test]
fn sends_nothing_to_draining_or_avoided_upstreams() {
    let mut draining = upstream("draining", 4);
    draining.draining = true;
    let mut dispatcher = dispatcher(&[draining, upstream("avoided", 4)]);
    let mut repeated = request("a");
    repeated.sends = 1;
    repeated.avoid = vec![UpstreamName::from("avoided")];
    let decisions = dispatcher.request_slot(ms(0), ticket(1), repeated);
    assert_eq!(refused(&decisions)[0].1, Reason::NoUpstream);
}

#[test]
fn blocks_a_request_that_crashes_upstreams() {
    let mut dispatcher = dispatcher(&[upstream("u", 10)]);
    for number in 0..2 {
        assert_eq!(
            granted(&dispatcher.request_slot(ms(number), ticket(number), request("a"))).len(),
            1
        );
        dispatcher.end(ms(number), ticket(number), End::Broken);
    }
    let decisions = dispatcher.request_slot(ms(10), ticket(10), request("a"));
    assert_eq!(refused(&decisions)[0].1, Reason::Crashes);
    let mut other = request("a");
    other.fingerprint = 8;
    assert_eq!(granted(&dispatcher.request_slot(ms(11), ticket(11), other)).len(), 1);
}

/// Runs requests with these fingerprints, each at its time, at the only upstream, and breaks them.
fn break_runs(dispatcher: &mut Dispatcher, runs: &[(u64, u64)]) {
    for (at, fingerprint) in runs.iter().copied() {
        let request = SlotRequest { fingerprint, ..request("a") };
        let decisions = dispatcher.request_slot(ms(at), ticket(at), request);
        assert_eq!(granted(&decisions), [(at, "u")]);
        dispatcher.end(ms(at), ticket(at), End::Broken);
    }
}

/// Guards against refusals of a sound request for two minutes after an upstream that breaks all
/// runs for a while has broken two of its runs.
#[test]
fn does_not_block_a_request_for_an_upstream_that_breaks_others_too() {
    let mut dispatcher = dispatcher(&[upstream("u", 10)]);
    break_runs(&mut dispatcher, &[(0, 1), (10, 2), (20, 1)]);
    let sound = SlotRequest { fingerprint: 1, ..request("a") };
    let decisions = dispatcher.request_slot(ms(300), ticket(300), sound.clone());
    assert!(refused(&decisions).is_empty());
    dispatcher.end(ms(300), ticket(300), End::Cancelled);
    break_runs(&mut dispatcher, &[(1_000, 1)]);
    let decisions = dispatcher.request_slot(ms(1_010), ticket(1_010), sound);
    assert_eq!(refused(&decisions)[0].1, Reason::Crashes, "a second later it counts");
}

#[test]
fn a_gate_of_half_the_fleet_uses_half_the_slots() {
    let mut dispatcher = dispatcher(&[upstream("a", 6), upstream("b", 6)]);
    dispatcher.set_fleet_share(ms(0), FleetShare::of_minority(1.0 / 2.0));
    let batches =
        (0..18).map(|number| dispatcher.request_slot(ms(0), ticket(number), request("a")));
    let filled: usize = batches.map(|decisions| granted(&decisions).len()).sum();
    assert_eq!(filled, 6);
}

#[test]
fn counts_running_requests_of_an_upstream_that_reappears() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(1), request("a"))), [(1, "u")]);
    dispatcher.set_upstreams(ms(1), []);
    dispatcher.set_upstreams(ms(2), [upstream("u", 1)]);
    assert_eq!(granted(&dispatcher.request_slot(ms(3), ticket(2), request("a"))), []);
    assert_eq!(granted(&dispatcher.end(ms(4), ticket(1), finished(4, 0))), [(2, "u")]);
}

#[test]
fn frees_the_slots_of_a_disconnected_instance() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    let other = Ticket { link: 2, number: 0 };
    assert_eq!(granted(&dispatcher.request_slot(ms(0), other, request("a"))).len(), 1);
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(1), request("a"))).len(), 0);
    assert_eq!(granted(&dispatcher.end_link(ms(1), 2)), [(1, "u")]);
}

#[test]
fn counts_requests_adopted_from_an_earlier_gate() {
    let mut dispatcher = dispatcher(&[upstream("u", 1)]);
    dispatcher.adopt(ms(0), ticket(1), &request("a"), UpstreamName::from("u"));
    assert_eq!(granted(&dispatcher.request_slot(ms(0), ticket(2), request("a"))).len(), 0);
    assert_eq!(granted(&dispatcher.end(ms(1), ticket(1), finished(10, 0))), [(2, "u")]);
}
