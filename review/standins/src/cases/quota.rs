//! The gate freezes and wakes again while one tenant begins to ask for far more than its limit.

use std::{sync::Mutex, thread, time::Duration};

use crate::{
    http::exchange,
    server::{Server, Spec, Work},
    setup::{Setup, request},
};

const SERVICE: &str = "models";

/// Time for which a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Tokens of a request.
const TOKENS: u64 = 6_610 + 380;

/// Limit of the tenant, in tokens a second and in a burst.
const RATE: u64 = 158_000;
const BURST: u64 = 158_000;

/// `quotaWindowS`, `quotaOverrun` and `quotaTolerance`.
const WINDOW: Duration = Duration::from_secs(8);
const OVERRUN: f64 = 0.1;
const TOLERANCE: f64 = 140_000.0;

/// Time between two requests of the tenant, as usual, by which it uses 1 / 1.8 of its limit.
const INTERVAL: Duration = Duration::from_millis(80);

/// Factor on the tenant's usual traffic while it is hot, and when that is.
const HOT: u32 = 7;
const HOT_FROM: Duration = Duration::from_millis(12_100);
const HOT_FOR: Duration = Duration::from_millis(6_500);

/// Time at which the gate freezes, and for how long.
const FROZEN_FROM: Duration = Duration::from_secs(12);
const FROZEN_FOR: Duration = Duration::from_millis(2_300);

/// Length of the case.
const LENGTH: Duration = Duration::from_secs(24);

/// Runs the case; returns whether the rule was broken.
pub fn run(setup: &Setup, has_trouble: bool) -> bool {
    let Setup { store, record, .. } = setup;
    setup.configure_limited(SERVICE, RATE, BURST);
    let servers = [1, 2, 3, 4].map(|number| {
        let spec = Spec {
            id: format!("i-{number}"),
            service: SERVICE.into(),
            version: "v1".into(),
            address: setup.address(10 + number, 8080),
            slots: 16,
            work: Work::Stream(4, Duration::from_millis(40)),
            cold: Duration::ZERO,
        };
        Server::start(spec, store, record)
    });
    // The first that registers is the gate.
    let instances = [1, 2, 3, 4].map(|last| setup.instance(last, Vec::new()).0);
    let started = record.now();
    let sent = Mutex::new(Vec::new());
    thread::scope(|scope| {
        if has_trouble {
            let gate = &instances[0];
            scope.spawn(move || {
                record.sleep_until(started + FROZEN_FROM);
                gate.signal("STOP");
                thread::sleep(FROZEN_FOR);
                gate.signal("CONT");
            });
        }
        let mut number = 0_u32;
        let mut next = started;
        while record.now() < started + LENGTH {
            number += 1;
            let sent = &sent;
            scope.spawn(move || {
                let instance = 1 + (number % 4) as u8;
                let id = format!("{number:08x}2fc41d07");
                let more = format!(
                    "X-Lacewingspring-Model: m\r\nX-Lacewingspring-Token-Usage: 6610,380\r\n\
                     X-Lacewingspring-Prompt-Prefix: 5c1e07a2:60,{number:08x}:6550\r\n"
                );
                let head = request("POST", &format!("/{SERVICE}/x"), &id, DEADLINE, &more);
                let at = record.now();
                let answer =
                    exchange(setup.address(instance, 8221), &head, b"ask", DEADLINE, |_| {});
                let status = answer.map_or(0, |answer| answer.head.status());
                record.line(format!(
                    "client: {id}, sent to frontend-a-{instance} at {:.3}, gets {status}",
                    at.as_secs_f64()
                ));
                sent.lock().expect("no panic").push((at, id));
            });
            let now = record.now() - started;
            let is_hot = (HOT_FROM..HOT_FROM + HOT_FOR).contains(&now);
            next += if is_hot { INTERVAL / HOT } else { INTERVAL };
            record.sleep_until(next);
        }
    });
    let lines = instances[0].log_lines("share of the fleet");
    drop(instances);
    for line in lines {
        record.line(format!("log of frontend-a-1: {line}"));
    }
    let runs: Vec<(Duration, String)> = servers.iter().flat_map(Server::timed_runs).collect();
    let run_at: std::collections::HashMap<&str, Duration> =
        runs.iter().map(|(at, id)| (id.as_str(), *at)).collect();
    let sent = sent.into_inner().expect("no panic");
    // A request counts in a window if it is both sent and run there.
    let mut both: Vec<(Duration, Duration)> =
        sent.iter().filter_map(|(at, id)| Some((*at, *run_at.get(id.as_str())?))).collect();
    both.sort_unstable();
    let worst = both.iter().map(|(start, _)| {
        let within =
            |(sent, run): &&(Duration, Duration)| *sent >= *start && *run < *start + WINDOW;
        (both.iter().filter(within).count() as u64 * TOKENS, *start)
    });
    let (worst, start) = worst.max().unwrap_or_default();
    let limit = (RATE * WINDOW.as_secs() + BURST) as f64;
    let allowed = limit * (1.0 + OVERRUN) + TOLERANCE;
    record.line(format!(
        "result: {worst} tokens were sent and run in the 8 s from {:.3} s on; the limit is {limit}, \
         {allowed} are allowed; {} requests were sent, {} ran",
        start.as_secs_f64(),
        sent.len(),
        both.len()
    ));
    worst as f64 > allowed
}
