//! Measures the time of a placement: a request that arrives while others wait, and a run that ends
//! and frees a slot.
//!
//! With the argument `load`, upstreams report their load and pace in each response. A number of
//! workspaces that send the requests may follow.

#![allow(clippy::disallowed_methods, reason = "a benchmark reads the clock")]

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, End, FleetShare, PromptPart, SlotRequest, Ticket, UpstreamInfo,
        UpstreamLoad, Work,
    },
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName},
};

/// Number of upstreams.
const UPSTREAMS: usize = 112;

/// Slots of each upstream.
const SLOTS: u32 = 8;

/// Requests that wait while placements are measured.
const WAITING: u64 = 2_000;

/// Placements measured.
const PLACEMENTS: u64 = 20_000;

fn upstream(number: usize) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(format!("upstream-{number}")),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: SLOTS,
        memory_tokens: 450_000,
        draining: false,
        started_at_ms: 1,
    }
}

fn request(number: u64, workspaces: u64) -> SlotRequest {
    let class = (number % 3) as u8;
    SlotRequest {
        service: ServiceName::from("models"),
        class: Arc::from(["review", "coach", "tag"][usize::from(class)]),
        rank: class,
        data_centre: DataCentreName::from("a"),
        workspace: (workspaces > 0)
            .then(|| WorkspaceName::from(format!("workspace-{}", number % workspaces))),
        work: Work::Generation {
            prompt_tokens: 2_000,
            output_tokens: 300,
            parts: vec![
                PromptPart { id: number % 40, tokens: 60 },
                PromptPart { id: 1_000 + number, tokens: 1_900 },
            ],
        },
        target_left: Duration::from_secs(3_000),
        time_left: Duration::from_secs(12_000),
        first_output_left: Duration::from_secs(9_000),
        charge: 2_300,
        sends: 0,
        avoid: Vec::new(),
        fingerprint: number,
        stream: None,
        software: None,
    }
}

fn granted(decisions: &[Decision]) -> impl Iterator<Item = Ticket> {
    decisions.iter().filter_map(|decision| match decision {
        Decision::Granted(ticket, _) => Some(*ticket),
        Decision::Refused(..) => None,
    })
}

/// Places requests, of which `waiting` wait; prints the mean time of an end with its placement.
fn measure(reports: bool, workspaces: u64, waiting: u64) {
    let mut gate = Dispatcher::default();
    gate.set_fleet_share(Duration::ZERO, FleetShare::WHOLE);
    gate.set_upstreams(Duration::ZERO, (0..UPSTREAMS).map(upstream));
    let ticket = |number| Ticket { link: 1, number };
    let mut running = Vec::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    let mut ask = |gate: &mut Dispatcher, now: Duration| {
        next += 1;
        gate.request_slot(now, ticket(next), request(next, workspaces))
    };
    let mut spent = Duration::ZERO;
    for step in 0..PLACEMENTS + waiting + 2_000 {
        now += Duration::from_micros(500);
        let is_filling = step < waiting + 1_000;
        let decisions = if is_filling { ask(&mut gate, now) } else { Vec::new() };
        running.extend(granted(&decisions));
        if is_filling {
            continue;
        }
        let ended: Ticket = running.swap_remove((step * 7 % running.len() as u64) as usize);
        if reports {
            let pace = Some(1.0 + (step % 17) as f64 / 4.0);
            let load = UpstreamLoad { running: 9, waiting: 3, slots: SLOTS, pace };
            gate.record_load(now, ended, load);
        }
        gate.first_output(now, ended, Duration::from_millis(60));
        let end = End::Finished {
            took: Duration::from_millis(400),
            output_tokens: 300,
            decode: Duration::from_millis(340),
            is_framed: true,
        };
        let began = Instant::now();
        let decisions = gate.end(now, ended, end);
        running.extend(granted(&decisions));
        let decisions = ask(&mut gate, now);
        spent += began.elapsed();
        running.extend(granted(&decisions));
    }
    let placements = (PLACEMENTS + 1_000) as u32;
    println!(
        "reports {reports}, {workspaces} workspaces, about {waiting} waiting: {:?} a placement",
        spent / placements
    );
}

fn main() {
    let reports = std::env::args().nth(1).is_some_and(|argument| argument == "load");
    let workspaces = std::env::args().nth(2).and_then(|argument| argument.parse().ok());
    for waiting in [0, WAITING] {
        measure(reports, workspaces.unwrap_or_default(), waiting);
    }
}
