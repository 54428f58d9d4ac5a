//! Stand-in for a server of the platform: runs requests on its slots, and says in the store what it
//! is, as often as the pages tell.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head},
    record::Record,
    store::Store,
};

/// Interval at which a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a server answers.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// With a short body after a time.
    Call(Duration),
    /// With a stream of so many events, a time apart.
    Stream(u32, Duration),
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Work,
    /// Time after its start in which it is still slow, by its entry.
    pub cold: Duration,
}

struct Shared {
    spec: Spec,
    record: Record,
    state: Mutex<&'static str>,
    is_registered: AtomicBool,
    has_ended: AtomicBool,
    running: AtomicU64,
    runs: Mutex<Vec<(Duration, String)>>,
    connections: Mutex<Vec<TcpStream>>,
    born: u64,
    started_at: Duration,
    beats: AtomicU64,
    /// Requests of each so many that fail after they have run.
    failing: Mutex<(u32, u32)>,
}

/// A running server.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server, which registers itself.
    pub fn start(spec: Spec, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind(spec.address).expect("the server's address is free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        record.line(format!("{} starts: {} {}", spec.id, spec.service, spec.version));
        let server = Self(Arc::new(Shared {
            spec,
            record: record.clone(),
            state: Mutex::new("ready"),
            is_registered: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            runs: Mutex::default(),
            connections: Mutex::default(),
            born: born as u64,
            started_at: record.now(),
            beats: AtomicU64::new(0),
            failing: Mutex::new((0, 1)),
        }));
        server.write_entry(store);
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || beating.beat(&store));
        server
    }

    /// Returns the key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.0.spec.id)
    }

    fn write_entry(&self, store: &Store) {
        let Spec { service, version, address, slots, cold, .. } = &self.0.spec;
        let state = *self.0.state.lock().expect("no panic");
        let beat = self.0.beats.fetch_add(1, Ordering::SeqCst);
        let cold = cold.saturating_sub(HEARTBEAT * beat as u32).as_millis();
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":{cold},\"sequenceNumber\":{beat},\"born\":{}}}",
            self.0.born
        );
        store.put(&self.key(), &value);
    }

    fn beat(&self, store: &Store) {
        loop {
            thread::sleep(HEARTBEAT);
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            // A server that is settled writes nothing new but its number, which is no change.
            let is_changing =
                self.0.beats.load(Ordering::SeqCst) as u32 * HEARTBEAT < self.0.spec.cold;
            let is_draining = *self.0.state.lock().expect("no panic") == "draining";
            if self.0.is_registered.load(Ordering::SeqCst) && (is_changing || is_draining) {
                self.write_entry(store);
            }
        }
    }

    /// Returns the time of its first heartbeat after a time.
    pub fn next_beat(&self, after: Duration) -> Duration {
        let mut beat = self.0.started_at;
        while beat <= after {
            beat += HEARTBEAT;
        }
        beat
    }

    /// Sets how many of each so many calls fail after they have run.
    pub fn fail_after_run(&self, failed: u32, period: u32) {
        *self.0.failing.lock().expect("no panic") = (failed, period);
    }

    /// Returns whether the present run, the last one begun, is to fail.
    fn is_to_fail(&self) -> bool {
        let (failed, period) = *self.0.failing.lock().expect("no panic");
        // Spread evenly over the period.
        let number = self.0.runs.lock().expect("no panic").len() as u32 % period;
        (number * failed) / period != ((number + 1) * failed) / period
    }

    /// Reports that it drains.
    pub fn drain(&self, store: &Store) {
        *self.0.state.lock().expect("no panic") = "draining";
        self.write_entry(store);
    }

    /// Removes its entry, and serves on.
    pub fn leave(&self, store: &Store) {
        self.0.is_registered.store(false, Ordering::SeqCst);
        store.remove(&self.key());
    }

    /// Exits: all its connections end, with what runs on them.
    pub fn exit(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        self.0.record.line(format!("{} exits", self.0.spec.id));
        for stream in self.0.connections.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the ids of the requests that it has begun to run.
    pub fn runs(&self) -> Vec<String> {
        self.timed_runs().into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the requests that it has begun to run, each with the time.
    pub fn timed_runs(&self) -> Vec<(Duration, String)> {
        self.0.runs.lock().expect("no panic").clone()
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            if self.0.has_ended.load(Ordering::SeqCst) {
                continue;
            }
            if let Ok(clone) = stream.try_clone() {
                self.0.connections.lock().expect("no panic").push(clone);
            }
            let server = self.clone();
            thread::spawn(move || {
                let _ = server.serve(stream);
            });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let mut body = Vec::new();
            http::read_body(&mut reader, &head, |part| body.extend_from_slice(part))?;
            let id = head.get("x-lacewingspring-attempt-id").unwrap_or_default().to_owned();
            let spec = &self.0.spec;
            let expected = head.get("x-lacewingspring-expected-instance");
            let common = format!(
                "X-Lacewingspring-Attempt-Id: {id}\r\nX-Lacewingspring-Instance-Id: {}\r\n",
                spec.id
            );
            if expected.is_some_and(|expected| expected != spec.id) {
                self.0.record.line(format!("{} answers {id} with 421", spec.id));
                let text = format!("HTTP/1.1 421 Misdirected\r\n{common}Content-Length: 0\r\n\r\n");
                stream.write_all(text.as_bytes())?;
                continue;
            }
            if self.0.running.load(Ordering::SeqCst) >= u64::from(spec.slots) * 2 {
                self.0.record.line(format!("{} is full and rejects {id}", spec.id));
                let text = format!(
                    "HTTP/1.1 503 Full\r\n{common}X-Lacewingspring-Not-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            self.0.running.fetch_add(1, Ordering::SeqCst);
            let result = self.run(&mut stream, &head, &id, &common);
            self.0.running.fetch_sub(1, Ordering::SeqCst);
            let outcome = if result.is_ok() { "complete" } else { "broken off" };
            self.0.record.line(format!("{} ends {id}: {outcome}", spec.id));
            result?;
        }
        Ok(())
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        id: &str,
        common: &str,
    ) -> std::io::Result<()> {
        let Spec { id: name, version, work, .. } = &self.0.spec;
        let at = self.0.record.now();
        self.0.runs.lock().expect("no panic").push((at, id.to_owned()));
        let signed = format!("{common}X-Lacewingspring-Response-Signature: {name}.{id}\r\n");
        match *work {
            Work::Call(time) => {
                self.0.record.line(format!("{name} runs {id}"));
                let is_to_fail = self.is_to_fail();
                thread::sleep(time);
                if is_to_fail {
                    // It has run: nothing says `X-Lacewingspring-Not-Executed`.
                    self.0.record.line(format!("{name} answers {id} with 503 after it has run"));
                    let text =
                        format!("HTTP/1.1 503 Failed\r\n{signed}Content-Length: 6\r\n\r\nfailed");
                    return stream.write_all(text.as_bytes());
                }
                let body = format!("done by {name}");
                let length = body.len();
                let text =
                    format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: {length}\r\n\r\n{body}");
                stream.write_all(text.as_bytes())
            }
            Work::Stream(events, pause) => {
                let last: u32 =
                    head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
                self.0.record.line(format!("{name} ({version}) runs {id} from event {}", last + 1));
                let start = format!(
                    "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(start.as_bytes())?;
                for event in last + 1..=events {
                    thread::sleep(pause);
                    let text = format!("id: {event}\ndata: {version} {name}\n\n");
                    let length = text.len();
                    stream.write_all(format!("{length:x}\r\n{text}\r\n").as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
        }
    }
}
