//! Case: a client that nobody controls sends requests that each name many prompt parts of their own
//! while servers crash and come back.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins_3::{
    client::{self, Request},
    deployment::{
        Deployment, ORDINARY_KEY, PLAIN_TIMEOUT, READ_PATH, STREAM_PATH, UNKNOWN_KEY, has_trouble,
    },
    fleet,
};

/// Requests of the unknown client at a time.
const AT_A_TIME: usize = 100;

/// Time after a route's `timeoutMs` by which there must be an answer.
const MARGIN: Duration = Duration::from_millis(500);

/// Length of the test after its start.
const LENGTH: Duration = Duration::from_secs(75);

/// Time from one crash of servers to the next, and for which they are away.
const CRASH_INTERVAL: Duration = Duration::from_millis(2_000);
const CRASH_TIME: Duration = Duration::from_millis(1_500);

/// Largest length of the header with the parts.
const PARTS_BYTES: usize = 15_900;

fn main() {
    let deployment = Deployment::start();
    let record = deployment.record.clone();
    let mut machines = deployment.machines(3, deployment.store.address);
    fleet::start_all(&mut machines);
    let callers: Vec<_> = machines.iter().map(|machine| machine.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    // Times of the ordinary requests from their last byte to their answer.
    let times: Arc<Mutex<Vec<(Duration, Duration, String)>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..12 {
        let to = callers[number % callers.len()];
        let (record, times, is_over) = (record.clone(), times.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let from = Ipv4Addr::new(127, 0, 0, 3);
            let mut sent = 0;
            while !is_over.load(Ordering::Relaxed) {
                sent += 1;
                let id = format!("o{number:x}-{sent:x}");
                let request = Request::new("GET", READ_PATH, &id, ORDINARY_KEY, 3_000);
                let (at, began) = (record.now(), Instant::now());
                let answer = client::send(from, to, &request, Duration::from_secs(20));
                let text = match &answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(e) => e.to_string(),
                };
                let took = began.elapsed();
                record.line(&format!("request {id} to {to}: {text} after {} ms", took.as_millis()));
                times.lock().expect("times").push((at, took, text));
                thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    let next_part = Arc::new(AtomicU64::new(0x1000));
    if has_trouble() {
        for number in 0..AT_A_TIME {
            let to = callers[number % callers.len()];
            let (is_over, next_part) = (is_over.clone(), next_part.clone());
            thread::spawn(move || {
                let from = Ipv4Addr::new(127, 0, 0, 2);
                thread::sleep(Duration::from_millis(number as u64 * 37 % 1_000));
                while !is_over.load(Ordering::Relaxed) {
                    let first = next_part.fetch_add(2_000, Ordering::Relaxed);
                    let mut parts = format!("{first:x}:0");
                    let mut part = first + 1;
                    while parts.len() < PARTS_BYTES && part < first + 2_000 {
                        parts.push_str(&format!(",{part:x}:0"));
                        part += 1;
                    }
                    let id = format!("u{first:x}");
                    let request = Request::new("POST", STREAM_PATH, &id, UNKNOWN_KEY, 15_000)
                        .with("X-Lacewingspring-Model", "m")
                        .with("X-Lacewingspring-Token-Usage", "10,10")
                        .with("X-Lacewingspring-Prompt-Prefix", &parts)
                        .with_body(id.as_bytes());
                    assert!(request.head().len() <= 16_384, "the head is within the limit");
                    let answer = client::send(from, to, &request, Duration::from_secs(20));
                    if !answer.is_ok_and(|answer| answer.status() == 200) {
                        thread::sleep(Duration::from_millis(200));
                    }
                }
            });
        }
    }
    // Servers crash with and without the client, two of nine at a time.
    let (models, crashing) = (deployment.models.clone(), is_over.clone());
    let store = deployment.store.clone();
    thread::spawn(move || {
        let mut next = 0;
        while !crashing.load(Ordering::Relaxed) {
            thread::sleep(CRASH_INTERVAL - CRASH_TIME);
            let crashed = [&models[next % 9], &models[(next + 4) % 9]];
            crashed.iter().for_each(|server| server.crash());
            thread::sleep(CRASH_TIME);
            crashed.iter().for_each(|server| server.restart(&store));
            next += 1;
        }
    });
    let mut unready = vec![0; machines.len()];
    let mut unready_twice = 0;
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        for (number, machine) in machines.iter().enumerate() {
            let is_ready = machine.is_ready();
            unready[number] = if is_ready { 0 } else { unready[number] + 1 };
            unready_twice += usize::from(unready[number] == 2);
            if !is_ready {
                record.line(&format!("{} does not say that it is ready", machine.name));
            }
        }
        thread::sleep(Duration::from_millis(700));
    }
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let has_ended = machines.iter_mut().any(fleet::Instance::has_ended);
    drop(machines);
    let times = times.lock().expect("times");
    let long = times.iter().filter(|(_, took, _)| *took > PLAIN_TIMEOUT).count();
    let late = times.iter().filter(|(_, took, _)| *took > PLAIN_TIMEOUT + MARGIN).count();
    let longest = times.iter().map(|(_, took, _)| *took).max().unwrap_or_default();
    let good = times.iter().filter(|(_, _, text)| text == "200").count();
    record.say(&format!("ordinary requests: {}, {good} with 200", times.len()));
    record.say(&format!(
        "unanswered at their route's timeoutMs: {long}; of these 0.5 s later still: {late}; \
         longest: {} ms",
        longest.as_millis()
    ));
    record.say(&format!("times that a machine was not ready twice in a row: {unready_twice}"));
    record.say(&format!("a process ended by itself: {has_ended}"));
    let is_broken = late >= 8 && late * 4 > long;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
