//! Servers that start again with another software version under the ids that they had, while the
//! store is down.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Reader, platform::*, record::Record, store::Store};

/// Servers of the service, and slots of each.
const SERVERS: usize = 9;
const SLOTS: u32 = 10;

/// Servers that are replaced one after the other, and the pause between.
const REPLACED: usize = 4;
const PAUSE: Duration = Duration::from_millis(800);

/// Time for which a server that starts again accepts no connection.
const RESTART: Duration = Duration::from_millis(200);

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Events of a stream and the time between them.
const EVENTS: u32 = 58;
const EVENT_GAP: Duration = Duration::from_millis(60);

const CLIENTS: usize = 75;
const DEADLINE: Duration = Duration::from_secs(12);

/// A server whose process can be replaced.
struct Process {
    server: Server,
    /// Number of the software version.
    version: Arc<AtomicU32>,
    /// Number of the process; connections of an earlier one are cut.
    incarnation: Arc<AtomicU64>,
}

fn start(store: &Store, name: &str) -> Process {
    let version = Arc::new(AtomicU32::new(1));
    let incarnation = Arc::new(AtomicU64::new(0));
    let (of_process, number) = (version.clone(), incarnation.clone());
    let handler: Handler = Arc::new(move |call| {
        let mine = number.load(Ordering::Relaxed);
        let version = of_process.load(Ordering::Relaxed);
        call.run();
        let last: u32 = call.request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Lacewingspring-Attempt-Id: {}\r\n{}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            call.id(),
            signature(&call.server.name)
        );
        if !call.reader.send(head.as_bytes()) {
            return false;
        }
        for event in last + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            if number.load(Ordering::Relaxed) != mine {
                return false;
            }
            let text = format!("id: {event}\ndata: v{version}\n\n");
            if !call.reader.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()) {
                return false;
            }
        }
        call.reader.send(b"0\r\n\r\n")
    });
    Process { server: Server::start(store, name, "lm", SLOTS, "v1", handler), version, incarnation }
}

/// Starts a server again under its id and address, with the version `v2`.
fn replace(process: &mut Process, store: &Store) {
    let down = &process.server.is_down;
    down.store(true, Ordering::Relaxed);
    process.incarnation.fetch_add(1, Ordering::Relaxed);
    thread::sleep(RESTART);
    process.version.store(2, Ordering::Relaxed);
    process.server.version = "v2".into();
    process.server.born += 100_000;
    let (server, store) = (process.server.clone(), store.clone());
    // It writes its entry before it accepts, and again until the store accepts it.
    if store.is_silent() {
        thread::spawn(move || {
            while store.is_silent() {
                thread::sleep(Duration::from_millis(200));
            }
            server.register("ready");
        });
    } else {
        server.register("ready");
        thread::sleep(Duration::from_millis(100));
    }
    process.server.is_down.store(false, Ordering::Relaxed);
}

/// A stream as its client saw it, over all its tries.
#[derive(Default)]
struct Seen {
    /// Last event that is complete.
    last: u32,
    versions: BTreeSet<String>,
    tries: Vec<String>,
}

/// Makes one try; returns whether the stream is complete, and the time to wait before the next.
fn attempt(
    instance: &Instance,
    path: &str,
    id: &str,
    first: &str,
    seen: &mut Seen,
    end: Instant,
) -> Result<bool, Duration> {
    let left = end.saturating_duration_since(Instant::now());
    let mut extra = String::from(
        "X-Lacewingspring-Model: m\r\nX-Lacewingspring-Token-Usage: 628,290\r\n\
         X-Lacewingspring-Prompt-Prefix: 5c1e07a2:60,",
    );
    extra.push_str(&format!(
        "{:x}:568\r\n",
        path.bytes().fold(7u64, |h, b| h.wrapping_mul(31) + u64::from(b))
    ));
    if seen.last > 0 {
        extra.push_str(&format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", seen.last));
    }
    let request = request("POST", path, id, left.as_millis() as u64, &extra, b"prompt");
    let Ok(stream) =
        std::net::TcpStream::connect_timeout(&instance.callers(), Duration::from_secs(1))
    else {
        return Err(Duration::from_millis(50));
    };
    let mut reader = Reader::new(stream);
    reader.send(&request);
    let Some(mut head) = reader.head(Some(end)) else {
        seen.tries.push(format!("{id}: no answer"));
        return Err(Duration::from_millis(50));
    };
    let from = seen.last;
    reader.body(&mut head, true, Some(end));
    if head.status() != 200 {
        let wait: f64 = head.header("retry-after").parse().unwrap_or(0.1);
        seen.tries.push(format!("{id}: {} {}", head.status(), String::from_utf8_lossy(&head.body)));
        return Err(Duration::from_secs_f64(wait.min(left.as_secs_f64() / 3.0).max(0.02)));
    }
    let text = String::from_utf8_lossy(&head.body).into_owned();
    let mut versions = BTreeSet::new();
    for event in text.split("\n\n").filter(|event| event.contains("data: ")) {
        if !text.contains(&format!("{event}\n\n")) {
            continue;
        }
        let field =
            |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
        seen.last = field("id: ").parse().unwrap_or(seen.last);
        versions.insert(field("data: ").to_owned());
    }
    let server = head
        .header("x-lacewingspring-response-signature")
        .split('.')
        .next()
        .unwrap_or_default()
        .to_owned();
    seen.tries.push(format!(
        "{id}: 200 from {server}, events {}..={} of {}{}",
        from + 1,
        seen.last,
        versions.iter().cloned().collect::<Vec<_>>().join("+"),
        if head.is_complete { "" } else { ", broken off" }
    ));
    seen.versions.extend(versions);
    if head.is_complete { Ok(true) } else { Err(Duration::from_millis(10)) }
}

/// Runs the case; returns whether the rule was kept.
pub fn run(trouble: bool, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let store = Store::start((free_ip(&[8225]), 8225).into());
    store.put("op/config", &config(7, &[route("talk", "/pufi791/", "streaming", "lm", 12_000, 2)]));
    let mut processes: Vec<Process> =
        (0..SERVERS).map(|number| start(&store, &format!("i-7f3a91c{number}"))).collect();
    let zones = ["cluj-a", "cluj-b", "sibiu-c"];
    let instances: Vec<Instance> = zones
        .iter()
        .map(|zone| Instance::start(&folder.0, &format!("frontend-{zone}-1"), zone, &store))
        .collect();
    if !instances.iter().all(|instance| instance.wait_ready(Duration::from_secs(10))) {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let is_over = AtomicBool::new(false);
    let streams: Mutex<Vec<(Duration, Seen)>> = Mutex::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (is_over, streams, instances) = (&is_over, &streams, &instances);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(45 * client as u64));
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let at = began.elapsed();
                    let (end, mut seen, mut tries) =
                        (Instant::now() + DEADLINE, Seen::default(), 0);
                    let mut first = String::new();
                    let path = format!("/pufi791/{client}-{number}");
                    while Instant::now() < end {
                        tries += 1;
                        let id = format!("{client:02}-{number:02}-{tries:02}");
                        let before = seen.last;
                        let instance = &instances[(client + number + tries) % instances.len()];
                        let result = attempt(instance, &path, &id, &first, &mut seen, end);
                        if before == 0 && seen.last > 0 {
                            first = id;
                        }
                        match result {
                            Ok(_) => break,
                            Err(wait) => thread::sleep(wait),
                        }
                    }
                    streams.lock().unwrap().push((at, seen));
                }
            });
        }
        thread::sleep(Duration::from_secs(6));
        record.line(&format!("{:.3} s  trouble: {trouble}", began.elapsed().as_secs_f64()));
        if trouble {
            store.set_silent(true);
            record.line(&format!("{:.3} s  the store is down", began.elapsed().as_secs_f64()));
        }
        let down_at = Instant::now();
        thread::sleep(Duration::from_millis(200));
        for process in processes.iter_mut().take(REPLACED) {
            record.line(&format!(
                "{:.3} s  server {} starts again with the version v2",
                began.elapsed().as_secs_f64(),
                process.server.name
            ));
            replace(process, &store);
            thread::sleep(PAUSE);
        }
        thread::sleep(OUTAGE.saturating_sub(down_at.elapsed()));
        store.set_silent(false);
        record.line(&format!("{:.3} s  the store is back", began.elapsed().as_secs_f64()));
        thread::sleep(Duration::from_secs(4));
        is_over.store(true, Ordering::Relaxed);
    });
    let streams = streams.into_inner().unwrap();
    let mixed: Vec<&(Duration, Seen)> =
        streams.iter().filter(|(_, seen)| seen.versions.len() > 1).collect();
    let resumed = streams
        .iter()
        .filter(|(_, seen)| seen.tries.iter().filter(|t| t.contains("200 from")).count() > 1)
        .count();
    let complete = streams.iter().filter(|(_, seen)| seen.last == EVENTS).count();
    for (at, seen) in &streams {
        if seen.tries.len() > 1 {
            record.line(&format!(
                "{:.3} s  stream, versions {:?}: {}",
                at.as_secs_f64(),
                seen.versions,
                seen.tries.join("; ")
            ));
        }
    }
    for process in &processes {
        let runs = process.server.runs.lock().unwrap().len();
        record.line(&format!("server {} ran {runs} requests", process.server.name));
    }
    record.say(&format!(
        "{} streams, {complete} complete, {resumed} taken up again, {} with events of two software versions (at most 2 are allowed)",
        streams.len(),
        mixed.len()
    ));
    Some(mixed.len() <= 2)
}
