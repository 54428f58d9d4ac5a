//! Which workspace gets the next slot, and whose request is refused.

use std::time::Duration;

use dispatch_support::{dispatcher, granted, ms, refused, request, ticket, upstream};
use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, End, Finding, Limits, Quota, QuotaBounds, RetryBound, SlotRequest,
        StreamRef, UpstreamLoad, Work,
    },
    names::WorkspaceName,
};

mod dispatch_support;

/// Time for which a request holds its slot.
const SERVICE_MS: u64 = 100;

/// Output tokens of an answer.
const TOKENS: u32 = 50;

/// A gate of a service with one upstream, and requests with little to lose by waiting.
struct Service {
    gate: Dispatcher,
    now_ms: u64,
    next: u64,
    names: Vec<Option<&'static str>>,
    running: Vec<u64>,
    waiting: Vec<u64>,
    refused: Vec<u64>,
}

impl Service {
    /// Returns the service after some runs from which their time was learned.
    fn new() -> Self {
        let mut service = Self::without_shares();
        for _ in 0..40 {
            service.ask(None);
            service.serve(1);
        }
        service.gate.enable_shares();
        service
    }

    fn without_shares() -> Self {
        let gate = dispatcher(&[upstream("u", 1)]);
        let (running, waiting, refused) = (Vec::new(), Vec::new(), Vec::new());
        Self { gate, now_ms: 0, next: 0, names: Vec::new(), running, waiting, refused }
    }

    fn set_rates(&mut self, rates: &[(&str, Option<f64>)]) {
        let quota = |rate| Quota { rate, burst: 1e9 };
        let quotas = rates.iter().map(|(name, rate)| (WorkspaceName::from(*name), quota(*rate)));
        self.gate.set_limits(Limits {
            quotas: QuotaBounds { quotas: quotas.collect(), window: ms(8_000) },
            retries: RetryBound::default(),
        });
    }

    fn request(workspace: Option<&str>) -> SlotRequest {
        SlotRequest {
            workspace: workspace.map(WorkspaceName::from),
            target_left: ms(10_000_000),
            time_left: ms(100_000_000),
            first_output_left: ms(100_000_000),
            ..request("class")
        }
    }

    fn ask(&mut self, workspace: Option<&'static str>) -> u64 {
        self.ask_for(workspace, Self::request(workspace))
    }

    fn ask_for(&mut self, workspace: Option<&'static str>, request: SlotRequest) -> u64 {
        let number = self.next;
        self.next += 1;
        self.names.push(workspace);
        self.waiting.push(number);
        let request = SlotRequest { fingerprint: number, ..request };
        let decisions = self.gate.request_slot(ms(self.now_ms), ticket(number), request);
        self.apply(&decisions);
        number
    }

    fn apply(&mut self, decisions: &[Decision]) {
        let granted: Vec<u64> = granted(decisions).into_iter().map(|(number, _)| number).collect();
        let refused: Vec<u64> = refused(decisions).into_iter().map(|(number, ..)| number).collect();
        self.waiting.retain(|number| !granted.contains(number) && !refused.contains(number));
        self.running.extend(granted);
        self.refused.extend(refused);
    }

    /// Ends the oldest run and returns the workspaces whose requests are granted the slot.
    fn end_next(&mut self, end: End) -> Vec<Option<&'static str>> {
        let number = self.running.remove(0);
        let before = self.running.len();
        let decisions = self.gate.end(ms(self.now_ms), ticket(number), end);
        self.apply(&decisions);
        self.running[before..].iter().map(|number| self.names[*number as usize]).collect()
    }

    /// Ends runs one after the other; returns whose requests are granted the slots.
    fn serve(&mut self, count: usize) -> Vec<Option<&'static str>> {
        let mut served = Vec::new();
        for _ in 0..count {
            self.now_ms += SERVICE_MS;
            served.extend(self.end_next(finished(SERVICE_MS)));
        }
        served
    }

    fn serve_count(&mut self, count: usize, workspace: Option<&str>) -> usize {
        self.serve(count).into_iter().filter(|served| *served == workspace).count()
    }
}

fn finished(took_ms: u64) -> End {
    dispatch_support::finished(took_ms, TOKENS)
}

/// Guards against a workspace with many requests that makes another one wait for all of them.
#[test]
fn the_workspace_that_was_served_least_goes_first() {
    let mut service = Service::new();
    for _ in 0..10 {
        service.ask(Some("a"));
    }
    service.ask(Some("b"));
    service.ask(Some("b"));
    let served = service.serve(4);
    assert_eq!(served, [Some("b"), Some("a"), Some("b"), Some("a")]);
}

/// Guards against shares by the number of workspaces, and against weights that only hold for
/// requests that arrive later.
#[test]
fn shares_follow_the_quotas_also_when_they_change() {
    let mut service = Service::new();
    service.set_rates(&[("a", Some(3_000.0)), ("b", Some(1_000.0))]);
    for _ in 0..250 {
        service.ask(Some("a"));
        service.ask(Some("b"));
    }
    let of_a = service.serve_count(80, Some("a"));
    assert!((57..=63).contains(&of_a), "{of_a} of 80, 60 are due");
    service.set_rates(&[("a", Some(1_000.0)), ("b", Some(3_000.0))]);
    service.serve_count(100, None);
    let of_a = service.serve_count(80, Some("a"));
    assert!((17..=23).contains(&of_a), "{of_a} of 80, 20 are due");
}

/// Guards against workspaces without a quota, and requests without a workspace, that get nothing or
/// everything. The rates have a mean of 2,000.
#[test]
fn no_quota_and_no_workspace_have_the_mean_weight() {
    let mut service = Service::new();
    service.set_rates(&[("a", Some(3_000.0)), ("b", Some(1_000.0)), ("c", None)]);
    for _ in 0..200 {
        for workspace in [Some("a"), Some("b"), Some("c"), None] {
            service.ask(workspace);
        }
    }
    let served = service.serve(160);
    let count = |workspace| served.iter().filter(|served| **served == workspace).count();
    let counts = [Some("a"), Some("b"), Some("c"), None].map(count);
    for (count, due) in counts.into_iter().zip([60, 20, 40, 40]) {
        assert!(count.abs_diff(due) <= 3, "{counts:?}, due are 60, 20, 40, 40");
    }
}

/// Guards against a workspace with a quota of next to nothing that is never served.
#[test]
fn a_tiny_quota_is_served() {
    let mut service = Service::new();
    service.set_rates(&[("a", Some(1e6)), ("b", Some(1e-6))]);
    service.ask(Some("a"));
    service.ask(Some("b"));
    for _ in 0..50 {
        service.ask(Some("a"));
    }
    assert!(service.serve_count(50, Some("b")) == 1);
}

/// Guards against shares in requests: those of one workspace hold their slots four times as long.
#[test]
fn shares_are_in_upstream_time() {
    let mut service = Service::new();
    let parts = Vec::new();
    let work = Work::Generation { prompt_tokens: 100, output_tokens: 4 * TOKENS, parts };
    let long = SlotRequest { work, ..Service::request(Some("long")) };
    for _ in 0..200 {
        service.ask_for(Some("long"), long.clone());
        service.ask(Some("short"));
    }
    let (mut long_ms, mut short_ms) = (0, 0);
    while long_ms + short_ms < 20_000 {
        let number = service.running[0];
        let is_long = service.names[number as usize] == Some("long");
        let factor = if is_long { 4 } else { 1 };
        let took_ms = factor * SERVICE_MS;
        *(if is_long { &mut long_ms } else { &mut short_ms }) += took_ms;
        service.now_ms += took_ms;
        let tokens = factor as u32 * TOKENS;
        service.end_next(dispatch_support::finished(took_ms, tokens));
    }
    assert!((9_000..=11_000).contains(&long_ms), "{long_ms} ms of 20,000, 10,000 are due");
}

/// Guards against a charge for runs that did not take place.
#[test]
fn what_was_predicted_of_a_declined_run_is_taken_back() {
    for end in [End::Declined, End::Unreachable, End::Leaving, End::Unused] {
        let mut service = Service::new();
        service.ask(Some("a"));
        service.ask(Some("b"));
        service.ask(Some("b"));
        service.end_next(end);
        let use_of_a = service.gate.granted_time().remove(&Some(WorkspaceName::from("a")));
        assert_eq!(use_of_a, Some(Duration::ZERO), "{end:?}");
    }
}

/// Guards against a cancelled or failed run that is charged as if it had gone on to its end, or
/// not at all.
#[test]
fn cancelled_and_failed_runs_are_charged_for_the_time_they_ran() {
    for end in [End::Cancelled, End::Failed, End::Broken] {
        let mut service = Service::new();
        service.ask(Some("a"));
        for _ in 0..20 {
            service.ask(Some("a"));
            service.ask(Some("b"));
        }
        service.now_ms += 10;
        assert_eq!(service.end_next(end), [Some("b")], "{end:?}");
        // A run of b takes as much as ten of those of a, so that a goes several times.
        service.now_ms += SERVICE_MS;
        assert_eq!(service.end_next(finished(SERVICE_MS)), [Some("a")], "{end:?}");
        service.now_ms += 10;
        assert_eq!(service.end_next(end), [Some("a")], "{end:?}");
        let used = service.gate.granted_time().remove(&Some(WorkspaceName::from("a")));
        assert_eq!(used, Some(ms(20)), "{end:?}");
    }
}

/// Guards against a workspace that saves up what it left unused, and against one that returns to
/// wait behind the others.
#[test]
fn a_workspace_that_returns_has_little_credit() {
    let mut service = Service::new();
    for _ in 0..400 {
        service.ask(Some("a"));
    }
    service.serve_count(300, None);
    for _ in 0..100 {
        service.ask(Some("b"));
    }
    let served = service.serve(60);
    assert_eq!(served[0], Some("b"), "the one that returns goes first");
    let first_of_a = served.iter().position(|served| *served == Some("a"));
    // A second of its share of half the time, and of what a uses less meanwhile.
    assert!(first_of_a.is_some_and(|first| first <= 11), "a waits for {first_of_a:?} of b");
    let of_b = served.iter().filter(|served| **served == Some("b")).count();
    assert!((30..=38).contains(&of_b), "{of_b} of 60");
}

/// Guards against a workspace that stays behind for what it used long ago.
#[test]
fn what_was_used_is_forgotten() {
    let mut service = Service::new();
    for _ in 0..100 {
        service.ask(Some("a"));
    }
    service.serve_count(99, None);
    service.serve_count(1, None);
    service.now_ms += 60_000;
    for _ in 0..50 {
        service.ask(Some("a"));
        service.ask(Some("b"));
    }
    let of_a = service.serve_count(20, Some("a"));
    assert!((9..=11).contains(&of_a), "{of_a} of 20");
}

/// Guards against refusals of a workspace that uses less than its share, when one that uses more
/// has requests that can be refused.
#[test]
fn the_newest_of_the_workspace_above_its_share_is_refused() {
    let mut service = Service::new();
    let timely = |workspace| SlotRequest {
        target_left: ms(2_000),
        time_left: ms(8_000),
        first_output_left: ms(8_000),
        ..Service::request(workspace)
    };
    let mut last_of_a = 0;
    while service.refused.is_empty() {
        last_of_a = service.ask_for(Some("a"), timely(Some("a")));
    }
    assert_eq!(service.refused, [last_of_a], "alone, the one that arrives is refused");
    let newest_of_a = service.waiting.last().copied();
    let of_b = service.ask_for(Some("b"), timely(Some("b")));
    assert_eq!(service.refused.last().copied(), newest_of_a);
    assert!(service.waiting.contains(&of_b));
    let findings = service.gate.take_findings();
    let Some(Finding::RefusedUnderShares { service: name, share_use, .. }) = findings.last() else {
        panic!("no refusal in {findings:?}");
    };
    assert_eq!(name.as_str(), "models");
    assert_eq!(share_use.workspace, Some(WorkspaceName::from("a")));
    assert!(share_use.is_above(), "{share_use:?}");
}

/// Guards against resumed streams that wait for their workspace's share.
#[test]
fn resumed_streams_go_before_all_others() {
    let mut service = Service::new();
    for _ in 0..20 {
        service.ask(Some("a"));
    }
    service.serve_count(10, None);
    service.ask(Some("b"));
    let stream = StreamRef { id: 1, is_resumed: true, attempt: 1, lifetime: ms(60_000) };
    let resumed = SlotRequest {
        stream: Some(stream),
        software: Some("v1".into()),
        ..Service::request(Some("a"))
    };
    service.ask_for(Some("a"), resumed);
    assert_eq!(service.serve(2), [Some("a"), Some("b")]);
}

/// Guards against classes that lose their order: the shares of workspaces count within a class.
#[test]
fn the_order_of_classes_stays() {
    let order = |is_enabled: bool| {
        let mut gate = dispatcher(&[upstream("u", 1)]);
        if is_enabled {
            gate.enable_shares();
        }
        let mut decisions = Vec::new();
        let classes = [("urgent", 0), ("later", 1)];
        for number in 0..60 {
            let (class, rank) = classes[(number % 2) as usize];
            let workspace = if number % 6 < 4 { "a" } else { "b" };
            let workspace = Some(workspace);
            let request = SlotRequest { rank, ..Service::request(workspace) };
            let request = SlotRequest { class: class.into(), fingerprint: number, ..request };
            decisions.extend(gate.request_slot(ms(number), ticket(number), request));
        }
        for step in 0..50 {
            let Some((running, _)) = granted(&decisions).last().copied() else { break };
            decisions.extend(gate.end(ms(1_000 + step * 100), ticket(running), finished(100)));
        }
        let numbers = granted(&decisions);
        numbers.into_iter().map(|(number, _)| number % 2).collect::<Vec<u64>>()
    };
    assert_eq!(order(true), order(false));
}

/// Guards against other decisions where one workspace is alone, and where upstreams report three
/// figures; and against shares that go on once no process reports four.
#[test]
fn shares_begin_and_end_with_reports_of_four_figures() {
    let mut service = Service::without_shares();
    for _ in 0..6 {
        service.ask(Some("a"));
    }
    service.ask(Some("b"));
    service.ask(Some("b"));
    assert_eq!(service.serve(1), [Some("a")]);
    let report = |service: &mut Service, pace| {
        let load = UpstreamLoad { running: 1, waiting: 0, slots: 1, pace };
        service.gate.record_load(ms(service.now_ms), ticket(service.running[0]), load);
    };
    report(&mut service, None);
    assert_eq!(service.serve(1), [Some("a")]);
    report(&mut service, Some(1.0));
    assert_eq!(service.serve(1), [Some("a")], "both are served equally, and a is older");
    assert_eq!(service.serve(1), [Some("b")]);
    let mut restarted = upstream("u", 1);
    restarted.started_at_ms = 2;
    service.gate.set_upstreams(ms(service.now_ms), [restarted]);
    assert_eq!(service.serve(1), [Some("a")], "the oldest goes first again");
}

/// Guards against requests of a lost link that count as waiting for ever.
#[test]
fn a_lost_link_leaves_no_trace() {
    let mut service = Service::new();
    for _ in 0..5 {
        service.ask(Some("a"));
        service.ask(Some("b"));
    }
    service.gate.end_link(ms(service.now_ms), dispatch_support::LINK);
    assert!(!service.gate.is_waiting());
    (service.running, service.waiting) = (Vec::new(), Vec::new());
    for workspace in ["a", "b", "b", "a"] {
        service.ask(Some(workspace));
    }
    assert_eq!(service.running.len(), 1);
    assert_eq!(service.serve(3).len(), 3);
}
