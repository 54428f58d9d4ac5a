//! Callers with long ids, whose log lines wait in memory, beside callers with bodies on their way.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reader, exchange},
    platform::*,
    record::Record,
    store::Store,
};

/// `memoryMb` of the machines, in kB.
const LIMIT_KB: u64 = 110 * 1_000_000 / 1_024;

/// Connections with a body on its way, for each machine.
const UPLOADS: usize = 500;

/// Length of a header of theirs, and of their bodies, of which the last byte is not sent.
const HEADER_BYTES: usize = 14_000;
const BODY_BYTES: usize = 50_000;

/// Connections with long ids, for each machine.
const FLOODERS: usize = 4;

/// Length of their ids; the configuration allows 16,384 bytes of headers. In JSON each character
/// takes two.
const ID_BYTES: usize = 15_000;

/// Time for which a machine is under load once.
const SPAN: Duration = Duration::from_secs(6);

/// Ends of processes by themselves that are too many, on so many machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// Opens a connection and sends all of a request but its last byte.
fn upload(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let extra = format!("X-Trace: {}\r\n", "t".repeat(HEADER_BYTES));
    let id = format!("upload-{number}");
    let mut bytes = request("POST", "/lohu930/d", &id, 15_000, &extra, &vec![b'u'; BODY_BYTES]);
    bytes.pop();
    stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
    // What the machine does not read stays unsent.
    let _ = stream.write_all(&bytes);
    Some(stream)
}

/// Sends requests without a route, with a long id, until `is_over`.
fn flood(address: SocketAddr, id: &str, is_over: &AtomicBool, sent: &AtomicUsize) {
    while !is_over.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address) else { return };
        let mut reader = Reader::new(stream);
        let bytes = request("GET", "/nowhere/", id, 3_000, "", b"");
        while !is_over.load(Ordering::Relaxed) && reader.send(&bytes) {
            if reader.response(Instant::now() + Duration::from_secs(1)).is_none() {
                break;
            }
            sent.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Puts load on a machine once; returns the most memory that its process had, in kB.
fn load(instance: &mut Instance, with_flood: bool, with_uploads: bool, record: &Record) -> u64 {
    let address = instance.callers();
    let (is_over, sent) = (AtomicBool::new(false), AtomicUsize::new(0));
    let id = "\\".repeat(ID_BYTES);
    let (mut most, mut ended) = (0, None);
    thread::scope(|scope| {
        let uploads = scope.spawn(move || {
            let count = if with_uploads { UPLOADS } else { 0 };
            let streams: Vec<_> = (0..count).map(|number| upload(address, number)).collect();
            streams
        });
        for _ in 0..if with_flood { FLOODERS } else { 0 } {
            let (id, is_over, sent) = (&id, &is_over, &sent);
            scope.spawn(move || flood(address, id, is_over, sent));
        }
        let until = Instant::now() + SPAN;
        while Instant::now() < until && ended.is_none() {
            let (now, _) = instance.memory_kb();
            most = most.max(now);
            if now > LIMIT_KB {
                // "A process that exceeds `memoryMb` is killed."
                instance.kill();
                ended = Some(now);
            } else {
                ended = instance.ended().map(|_| 0);
            }
            thread::sleep(Duration::from_millis(5));
        }
        is_over.store(true, Ordering::Relaxed);
        drop(uploads.join());
    });
    record.line(&format!(
        "{address}: with_flood {with_flood}, with_uploads {with_uploads}: {most} kB at most of {LIMIT_KB} kB, {} requests with long ids; {}",
        sent.load(Ordering::Relaxed),
        if ended.is_some() { "the process ended" } else { "the process runs" }
    ));
    most
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
    for number in 0..3 {
        Server::start(&store, &format!("i-app{number}"), "app", 6, "v1", handler.clone());
    }
    Server::start(&store, "i-lm0", "lm", 10, "v1", handler);
    let mut instances: Vec<Instance> = (0..MACHINES)
        .map(|number| {
            Instance::start(&folder.0, &format!("frontend-cluj-a-{number}"), "cluj-a", &store)
        })
        .collect();
    let mut ends = vec![0; MACHINES];
    for (instance, ends) in instances.iter_mut().zip(&mut ends) {
        if !instance.wait_ready(Duration::from_secs(10)) {
            return None;
        }
        for _ in 0..ENDS {
            let bytes = request("GET", "/cufi504/a", "ordinary", 3_000, "", b"");
            let answer = exchange(instance.callers(), &bytes, Duration::from_secs(3))?;
            if answer.status() != 200 {
                record.line(&format!("an ordinary request: {}", answer.start));
            }
            load(instance, trouble, trouble, record);
            if instance.ended().is_some() {
                *ends += 1;
                instance.restart();
                if !instance.wait_ready(Duration::from_secs(10)) {
                    return None;
                }
            }
        }
    }
    record.say(&format!("processes ended by themselves {ends:?} times on {MACHINES} machines ({ENDS} times on 2 are too many)"));
    Some(ends.iter().filter(|ends| **ends >= ENDS).count() < MACHINES)
}
