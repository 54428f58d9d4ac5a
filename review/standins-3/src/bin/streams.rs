//! Case: servers of two software versions serve, and clients take streams up again whose servers
//! crashed. A client that nobody controls begins many tiny streams with a long deadline.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins_3::{
    client::{self, Request},
    deployment::{Deployment, ORDINARY_KEY, RESUMABLE_PATH, UNKNOWN_KEY, has_trouble},
    fleet, http,
    record::Record,
};

/// Requests of the unknown client at a time.
const AT_A_TIME: usize = 56;

/// Streams of the unknown client before the first crash, and the longest wait for them.
const FLOOD: u64 = 74_000;
const MAX_FLOOD_TIME: Duration = Duration::from_secs(75);

/// Streams that ordinary clients begin in each round.
const STREAMS: usize = 32;

/// Time from the beginning of a round to the crash, and to the end of the round.
const CRASH_AFTER: Duration = Duration::from_millis(10_300);
const ROUND: Duration = Duration::from_millis(13_500);

/// Time for which crashed servers are away.
const CRASH_TIME: Duration = Duration::from_millis(500);

/// Rounds, and the time by which the last one must end.
const MAX_ROUNDS: usize = 5;
const LENGTH: Duration = Duration::from_secs(113);

/// First parts of prompts that ordinary requests share, as on the sheet.
const THINGS: usize = 40;

/// Output tokens of an ordinary stream: 115 events, of which one comes in 100 ms.
const ORDINARY_TOKENS: u32 = 575;

#[derive(Default)]
struct Counts {
    begun: AtomicU64,
    not_begun: AtomicU64,
    gone_on: AtomicU64,
    not_gone_on: AtomicU64,
    mixed: AtomicU64,
}

/// What came of one request for a stream.
struct Part {
    status: u16,
    retry_after: f64,
    events: u32,
    version: String,
    is_complete: bool,
}

/// Sends a request and reads its events until the stream ends or breaks.
fn read_stream(to: SocketAddr, request: &Request) -> Part {
    let mut part =
        Part { status: 0, retry_after: 0.0, events: 0, version: String::new(), is_complete: false };
    let mut run = || -> io::Result<()> {
        let mut stream = client::connect(Ipv4Addr::new(127, 0, 0, 3), to)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut bytes = request.head().into_bytes();
        bytes.extend_from_slice(&request.body);
        stream.write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        part.status = head.status();
        part.retry_after = head.header("retry-after").parse().unwrap_or(0.0);
        if part.status != 200 {
            return Ok(());
        }
        loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                part.is_complete = true;
                return Ok(());
            }
            for line in chunk.lines().map_while(Result::ok) {
                if let Some(data) = line.strip_prefix("data: ") {
                    part.version = data.split(' ').next().unwrap_or("").to_owned();
                }
                part.events += u32::from(line.is_empty());
            }
        }
    };
    let _ = run();
    part
}

/// Begins a stream, and takes it up again at another machine if it breaks.
fn ordinary(number: usize, callers: &[SocketAddr], record: &Record, counts: &Counts) {
    let id = format!("o{number:x}");
    let request = |id: &str| {
        Request::new("POST", RESUMABLE_PATH, id, ORDINARY_KEY, 12_000)
            .with("X-Lacewingspring-Model", "m")
            .with("X-Lacewingspring-Token-Usage", &format!("628,{ORDINARY_TOKENS}"))
            .with(
                "X-Lacewingspring-Prompt-Prefix",
                &format!("{:x}:60,{:x}:568", 0xa0 + number % THINGS, number + 0x1000),
            )
            .with_body(id.as_bytes())
    };
    let to = callers[number % callers.len()];
    let first = read_stream(to, &request(&id));
    record.line(&format!(
        "stream {id} at {to}: {}, {} events of {}, complete: {}",
        first.status, first.events, first.version, first.is_complete
    ));
    let count = if first.events > 0 { &counts.begun } else { &counts.not_begun };
    count.fetch_add(1, Ordering::Relaxed);
    if first.events == 0 || first.is_complete {
        return;
    }
    // The client takes the stream up again at another machine, and repeats that once.
    let mut next = read_nothing();
    for attempt in 1..=2 {
        let to = callers[(number + attempt) % callers.len()];
        let again = request(&format!("{id}-{attempt}"))
            .with("Resumes", &id)
            .with("Last-Event-Id", &first.events.to_string());
        next = read_stream(to, &again);
        record.line(&format!(
            "stream {id} is taken up at {to} after {} events: {}, {} events of {}",
            first.events, next.status, next.events, next.version
        ));
        if next.events > 0 {
            break;
        }
        thread::sleep(Duration::from_secs_f64(next.retry_after.clamp(0.1, 1.0)));
    }
    let count = if next.events > 0 { &counts.gone_on } else { &counts.not_gone_on };
    count.fetch_add(1, Ordering::Relaxed);
    if next.events > 0 && next.version != first.version {
        counts.mixed.fetch_add(1, Ordering::Relaxed);
    }
}

fn read_nothing() -> Part {
    Part { status: 0, retry_after: 0.0, events: 0, version: String::new(), is_complete: false }
}

fn main() {
    let deployment = Deployment::start_with(|kind| {
        if kind.events > 0 {
            let number: usize =
                kind.id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            kind.version = if number % 2 == 0 { "v1".into() } else { "v2".into() };
            kind.work = Duration::from_millis(40);
            kind.gap = Duration::from_millis(100);
            kind.is_sized = true;
        }
    });
    let record = deployment.record.clone();
    let mut machines = deployment.machines(3, deployment.store.address);
    fleet::start_all(&mut machines);
    let callers: Vec<SocketAddr> = machines.iter().map(|machine| machine.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let flooded = Arc::new(AtomicU64::new(0));
    let refused: Arc<Mutex<u64>> = Arc::default();
    if has_trouble() {
        for number in 0..AT_A_TIME {
            let to = callers[number % callers.len()];
            let (is_over, flooded, refused) = (is_over.clone(), flooded.clone(), refused.clone());
            thread::spawn(move || {
                let mut sent = 0;
                while !is_over.load(Ordering::Relaxed) {
                    sent += 1;
                    let id = format!("flood-{number}-{sent}");
                    let request = Request::new("POST", RESUMABLE_PATH, &id, UNKNOWN_KEY, 600_000)
                        .with("X-Lacewingspring-Model", "m")
                        .with("X-Lacewingspring-Token-Usage", "1,1")
                        .with_body(id.as_bytes());
                    let from = Ipv4Addr::new(127, 0, 0, 2);
                    let answer = client::send(from, to, &request, Duration::from_secs(5));
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        flooded.fetch_add(1, Ordering::Relaxed);
                    } else {
                        *refused.lock().expect("refused") += 1;
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            });
        }
    }
    let began = Instant::now();
    let is_flooded = || !has_trouble() || flooded.load(Ordering::Relaxed) >= FLOOD;
    while !is_flooded() && began.elapsed() < MAX_FLOOD_TIME {
        thread::sleep(Duration::from_millis(100));
    }
    record.line("the flood has lasted long enough");
    let mut threads = Vec::new();
    for round in 0..MAX_ROUNDS {
        if began.elapsed() + ROUND > LENGTH {
            break;
        }
        let round_began = Instant::now();
        for number in 0..STREAMS {
            let (callers, record, counts) = (callers.clone(), record.clone(), counts.clone());
            threads.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 * 15));
                ordinary(round * 100 + number, &callers, &record, &counts);
            }));
        }
        thread::sleep(CRASH_AFTER);
        // One server of each version, and then another one of each.
        for pair in 0..2 {
            let first = (round * 4 + pair * 2) % 8;
            let crashed = [&deployment.models[first], &deployment.models[first + 1]];
            crashed.iter().for_each(|server| server.crash());
            thread::sleep(CRASH_TIME);
            crashed.iter().for_each(|server| server.restart(&deployment.store));
        }
        thread::sleep(ROUND.saturating_sub(round_began.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let has_ended = machines.iter_mut().any(fleet::Instance::has_ended);
    drop(machines);
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (begun, not_begun) = (get(&counts.begun), get(&counts.not_begun));
    let (gone_on, not_gone_on) = (get(&counts.gone_on), get(&counts.not_gone_on));
    record.say(&format!(
        "streams of the unknown client: {}, refused: {}",
        get(&flooded),
        refused.lock().expect("refused")
    ));
    record.say(&format!("ordinary streams: {begun} begun, {not_begun} not"));
    record.say(&format!("taken up again: {gone_on} went on, {not_gone_on} did not"));
    record.say(&format!("went on at another version: {}", get(&counts.mixed)));
    record.say(&format!("a process ended by itself: {has_ended}"));
    let share = |part: u64, other: u64| part as f64 / (part + other).max(1) as f64;
    let is_broken =
        gone_on + not_gone_on >= 12 && share(gone_on, not_gone_on) < share(begun, not_begun) / 2.0;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
