//! The servers of a service fail part of their requests after they have run them, with a status that
//! clients take for a promise that nothing has run.

use std::{sync::Mutex, thread, time::Duration};

use crate::{
    http::exchange,
    server::{Server, Spec, Work},
    setup::{Setup, request},
};

const SERVICE: &str = "booking";

/// Time for which a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Bookings that are made, and the time between them.
const BOOKINGS: u32 = 240;
const INTERVAL: Duration = Duration::from_millis(50);

/// Bookings while the servers fail part of their requests: 4 s.
const FAILING: std::ops::Range<u32> = 60..140;

/// Of each so many requests that a server runs meanwhile it fails 9, so 45 in 100.
const PERIOD: u32 = 20;
const FAILED: u32 = 9;

/// Makes a booking at one instance and, if that promises that it has not run, once more at another
/// one; returns the attempts and what they got.
fn book(setup: &Setup, number: u32) -> Vec<(String, u16)> {
    let mut attempts = Vec::new();
    for attempt in 0..2 {
        let instance = 1 + ((number + attempt) % 3) as u8;
        let id = format!("{number:06x}{attempt:02x}07be2a35");
        let head = request("POST", &format!("/{SERVICE}/x"), &id, DEADLINE, "");
        let address = setup.address(instance, 8221);
        let body = format!("seat {number}");
        let answer = exchange(address, &head, body.as_bytes(), DEADLINE, |_| {});
        let status = answer.as_ref().map_or(0, |answer| answer.head.status());
        let wait = answer.ok().and_then(|answer| answer.head.get("retry-after")?.parse().ok());
        setup.record.line(format!(
            "client: seat {number}, attempt {id} at frontend-a-{instance}, gets {status}"
        ));
        attempts.push((id, status));
        if !matches!(status, 408 | 421 | 429 | 503) {
            break;
        }
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1)).min(DEADLINE / 3));
    }
    attempts
}

/// Runs the case; returns whether the rule was broken.
pub fn run(setup: &Setup, has_trouble: bool) -> bool {
    let Setup { store, record, .. } = setup;
    setup.configure(&[(SERVICE, "non_idempotent", 3_000)]);
    let servers = [1, 2, 3, 4].map(|number| {
        let spec = Spec {
            id: format!("i-{number}"),
            service: SERVICE.into(),
            version: "v1".into(),
            address: setup.address(10 + number, 8080),
            slots: 6,
            work: Work::Call(Duration::from_millis(60)),
            cold: Duration::ZERO,
        };
        Server::start(spec, store, record)
    });
    let instances = [1, 2, 3].map(|last| setup.instance(last, Vec::new()).0);
    let attempts = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..BOOKINGS {
            let is_failing = has_trouble && FAILING.contains(&number);
            for server in &servers {
                server.fail_after_run(if is_failing { FAILED } else { 0 }, PERIOD);
            }
            let attempts = &attempts;
            scope.spawn(move || {
                let made = book(setup, number);
                attempts.lock().expect("no panic").push((number, made));
            });
            thread::sleep(INTERVAL);
        }
    });
    drop(instances);
    let attempts = attempts.into_inner().expect("no panic");
    let ran: Vec<String> = servers.iter().flat_map(Server::runs).collect();
    let mut broken = 0;
    let mut doubled = 0;
    for (number, made) in &attempts {
        let runs = made.iter().filter(|(id, _)| ran.contains(id)).count();
        doubled += usize::from(runs > 1);
        for (id, status) in made {
            if matches!(status, 408 | 421 | 429 | 503) && ran.contains(id) {
                broken += 1;
                record.line(format!(
                    "broken: attempt {id} for seat {number} has run and is answered {status}; \
                     the seat was booked {runs} times"
                ));
            }
        }
    }
    record.line(format!(
        "result: of {BOOKINGS} bookings {broken} attempts were answered with a promise that they have \
         not run though they had; {doubled} seats were booked twice"
    ));
    broken > 0
}
