//! Measures the cost of one decision of the dispatcher, by the number of upstreams, without and with
//! streams that are resumed at an older software version of which few upstreams are left.
//!
//! The load is about twice what the upstreams can serve, as the cost of a decision grows with the
//! length of the queue.

#![allow(clippy::disallowed_methods, reason = "a benchmark reads the clock")]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, End, FleetShare, PromptPart, SlotRequest, StreamRef, Ticket,
        UpstreamInfo, Work,
    },
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName},
};

/// Number of requests in a measurement.
const REQUESTS: u64 = 20_000;

/// Slots of each upstream.
const SLOTS: u32 = 7;

/// Requests per second for each slot. A run takes about a second.
const REQUESTS_PER_SECOND_PER_SLOT: f64 = 2.0;

/// Number of requests between two ticks, which refuse expired requests.
const REQUESTS_PER_TICK: u64 = 40;

/// One upstream out of so many has the older software version.
const OLD_UPSTREAM_INTERVAL: usize = 10;

/// In a release one request out of so many resumes a stream at the older version, which is twice as
/// many as its upstreams can serve.
const RESUMED_INTERVAL: u64 = 5;

/// Running requests by the time at which they end.
type Ends = BinaryHeap<Reverse<(Duration, u64)>>;

fn software(is_old: bool) -> SoftwareVersion {
    SoftwareVersion::from(if is_old { "v1" } else { "v2" })
}

fn upstream(number: usize) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(format!("upstream-{number}")),
        service: ServiceName::from("models"),
        software: software(number.is_multiple_of(OLD_UPSTREAM_INTERVAL)),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: SLOTS,
        memory_tokens: 450_000,
        draining: false,
        started_at_ms: 1,
    }
}

fn request(number: u64) -> SlotRequest {
    let class = (number % 3) as u8;
    SlotRequest {
        service: ServiceName::from("models"),
        class: Arc::from(["review", "coach", "tag"][usize::from(class)]),
        rank: class,
        data_centre: DataCentreName::from("a"),
        workspace: Some(WorkspaceName::from("workspace")),
        work: Work::Generation {
            prompt_tokens: 2_000,
            output_tokens: 300,
            parts: vec![
                PromptPart { id: number % 40, tokens: 60 },
                PromptPart { id: 1_000 + number, tokens: 1_900 },
            ],
        },
        target_left: Duration::from_millis(400),
        time_left: Duration::from_secs(12),
        first_output_left: Duration::from_secs(3),
        charge: 2_300,
        sends: 0,
        avoid: Vec::new(),
        fingerprint: number,
        stream: None,
        software: None,
    }
}

fn ticket(number: u64) -> Ticket {
    Ticket { link: 1, number }
}

/// Records when granted requests end; returns the number of refused ones.
fn record_grants(now: Duration, decisions: &[Decision], ends: &mut Ends) -> usize {
    for decision in decisions {
        if let Decision::Granted(ticket, _) = decision {
            let took = Duration::from_millis(700 + ticket.number * 7_919 % 600);
            ends.push(Reverse((now + took, ticket.number)));
        }
    }
    decisions.iter().filter(|decision| matches!(decision, Decision::Refused(..))).count()
}

/// Returns a request that resumes a stream at the older version.
fn resumed(number: u64) -> SlotRequest {
    let lifetime = Duration::from_secs(12);
    SlotRequest {
        stream: Some(StreamRef { id: number, is_resumed: true, attempt: number, lifetime }),
        software: Some(software(true)),
        ..request(number)
    }
}

fn measure(upstreams: usize, is_release: bool) {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(Duration::ZERO, (0..upstreams).map(upstream));
    dispatcher.set_fleet_share(Duration::ZERO, FleetShare::WHOLE);
    let rate = upstreams as f64 * f64::from(SLOTS) * REQUESTS_PER_SECOND_PER_SLOT;
    let mut ends = Ends::new();
    let (mut calls, mut refused) = (0_u32, 0);
    let began = Instant::now();
    for number in 0..REQUESTS {
        let now = Duration::from_secs_f64(number as f64 / rate);
        while let Some(Reverse((at, ended))) = ends.peek().copied().filter(|end| end.0.0 <= now) {
            ends.pop();
            let took = Duration::from_millis(1_000);
            let end = End::Finished { took, output_tokens: 300, decode: took, is_framed: true };
            refused += record_grants(at, &dispatcher.end(at, ticket(ended), end), &mut ends);
            calls += 1;
        }
        if number % REQUESTS_PER_TICK == 0 {
            refused += record_grants(now, &dispatcher.tick(now), &mut ends);
        }
        let is_resumed = is_release && number.is_multiple_of(RESUMED_INTERVAL);
        let next = if is_resumed { resumed(number) } else { request(number) };
        refused +=
            record_grants(now, &dispatcher.request_slot(now, ticket(number), next), &mut ends);
        calls += 1;
    }
    let cost = began.elapsed() / calls;
    let release = if is_release { ", release" } else { "" };
    println!("{upstreams:>5} upstreams{release}: {cost:?} a call, {refused} of {REQUESTS} refused");
}

fn main() {
    for upstreams in [9, 30, 120, 350] {
        measure(upstreams, false);
        measure(upstreams, true);
    }
}
