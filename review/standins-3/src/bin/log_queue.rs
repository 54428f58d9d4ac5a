//! Case: a client that nobody controls sends requests with long ids on a few connections, without a
//! key, and uploads some large bodies.

use std::{
    env,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins_3::{
    client::{self, Request},
    deployment::{Deployment, READ_PATH, STREAM_PATH, UNKNOWN_KEY, has_trouble},
    fleet, http,
    platform::{Ordinary, watch_memory},
};

/// Connections to one machine on which requests with long ids are sent.
const LONG_IDS: usize = 4;

/// Length of such an id.
const ID_BYTES: usize = 18_000;

/// Connections to one machine on which a body is uploaded.
const UPLOADS: usize = 8;

/// Length of a body, at most `maxBodyBytes`, and how much of it is sent at once.
const BODY_BYTES: usize = 4_000_000;
const FIRST_BYTES: usize = 3_500_000;

/// Bytes of the rest that are sent in each step, and the time between steps.
const STEP_BYTES: usize = 4_096;
const STEP: Duration = Duration::from_millis(200);

/// Connections to one machine with a small request each, whose body comes slowly.
const SLOW: usize = 300;

/// Length of the test after its start.
const LENGTH: Duration = Duration::from_secs(80);

const FROM: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Sends requests with long ids, each of which is answered with 401.
fn send_long_ids(to: SocketAddr, is_over: &AtomicBool) {
    let id = "\"".repeat(ID_BYTES);
    let head = Request::new("GET", READ_PATH, &id, "no-key", 3_000).head();
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = client::connect(FROM, to) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        while !is_over.load(Ordering::Relaxed) && stream.write_all(head.as_bytes()).is_ok() {
            let Ok(Some(mut answer)) = http::read_head(&mut reader) else { break };
            if http::read_body(&mut reader, &mut answer, false).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Uploads bodies, the last part of each slowly.
fn upload(number: usize, to: SocketAddr, is_over: &AtomicBool) {
    let body = vec![b'x'; BODY_BYTES];
    let mut sent = 0;
    while !is_over.load(Ordering::Relaxed) {
        sent += 1;
        let id = format!("u{number:x}-{sent:x}");
        let head =
            Request::new("POST", STREAM_PATH, &id, UNKNOWN_KEY, 15_000).with_body(&body).head();
        if let Ok(mut stream) = client::connect(FROM, to) {
            let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
            let started = stream.write_all(head.as_bytes());
            let mut result = started.and_then(|()| stream.write_all(&body[..FIRST_BYTES]));
            let until = Instant::now() + Duration::from_secs(15);
            while result.is_ok() && Instant::now() < until && !is_over.load(Ordering::Relaxed) {
                result = stream.write_all(&body[..STEP_BYTES]);
                thread::sleep(STEP);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Holds connections with slow requests.
fn hold(to: SocketAddr, is_over: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    let mut id = 0;
    while !is_over.load(Ordering::Relaxed) {
        open.retain_mut(|stream| stream.write_all(b"x").is_ok());
        while open.len() < SLOW {
            let Ok(mut stream) = client::connect(FROM, to) else { break };
            id += 1;
            let request =
                Request::new("POST", STREAM_PATH, &format!("s{id:x}"), UNKNOWN_KEY, 15_000)
                    .with_body(&[b'x'; 1_000]);
            if stream.write_all(request.head().as_bytes()).is_err() {
                break;
            }
            open.push(stream);
        }
        thread::sleep(Duration::from_millis(1_500));
    }
}

fn main() {
    let deployment = Deployment::start();
    let record = deployment.record.clone();
    let mut machines = deployment.machines(3, deployment.store.address);
    fleet::start_all(&mut machines);
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary = Ordinary::start(8, &machines, &record, &is_over);
    thread::sleep(Duration::from_secs(3));
    // PARTS=uploads leaves the long ids out, to compare.
    let has_long_ids = env::var("PARTS").map_or(true, |parts| parts != "uploads");
    if has_trouble() {
        for machine in &machines {
            let to = machine.callers;
            record.line(&format!("the unknown client begins at {to}"));
            for _ in 0..if has_long_ids { LONG_IDS } else { 0 } {
                let is_over = is_over.clone();
                thread::spawn(move || send_long_ids(to, &is_over));
            }
            for number in 0..UPLOADS {
                let is_over = is_over.clone();
                thread::spawn(move || upload(number, to, &is_over));
            }
            let is_over = is_over.clone();
            thread::spawn(move || hold(to, &is_over));
        }
    }
    let is_broken = watch_memory(&mut machines, LENGTH, &record);
    is_over.store(true, Ordering::Relaxed);
    drop(machines);
    ordinary.report(&record);
    record.say(if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
