//! Records of 40 kB while a burst of long prompts holds the memory of the machine.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, exchange},
    platform::*,
    record::Record,
    store::Store,
};

/// Requests of the burst and the time between them.
const BURST: usize = 100;
const BURST_GAP: Duration = Duration::from_millis(10);

/// Body of a request of the burst, in bytes; the configuration allows 4,194,304.
const PROMPT_BYTES: usize = 300 * 1024;

/// Bodies of the uploads that come after it, in KiB, and the time between them.
const UPLOAD_KIB: [usize; 8] = [64, 64, 64, 64, 32, 32, 16, 16];
const UPLOAD_GAP: Duration = Duration::from_millis(40);

/// Time after the burst in which the requests that find no memory are refused.
const SETTLE_TIME: Duration = Duration::from_millis(1_700);

/// Time that a model server reads its prompts before its first event: 9 prompts of 50,000 tokens at
/// 68.2 tokens a millisecond take 6.6 s, and longer at a slow one.
const PREFILL: Duration = Duration::from_millis(10_000);

/// Time that an upload takes at its server.
const UPLOAD_WORK: Duration = Duration::from_millis(6_000);

/// Length of a record, in bytes.
const RECORD_BYTES: usize = 40_000;

/// Bytes that a server writes at a time, and the time between two writes.
const PIECE_BYTES: usize = 20 * 1024;
const PIECE_GAP: Duration = Duration::from_millis(5);

/// Time limit of the route of the records.
const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time after the time limit of a route at which a request must have an answer.
const HALF_SECOND: Duration = Duration::from_millis(500);

/// Time for which clients wait.
const DEADLINE: Duration = Duration::from_millis(6_000);

/// Clients that wait for each response before the next request, and those that send three requests at
/// once (RFC 9112, section 9.3.2).
const WAITING: usize = 6;
const PIPELINING: usize = 6;

fn record_body(path: &str) -> Vec<u8> {
    let line = format!("record {path}\n");
    line.bytes().cycle().take(RECORD_BYTES).collect()
}

fn app() -> Handler {
    Arc::new(|call| {
        call.run();
        let target = call.request.target().to_owned();
        if target.starts_with("/puxa403/") {
            thread::sleep(UPLOAD_WORK);
            return call.answer(200, "", b"stored");
        }
        thread::sleep(Duration::from_millis(60));
        call.answer_in_pieces(&record_body(&target), PIECE_BYTES, PIECE_GAP)
    })
}

fn model() -> Handler {
    Arc::new(|call| {
        call.run();
        if call.request.body.len() > 1_000 {
            thread::sleep(PREFILL);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Lacewingspring-Attempt-Id: {}\r\n{}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            call.id(),
            signature(&call.server.name)
        );
        let mut goes_on = call.reader.send(head.as_bytes());
        for event in 1..=20 {
            let text = format!("id: {event}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            goes_on = goes_on && call.reader.send(chunk.as_bytes());
            thread::sleep(Duration::from_millis(20));
        }
        goes_on && call.reader.send(b"0\r\n\r\n")
    })
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    /// Successes that are complete by their framing, and those of them whose body isn't that of the
    /// server.
    successes: AtomicUsize,
    wrong: AtomicUsize,
    /// Requests of waiting clients without a complete response at their route's time limit, and
    /// half a second later.
    late: AtomicUsize,
    unanswered: AtomicUsize,
}

/// Sends a request on a kept connection and waits for its response.
fn wait_for_one(mut reader: Reader, name: &str, path: &str, seen: &Seen, record: &Record) {
    let began = Instant::now();
    reader.send(&request("GET", path, name, DEADLINE.as_millis() as u64, "", b""));
    let until = began + DEADLINE;
    let response = reader.response(until);
    let took = began.elapsed();
    seen.late.fetch_add(usize::from(took > TIMEOUT), Ordering::Relaxed);
    if let Some(response) = response.as_ref().filter(|response| response.is_complete) {
        check(name, path, response, seen, record);
        return;
    }
    seen.unanswered.fetch_add(usize::from(took > TIMEOUT + HALF_SECOND), Ordering::Relaxed);
    let response = response.unwrap_or_default();
    let (read, announced) = (response.body.len(), response.header("content-length").to_owned());
    let end =
        if Instant::now() < until { "the connection is closed" } else { "the client gives up" };
    record.line(&format!(
        "{name}: {}, {read} of {announced} bytes, then {end} after {took:?}",
        response.start
    ));
}

/// Sends requests at once on one connection and reads their responses in order.
fn pipeline(address: SocketAddr, name: &str, paths: &[String], seen: &Seen, record: &Record) {
    let Ok(stream) = TcpStream::connect(address) else { return };
    let mut reader = Reader::new(stream);
    let until = Instant::now() + DEADLINE;
    for (number, path) in paths.iter().enumerate() {
        let id = format!("{name}-{number}");
        reader.send(&request("GET", path, &id, DEADLINE.as_millis() as u64, "", b""));
    }
    for (number, path) in paths.iter().enumerate() {
        let id = format!("{name}-{number}");
        match reader.response(until).filter(|response| response.is_complete) {
            Some(response) if check(&id, path, &response, seen, record) => {}
            Some(_) => return,
            None => {
                record.line(&format!("{id}: no complete response"));
                return;
            }
        }
    }
}

/// Checks a response that is complete by its framing; returns whether it is right.
fn check(id: &str, path: &str, response: &Message, seen: &Seen, record: &Record) -> bool {
    if response.status() != 200 {
        record.line(&format!("{id}: {}", response.start));
        return true;
    }
    seen.successes.fetch_add(1, Ordering::Relaxed);
    let expected = record_body(path);
    if response.body == expected {
        record.line(&format!("{id}: 200, the server's whole body"));
        return true;
    }
    seen.wrong.fetch_add(1, Ordering::Relaxed);
    let same = response.body.iter().zip(&expected).take_while(|(a, b)| a == b).count();
    let other: Vec<u8> = response.body[same..].iter().copied().take(240).collect();
    record.line(&format!(
        "{id}: 200 for {} with the signature {}, {} bytes as announced: {same} of the server's, \
         then {:?}",
        response.header("x-lacewingspring-attempt-id"),
        response.header("x-lacewingspring-response-signature"),
        response.body.len(),
        String::from_utf8_lossy(&other)
    ));
    false
}

/// Runs the case; returns whether the rule was kept.
pub fn run(trouble: bool, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let store = Store::start((free_ip(&[8225]), 8225).into());
    let routes = [
        route("read", "/cufi504/", "idempotent", "app", 3_000, 2),
        route("upload", "/puxa403/", "non_idempotent", "app", 10_000, 1),
        route("long", "/lohu930/", "streaming", "lm", 15_000, 1),
    ];
    store.put("op/config", &config(7, &routes));
    let mut servers = Vec::new();
    for number in 0..3 {
        servers.push(Server::start(&store, &format!("i-app{number}"), "app", 6, "v1", app()));
    }
    for number in 0..9 {
        servers.push(Server::start(&store, &format!("i-lm{number}"), "lm", 10, "v1", model()));
    }
    let mut instance = Instance::start(&folder.0, "frontend-cluj-a-1", "cluj-a", &store);
    if !instance.wait_ready(Duration::from_secs(10)) {
        return None;
    }
    let address = instance.callers();
    let warm_up = request("GET", "/cufi504/warm", "warm-up", 3_000, "", b"");
    if exchange(address, &warm_up, Duration::from_secs(3))?.status() != 200 {
        return None;
    }
    // The waiting clients have had a response on their connections before.
    let mut kept = Vec::new();
    for number in 0..WAITING {
        let mut reader = Reader::new(TcpStream::connect(address).ok()?);
        let path = format!("/cufi504/first/{number}");
        reader.send(&request("GET", &path, &format!("first-{number}"), 3_000, "", b""));
        let response = reader.response(Instant::now() + TIMEOUT)?;
        if response.body != record_body(&path) {
            return None;
        }
        kept.push(reader);
    }
    let (seen, ends) = (Seen::default(), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        if trouble {
            for number in 0..BURST {
                let ends = &ends;
                thread::sleep(BURST_GAP);
                scope.spawn(move || {
                    let extra = format!(
                        "Authorization: Bearer {}\r\nX-Lacewingspring-Model: m\r\n\
                         X-Lacewingspring-Token-Usage: 50000,380\r\n",
                        KEYS[number % KEYS.len()]
                    );
                    let id = format!("long-{number}");
                    let body = vec![b'p'; PROMPT_BYTES];
                    let bytes =
                        request_without_key("POST", "/lohu930/d", &id, 15_000, &extra, &body);
                    let response = exchange(address, &bytes, Duration::from_secs(16));
                    ends.lock().unwrap().push(response.map_or(0, |response| response.status()));
                });
            }
            thread::sleep(SETTLE_TIME);
            for (number, kib) in UPLOAD_KIB.into_iter().enumerate() {
                let ends = &ends;
                scope.spawn(move || {
                    let id = format!("upload-{number}");
                    let body = vec![b'u'; kib * 1024];
                    let bytes = request("POST", "/puxa403/scan", &id, 10_000, "", &body);
                    let response = exchange(address, &bytes, Duration::from_secs(11));
                    ends.lock().unwrap().push(response.map_or(0, |response| response.status()));
                });
                thread::sleep(UPLOAD_GAP);
            }
        }
        thread::sleep(Duration::from_millis(200));
        for (number, reader) in kept.into_iter().enumerate() {
            let (seen, record) = (&seen, &record);
            scope.spawn(move || {
                let path = format!("/cufi504/single/{number}");
                wait_for_one(reader, &format!("waiting-{number}"), &path, seen, record);
            });
            thread::sleep(Duration::from_millis(30));
        }
        for number in 0..PIPELINING {
            let (seen, record) = (&seen, &record);
            scope.spawn(move || {
                let paths = ["a", "b", "c"].map(|name| format!("/cufi504/{name}/{number}"));
                pipeline(address, &format!("pipelining-{number}"), &paths, seen, record);
            });
            thread::sleep(Duration::from_millis(30));
        }
    });
    let mut ends = ends.into_inner().unwrap();
    ends.sort_unstable();
    record.line(&format!("statuses of the burst (0: none): {ends:?}"));
    for server in &servers {
        let runs = server.runs.lock().unwrap();
        record.line(&format!("server {} ran {} requests", server.name, runs.len()));
    }
    for line in instance.log_lines("Memory is short") {
        record.line(&format!("log: {line}"));
    }
    if let Some(status) = instance.ended() {
        record.say(&format!("the process ended: {status}"));
        return None;
    }
    let count = |number: &AtomicUsize| number.load(Ordering::Relaxed);
    record.say(&format!(
        "MIXED: {} of {} successes have a body that isn't the server's (none is allowed)",
        count(&seen.wrong),
        count(&seen.successes)
    ));
    let (late, unanswered) = (count(&seen.late), count(&seen.unanswered));
    record.say(&format!(
        "CONFIG: of {late} requests of waiting clients that were unanswered at their route's time \
         limit {unanswered} had no answer half a second later (at most half are allowed)"
    ));
    Some(count(&seen.wrong) == 0 && 2 * unanswered <= late)
}
