//! Case: a client that nobody controls holds connections to one machine from one address, each with
//! a small request whose body comes slowly. Ordinary clients connect from another address.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins_3::{
    client::{self, Request},
    deployment::{
        Deployment, MEMORY_MB, ORDINARY_KEY, STREAM_PATH, TOUCH, UNKNOWN_KEY, has_trouble,
    },
    fleet,
};

/// Connections that the client holds: fewer than three quarters of the descriptors of the machine.
const CONNECTIONS: usize = 1_100;

/// Ordinary clients that try; the rule asks for seven.
const CLIENTS: usize = 10;

/// Time for which the client presses.
const LENGTH: Duration = Duration::from_secs(30);

/// An attempt of an ordinary client on a connection of its own.
struct Attempt {
    at: Duration,
    client: usize,
    is_taken: bool,
}

fn press(to: SocketAddr, is_over: &AtomicBool) {
    let from = Ipv4Addr::new(127, 0, 0, 2);
    let mut open: Vec<TcpStream> = Vec::new();
    let mut id = 0;
    while !is_over.load(Ordering::Relaxed) {
        open.retain_mut(|stream| stream.write_all(b"x").is_ok());
        while open.len() < CONNECTIONS {
            let Ok(mut stream) = client::connect(from, to) else { break };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
            id += 1;
            let request =
                Request::new("POST", STREAM_PATH, &format!("u{id:x}"), UNKNOWN_KEY, 15_000)
                    .with_body(&[b'x'; 1_000]);
            if stream.write_all(request.head().as_bytes()).is_err() {
                break;
            }
            open.push(stream);
        }
        thread::sleep(Duration::from_millis(1_500));
    }
}

/// Returns the longest time without a taken connection in which seven clients or more tried, and
/// in which the machine always said that it is ready.
fn longest_outage(attempts: &[Attempt], ready: &[(Duration, bool)], end: Duration) -> Duration {
    let mut borders: Vec<Duration> =
        attempts.iter().filter(|attempt| attempt.is_taken).map(|attempt| attempt.at).collect();
    borders.extend(ready.iter().filter(|(_, is_ready)| !is_ready).map(|(at, _)| *at));
    borders.push(end);
    borders.sort_unstable();
    let mut longest = Duration::ZERO;
    let mut since = Duration::ZERO;
    for border in borders {
        let within = attempts.iter().filter(|attempt| attempt.at > since && attempt.at < border);
        let mut clients: Vec<usize> = within.map(|attempt| attempt.client).collect();
        clients.sort_unstable();
        clients.dedup();
        if clients.len() >= 7 {
            longest = longest.max(border - since);
        }
        since = border;
    }
    longest
}

fn main() {
    let deployment = Deployment::start();
    let record = deployment.record.clone();
    let mut machines = deployment.machines(3, deployment.store.address);
    fleet::start_all(&mut machines);
    let to = machines[0].callers;
    let is_over = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (record, attempts, is_over) = (record.clone(), attempts.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let from = Ipv4Addr::new(127, 0, 0, 3);
            let mut sent = 0;
            while !is_over.load(Ordering::Relaxed) {
                sent += 1;
                let id = format!("o{number:x}-{sent:x}");
                let request = Request::new("POST", STREAM_PATH, &id, ORDINARY_KEY, 5_000)
                    .with("X-Lacewingspring-Model", "m")
                    .with("X-Lacewingspring-Token-Usage", "20,10")
                    .with("X-Lacewingspring-Prompt-Prefix", "aa:5,bb:15")
                    .with_body(id.as_bytes());
                let at = record.now();
                let answer = client::send(from, to, &request, Duration::from_secs(6));
                let text = match &answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(e) => e.to_string(),
                };
                record.line(&format!("request {id}: {text}"));
                let attempt = Attempt { at, client: number, is_taken: answer.is_ok() };
                attempts.lock().expect("attempts").push(attempt);
                thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        record.line(&format!("the unknown client holds {CONNECTIONS} connections to {to}"));
        let is_over = is_over.clone();
        thread::spawn(move || press(to, &is_over));
    }
    let mut ready = Vec::new();
    let mut most = 0;
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        let is_ready = machines[0].is_ready();
        ready.push((record.now(), is_ready));
        record.line(&format!("ready: {is_ready}"));
        most = most.max(machines[0].memory("VmRSS:"));
        thread::sleep(Duration::from_millis(500));
    }
    let over_at = record.now();
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let has_ended = machines.iter_mut().any(fleet::Instance::has_ended);
    drop(machines);
    let attempts = attempts.lock().expect("attempts");
    let taken = attempts.iter().filter(|attempt| attempt.is_taken).count();
    let outage = longest_outage(&attempts, &ready, over_at);
    record.say(&format!("connections of ordinary clients: {taken} of {} taken", attempts.len()));
    record.say(&format!("memory at its peak: {most} bytes of {MEMORY_MB} MB"));
    record.say(&format!("a process ended by itself: {has_ended}"));
    record.say(&format!(
        "longest time without a taken connection while ready: {:.1} s, at most {:.1} s",
        outage.as_secs_f64(),
        TOUCH.as_secs_f64()
    ));
    let is_broken = outage >= TOUCH;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
