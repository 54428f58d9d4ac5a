//! Callers that send their bodies slowly, while others want answers.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::exchange, platform::*, record::Record, store::Store};

/// Connections of the slow callers.
const CROWD: usize = 1_060;

/// Length of their bodies, in bytes, of which each sends one a second.
const BODY_BYTES: usize = 600;
const BYTE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the crowd is there.
const CROWD_TIME: Duration = Duration::from_secs(20);

/// Ordinary clients, and the time from one request of each to the next.
const ORDINARY: usize = 10;
const INTERVAL: Duration = Duration::from_millis(200);

/// `touchMs` of the deployment.
const TOUCH: Duration = Duration::from_millis(3_000);

fn open(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let head = format!(
        "POST /lohu930/slow HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingspring-Attempt-Id: slow-{number}\r\n\
         X-Lacewingspring-Deadline-Ms: 15000\r\nAuthorization: Bearer {}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        KEYS[0]
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Returns whether a connection is open and has no response yet.
fn is_open(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 512];
    matches!(stream.read(&mut buf), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Keeps the connections of the crowd open, each with a body that is on its way.
fn keep_open(address: SocketAddr, is_over: &AtomicBool, record: &Record, began: Instant) {
    let mut streams: Vec<Option<TcpStream>> =
        (0..CROWD).map(|number| open(address, number)).collect();
    let mut reported = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        let round = Instant::now();
        let mut held = 0;
        for (number, stream) in streams.iter_mut().enumerate() {
            let goes_on =
                stream.as_mut().is_some_and(|stream| is_open(stream) && stream.write(b"x").is_ok());
            if goes_on {
                held += 1;
            } else {
                *stream = open(address, number);
            }
        }
        if reported.elapsed() > Duration::from_secs(2) {
            reported = Instant::now();
            record.line(&format!(
                "{:.1} s  slow callers with a request on its way: {held}",
                began.elapsed().as_secs_f64()
            ));
        }
        thread::sleep(BYTE_INTERVAL.saturating_sub(round.elapsed()));
    }
}

/// Runs the case; returns whether the rule was kept.
pub fn run(trouble: bool, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let store = Store::start((free_ip(&[8225]), 8225).into());
    let routes = [
        route("read", "/cufi504/", "idempotent", "app", 3_000, 2),
        route("long", "/lohu930/", "streaming", "lm", 15_000, 1),
    ];
    store.put("op/config", &config(7, &routes));
    let handler: Handler = Arc::new(|call| {
        call.run();
        thread::sleep(Duration::from_millis(20));
        call.answer(200, "", b"the record")
    });
    let mut servers = Vec::new();
    for number in 0..3 {
        servers.push(Server::start(
            &store,
            &format!("i-app{number}"),
            "app",
            6,
            "v1",
            handler.clone(),
        ));
    }
    servers.push(Server::start(&store, "i-lm0", "lm", 10, "v1", handler));
    let mut instance = Instance::start(&folder.0, "frontend-cluj-a-1", "cluj-a", &store);
    if !instance.wait_ready(Duration::from_secs(10)) {
        return None;
    }
    let address = instance.callers();
    let warm_up = request("GET", "/cufi504/warm", "warm-up", 3_000, "", b"");
    if exchange(address, &warm_up, Duration::from_secs(3))?.status() != 200 {
        return None;
    }
    let began = Instant::now();
    let is_over = AtomicBool::new(false);
    let tries: Mutex<Vec<(Duration, Option<u16>)>> = Mutex::default();
    let mut not_ready = 0;
    thread::scope(|scope| {
        if trouble {
            let is_over = &is_over;
            scope.spawn(move || keep_open(address, is_over, record, began));
        }
        thread::sleep(Duration::from_secs(2));
        for client in 0..ORDINARY {
            let (is_over, tries) = (&is_over, &tries);
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let at = began.elapsed();
                    let id = format!("ordinary-{client}-{number}");
                    let bytes = request("GET", "/cufi504/record", &id, 3_000, "", b"");
                    let status =
                        exchange(address, &bytes, Duration::from_secs(3)).map(|a| a.status());
                    tries.lock().unwrap().push((at, status));
                    thread::sleep(INTERVAL);
                }
            });
        }
        while began.elapsed() < CROWD_TIME {
            thread::sleep(Duration::from_millis(500));
            not_ready += usize::from(instance.readiness() != 200);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let mut tries = tries.into_inner().unwrap();
    tries.sort_unstable_by_key(|(at, _)| *at);
    // The longest span in which new connections were tried and none got an answer.
    let (mut longest, mut since, mut last) = (Duration::ZERO, None, Duration::ZERO);
    for (at, status) in &tries {
        if status.is_some() {
            since = None;
        } else {
            let since = *since.get_or_insert(*at);
            longest = longest.max(*at - since);
        }
        last = *at;
    }
    for second in 0..=last.as_secs() {
        let of_second: Vec<&Option<u16>> = tries
            .iter()
            .filter(|(at, _)| at.as_secs() == second)
            .map(|(_, status)| status)
            .collect();
        let served = of_second.iter().filter(|status| ***status == Some(200)).count();
        let none = of_second.iter().filter(|status| status.is_none()).count();
        record.line(&format!(
            "{second} s: {} tries, {served} served, {none} closed or without an answer",
            of_second.len()
        ));
    }
    for line in instance.log_lines("\"limit\"").iter().take(5) {
        record.line(&format!("log: {line}"));
    }
    if let Some(status) = instance.ended() {
        record.say(&format!("the process ended: {status}"));
    }
    let served = tries.iter().filter(|(_, status)| *status == Some(200)).count();
    record.say(&format!(
        "{served} of {} ordinary requests were served; readiness failed {not_ready} times; for {:.1} s on \
         end no new connection of {ORDINARY} clients got an answer (at most {:.1} s are allowed)",
        tries.len(),
        longest.as_secs_f64(),
        TOUCH.as_secs_f64()
    ));
    Some(longest <= TOUCH || not_ready > 0)
}
