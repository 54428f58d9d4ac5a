//! Limits that upstreams name on the requests that they take from all instances together.

use std::time::Duration;

use dispatch_support::ticket;
use lacewingspring_core::dispatch::{
    Decision, Dispatcher, End, FleetShare, Grant, SlotRequest, Ticket, UpstreamInfo, Work,
};

mod dispatch_support;

const LIMITED: &str = "limited";

/// Time between two requests, each of which runs for [`RUN_TIME`].
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

const RUN_TIME: Duration = Duration::from_millis(50);

/// Length of the window in which the users' rule counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests that the users' rule allows in a window.
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

fn upstream(name: &str, started_at_ms: u64) -> UpstreamInfo {
    UpstreamInfo { started_at_ms, ..dispatch_support::upstream(name, 4) }
}

fn request(number: u64) -> SlotRequest {
    SlotRequest {
        workspace: None,
        work: Work::Plain,
        first_output_left: Duration::from_secs(3),
        charge: 1,
        fingerprint: number,
        ..dispatch_support::request("class")
    }
}

/// A gate that gets a request each [`REQUEST_INTERVAL`].
struct Play {
    now: Duration,
    gate: Dispatcher,
    upstreams: Vec<UpstreamInfo>,
    next_number: u64,
    /// Runs with the times of their ends.
    runs: Vec<(Duration, u64)>,
    /// Limit that the responses of the limited upstream name.
    limit: Option<f64>,
    /// Times of the requests to the limited upstream.
    limited_at: Vec<Duration>,
    granted: usize,
}

impl Play {
    fn new(limit: Option<f64>) -> Self {
        let upstreams = vec![upstream(LIMITED, 1), upstream("other", 1)];
        let mut play = Self {
            now: Duration::ZERO,
            gate: Dispatcher::default(),
            upstreams,
            next_number: 0,
            runs: Vec::new(),
            limit,
            limited_at: Vec::new(),
            granted: 0,
        };
        play.gate.set_fleet_share(Duration::ZERO, FleetShare::WHOLE);
        play.set_upstreams();
        play
    }

    fn set_upstreams(&mut self) {
        let decisions = self.gate.set_upstreams(self.now, self.upstreams.clone());
        self.apply(decisions);
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += REQUEST_INTERVAL;
            self.end_runs();
            let number = self.next_number;
            self.next_number += 1;
            let decisions = self.gate.request_slot(self.now, ticket(number), request(number));
            self.apply(decisions);
            let decisions = self.gate.tick(self.now);
            self.apply(decisions);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<(Duration, u64)> = self.runs.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, number) in ended {
            let end = End::Finished {
                took: RUN_TIME,
                output_tokens: 0,
                decode: Duration::ZERO,
                is_framed: true,
            };
            let decisions = self.gate.end(now, ticket(number), end);
            self.apply(decisions);
        }
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let Decision::Granted(ticket, grant) = decision else { continue };
            self.granted += 1;
            self.runs.push((self.now + RUN_TIME, ticket.number));
            if grant.upstream.as_str() == LIMITED {
                self.limited_at.push(self.now);
                self.respond(ticket, &grant);
            }
        }
    }

    /// Reports what the head of the limited upstream's response names.
    fn respond(&mut self, ticket: Ticket, grant: &Grant) {
        if self.limit.is_some() || grant.is_limited {
            self.gate.set_rate_limit(self.now, ticket, self.limit);
        }
    }

    /// Returns the number of requests to the limited upstream since `from`.
    fn limited_since(&self, from: Duration) -> usize {
        self.limited_at.iter().filter(|at| **at >= from).count()
    }

    fn most_in_a_window(&self, from: Duration) -> usize {
        let starts = self.limited_at.iter().filter(|at| **at >= from);
        let count = |start: &Duration| {
            let end = *start + WINDOW;
            self.limited_at.iter().filter(|at| (*start..end).contains(at)).count()
        };
        starts.map(count).max().unwrap_or_default()
    }
}

#[test]
fn keeps_the_limit_that_an_upstream_names() {
    for rate in [0.0, 0.4, 1.3, 3.7, 20.0] {
        let mut play = Play::new(Some(rate));
        play.run_for(Duration::from_secs(20));
        let most = play.most_in_a_window(Duration::from_secs(1));
        assert!(most <= allowed(rate), "{most} requests in 4 s at {rate} a second");
        let count = play.limited_since(Duration::from_secs(4)) as f64;
        assert!(count >= rate * 16.0 * 0.7, "{count} requests in 16 s at {rate} a second");
    }
}

#[test]
fn uses_an_upstream_again_when_its_responses_name_no_limit() {
    let mut play = Play::new(Some(1.0));
    play.run_for(Duration::from_secs(5));
    play.limit = None;
    let from = play.now + Duration::from_secs(2);
    play.run_for(Duration::from_secs(4));
    let count = play.limited_since(from);
    assert!(count > 40, "{count} requests in 2 s after the limit was gone");
}

#[test]
fn does_not_keep_to_the_limit_of_an_earlier_process() {
    let mut play = Play::new(Some(1.0));
    play.run_for(Duration::from_secs(5));
    play.limit = None;
    play.upstreams[0] = upstream(LIMITED, 2);
    play.set_upstreams();
    let from = play.now;
    play.run_for(Duration::from_secs(1));
    let count = play.limited_since(from);
    assert!(count > 20, "{count} requests in 1 s to a new process");
}

#[test]
fn keeps_a_limit_while_the_entry_of_the_upstream_is_gone() {
    let mut play = Play::new(Some(1.0));
    play.run_for(Duration::from_secs(5));
    let limited = play.upstreams.remove(0);
    play.set_upstreams();
    play.run_for(Duration::from_secs(1));
    play.upstreams.push(limited);
    play.set_upstreams();
    let from = play.now;
    play.run_for(WINDOW);
    let count = play.limited_since(from);
    assert!(count <= allowed(1.0), "{count} requests in 4 s");
}

#[test]
fn a_gate_of_a_part_of_the_fleet_uses_its_part_of_a_limit() {
    let mut play = Play::new(Some(8.0));
    play.run_for(Duration::from_secs(5));
    play.gate.set_fleet_share(play.now, FleetShare::of_minority(0.25));
    let from = play.now + Duration::from_secs(1);
    play.run_for(Duration::from_secs(9));
    let count = play.limited_since(from);
    assert!((12..=18).contains(&count), "{count} requests in 8 s at a quarter of 8 a second");
}

#[test]
fn a_new_gate_knows_the_limits() {
    let mut play = Play::new(Some(1.0));
    play.run_for(Duration::from_secs(5));
    let hand_over = play.gate.hand_over(play.now);
    play.gate = Dispatcher::default();
    play.gate.set_fleet_share(play.now, FleetShare::WHOLE);
    play.gate.take_over(play.now, Duration::ZERO, &hand_over);
    // The responses after the change are on their way, so that only the hand-over tells the limit.
    play.limit = None;
    play.runs.clear();
    let from = play.now;
    play.set_upstreams();
    play.run_for(Duration::from_millis(900));
    let count = play.limited_since(from);
    assert!(count <= 1, "{count} requests in 0.9 s at 1 a second");
}

#[test]
fn serves_at_another_upstream_what_a_limit_does_not_allow() {
    let mut play = Play::new(Some(0.5));
    play.run_for(Duration::from_secs(10));
    let fraction = play.granted as f64 / play.next_number as f64;
    assert!(fraction > 0.7, "{fraction:.2} of the requests are granted a slot");
}

#[test]
fn follows_a_limit_that_falls_and_rises() {
    let mut play = Play::new(Some(8.0));
    play.run_for(Duration::from_secs(5));
    play.limit = Some(1.3);
    play.run_for(Duration::from_secs(2));
    let from = play.now;
    play.run_for(WINDOW);
    let count = play.limited_since(from);
    assert!((1..=allowed(1.3)).contains(&count), "{count} requests in 4 s at 1.3 a second");
    play.limit = Some(8.0);
    play.run_for(Duration::from_secs(2));
    let from = play.now;
    play.run_for(WINDOW);
    let count = play.limited_since(from);
    assert!((20..=allowed(8.0)).contains(&count), "{count} requests in 4 s at 8 a second");
}
