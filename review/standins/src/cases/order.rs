//! Clients take streams up again at an instance that is cut off from the store and from all others
//! since just before a release of a new software version.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::exchange,
    relay::Relay,
    server::{Server, Spec, Work},
    setup::{Setup, request},
};

/// Service of the streams.
const SERVICE: &str = "models";

/// Time for which a client waits for a whole stream.
const DEADLINE: Duration = Duration::from_secs(15);

/// Events of a stream and the time between them.
const EVENTS: u32 = 58;
const PAUSE: Duration = Duration::from_millis(50);

/// Streams that are under way when an instance is killed.
const STREAMS: u32 = 36;

/// Streams with events of two versions above which the rule is broken.
const ALLOWED: usize = 2;

/// What a client has of its stream.
#[derive(Default)]
struct Received {
    last_event: u32,
    versions: BTreeSet<String>,
    buf: String,
}

impl Received {
    fn push(&mut self, part: &[u8]) {
        self.buf.push_str(&String::from_utf8_lossy(part));
        while let Some(end) = self.buf.find("\n\n") {
            let event: String = self.buf.drain(..end + 2).collect();
            for line in event.lines() {
                if let Some(number) = line.strip_prefix("id: ") {
                    self.last_event = number.parse().unwrap_or(self.last_event);
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    self.versions.extend(data.split(' ').next().map(str::to_owned));
                }
            }
        }
    }
}

/// Reads a stream at one instance and, if it breaks off, once more at another one.
fn read_stream(setup: &Setup, number: u32, first: u8, second: u8) -> (u32, BTreeSet<String>) {
    let started = Instant::now();
    let id = format!("{number:04x}c41d07be2a35");
    let received = Mutex::new(Received::default());
    let on_part = |part: &[u8]| received.lock().expect("no panic").push(part);
    let path = format!("/{SERVICE}/x");
    let model = "X-Lacewingspring-Model: m\r\nX-Lacewingspring-Token-Usage: 620,290\r\n";
    let prompt = format!("X-Lacewingspring-Prompt-Prefix: 5c1e07a2:60,{number:08x}:560\r\n");
    let head = request("POST", &path, &id, DEADLINE, &format!("{model}{prompt}"));
    setup.record.line(format!("client: {id} is sent to frontend-a-{first}"));
    let answer = exchange(setup.address(first, 8221), &head, b"ask", DEADLINE, on_part);
    let last_event = received.lock().expect("no panic").last_event;
    let outcome = match &answer {
        Ok(answer) => format!("{}, whole", answer.head.status()),
        Err(e) => format!("broken off: {e}"),
    };
    setup.record.line(format!("client: {id} ends at event {last_event}: {outcome}"));
    // The first event tells which attempt began the stream; without one the client starts anew.
    if answer.is_err() && last_event > 0 {
        let next = format!("{number:04x}e77a90cc51f8");
        let left = DEADLINE.saturating_sub(started.elapsed());
        let resume = format!("{model}{prompt}Last-Event-Id: {last_event}\r\nResumes: {id}\r\n");
        let head = request("POST", &path, &next, left, &resume);
        setup.record.line(format!(
            "client: {next} takes {id} up after event {last_event} at frontend-a-{second}"
        ));
        let answer = exchange(setup.address(second, 8221), &head, b"ask", left, on_part);
        let last_event = received.lock().expect("no panic").last_event;
        let status = answer.map_or(0, |answer| answer.head.status());
        setup.record.line(format!("client: {next} ends at event {last_event}: {status}"));
    }
    let received = received.into_inner().expect("no panic");
    (received.last_event, received.versions)
}

/// Runs the case; returns whether the rule was broken.
pub fn run(setup: &Setup, has_trouble: bool) -> bool {
    let Setup { store, record, .. } = setup;
    setup.configure(&[(SERVICE, "streaming", 15_000)]);
    let spec = |number: u8, version: &str, cold| Spec {
        id: format!("i-{number}"),
        service: SERVICE.into(),
        version: version.into(),
        address: setup.address(10 + number, 8080),
        slots: 11,
        work: Work::Stream(EVENTS, PAUSE),
        cold,
    };
    let old = Server::start(spec(1, "v1", Duration::ZERO), store, record);
    // This one was started lately, so that its entry changes with each heartbeat.
    let _other_old = Server::start(spec(2, "v1", Duration::from_secs(30)), store, record);
    let mut instances = Vec::new();
    for last in 1..=3 {
        instances.push(setup.instance(last, Vec::new()).0);
    }
    // The last instance reaches the others through relays, at addresses of their own.
    let relays: Vec<Relay> = (1..=3)
        .map(|last| Relay::start(setup.address(20 + last, 7600), setup.address(last, 7600)))
        .collect();
    let translations = (1..=3).map(|last| {
        let from = format!("\"peers\":\"{}\"", setup.address(last, 7600));
        (from, format!("\"peers\":\"{}\"", relays[usize::from(last) - 1].address))
    });
    let (apart, path) = setup.instance(4, translations.collect());
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.line("frontend-a-4 is cut off from the store and from all other instances");
        path.cut();
        relays.iter().for_each(Relay::cut);
    }
    // A release: the new servers start first, then an old one drains.
    let _new =
        [3, 4].map(|number| Server::start(spec(number, "v2", Duration::ZERO), store, record));
    thread::sleep(Duration::from_millis(200));
    old.drain(store);
    let results = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let results = results.clone();
            // A client tries another address at random; all are equally likely here.
            let second = [1, 3, 4][number as usize % 3];
            scope.spawn(move || {
                let result = read_stream(setup, number, 2, second);
                results.lock().expect("no panic").push((number, result));
            });
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_millis(700));
        if has_trouble {
            instances[1].kill();
        }
    });
    let results = results.lock().expect("no panic");
    let mixed = results.iter().filter(|(_, (_, versions))| versions.len() > 1).count();
    let whole = results.iter().filter(|(_, (last, _))| *last == EVENTS).count();
    record.line(format!(
        "result: {mixed} of {STREAMS} streams hold events of two software versions, {whole} are whole; \
         more than {ALLOWED} break the rule"
    ));
    for line in apart.log_lines("\"resumes\":\"0") {
        record.line(format!("log of frontend-a-4: {line}"));
    }
    mixed > ALLOWED
}
