//! Servers: sound ones, unless a test tells one to leave or to crash.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::Record, store::Store};

/// What a server is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    /// Time of work before the first byte.
    pub work: Duration,
    /// Number of events and the time between them; zero events for a plain service.
    pub events: u32,
    pub gap: Duration,
    /// Whether a stream has as many events as the request's tokens need.
    pub is_sized: bool,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub server: String,
    pub id: String,
    pub path: String,
    pub tenant: String,
    pub leaving: bool,
}

/// A server with its listener.
pub struct Server {
    pub kind: Kind,
    pub address: SocketAddr,
    pub leaving: AtomicBool,
    /// Whether it takes requests and answers them.
    up: AtomicBool,
    /// Whether new connections are refused, as behind a partition.
    refusing: AtomicBool,
    /// Whether it writes no entry any more.
    silent: AtomicBool,
    running: AtomicU64,
    next: AtomicU64,
    open: Mutex<HashMap<u64, TcpStream>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    /// Unix millisecond of its start.
    born: AtomicU64,
    sequence: AtomicU64,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_millis() as u64
}

/// Runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

impl Server {
    /// Starts a server, which registers itself and beats.
    pub fn start(kind: Kind, store: &Arc<Store>, record: &Record, runs: &Runs) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let server = Arc::new(Self {
            kind,
            address,
            leaving: AtomicBool::new(false),
            up: AtomicBool::new(true),
            refusing: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            running: AtomicU64::new(0),
            next: AtomicU64::new(0),
            open: Mutex::default(),
            runs: runs.clone(),
            record: record.clone(),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
        });
        server.beat(store);
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(Some(listener)));
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_200));
                if beating.up.load(Ordering::Relaxed) {
                    beating.beat(&store);
                }
            }
        });
        server
    }

    /// Writes its entry, if the store takes it.
    pub fn beat(&self, store: &Arc<Store>) {
        if store.mode() != crate::store::Mode::Up || self.silent.load(Ordering::SeqCst) {
            return;
        }
        let Kind { id, service, zone, version, slots, .. } = &self.kind;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"sequenceNumber\":{sequence},\"born\":{}}}",
            self.address,
            self.born.load(Ordering::SeqCst)
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    /// Crashes: all connections end, and new ones are refused until [`Self::restart`].
    pub fn crash(&self) {
        self.record.line(&format!("server {} crashes", self.kind.id));
        self.up.store(false, Ordering::SeqCst);
        for (_, stream) in self.open.lock().expect("open").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Is back after a crash, as another process of the same id.
    pub fn restart(&self, store: &Arc<Store>) {
        self.record.line(&format!("server {} is back", self.kind.id));
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.up.store(true, Ordering::SeqCst);
        self.beat(store);
    }

    /// Refuses new connections, or takes them again.
    pub fn refuse(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Leaves without reporting that it drains: its entry is removed, and it serves on.
    pub fn leave_unreported(&self, store: &Arc<Store>) {
        self.silent.store(true, Ordering::SeqCst);
        store.remove(&format!("servers/{}", self.kind.id));
        self.record.line(&format!("the entry of server {} is removed", self.kind.id));
    }

    /// Leaves: all its answers say so from now on.
    pub fn leave(&self) {
        self.record.line(&format!("server {} leaves", self.kind.id));
        self.leaving.store(true, Ordering::SeqCst);
    }

    fn accept(self: Arc<Self>, mut listener: Option<TcpListener>) {
        loop {
            if !self.up.load(Ordering::SeqCst) || self.refusing.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.open.lock().expect("open").insert(number, kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() || !self.up.load(Ordering::SeqCst) {
                break;
            }
        }
        self.open.lock().expect("open").remove(&number);
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &http::Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let Kind { id, slots, .. } = &self.kind;
        let attempt = request.header("x-lacewingspring-attempt-id").to_owned();
        let load = format!("{},0,{slots}", self.running.load(Ordering::Relaxed).min(255));
        let mut headers: BTreeMap<&str, &str> = BTreeMap::new();
        headers.insert("X-Lacewingspring-Server-Load", &load);
        let leaving = self.leaving.load(Ordering::SeqCst);
        if leaving {
            headers.insert("Server-Leaving", "1");
        }
        if request.word(1) == "/health" {
            headers.insert("X-Lacewingspring-Instance-Id", id);
            let headers: Vec<(&str, &str)> = headers.into_iter().collect();
            let status = if leaving { "503 Service Unavailable" } else { "200 OK" };
            return http::respond(writer, status, &headers, b"");
        }
        headers.insert("X-Lacewingspring-Attempt-Id", &attempt);
        let expected = request.header("x-lacewingspring-expected-instance");
        if !expected.is_empty() && expected != id {
            headers.insert("X-Lacewingspring-Not-Executed", "1");
            let headers: Vec<(&str, &str)> = headers.into_iter().collect();
            return http::respond(writer, "421 Misdirected Request", &headers, b"");
        }
        if self.running.load(Ordering::Relaxed) >= u64::from(slots * 2) {
            headers.insert("X-Lacewingspring-Not-Executed", "1");
            let headers: Vec<(&str, &str)> = headers.into_iter().collect();
            return http::respond(writer, "503 Service Unavailable", &headers, b"");
        }
        let run = Run {
            at: self.record.now(),
            server: id.clone(),
            id: attempt.clone(),
            path: request.word(1).to_owned(),
            tenant: request.header("x-lacewingspring-tenant").to_owned(),
            leaving,
        };
        // Of a flood of requests only some are recorded.
        let is_recorded = !run.id.starts_with("flood") || run.id.ends_with("00");
        let line = format!(
            "run {} of {} at {}{}",
            run.id,
            run.path,
            run.server,
            if leaving { " (leaving)" } else { "" }
        );
        if is_recorded {
            self.record.line(&line);
        }
        self.runs.lock().expect("runs").push(run);
        self.running.fetch_add(1, Ordering::Relaxed);
        // An event holds five tokens; a stream goes on after the event that its client names.
        let tokens = request.header("x-lacewingspring-token-usage");
        let tokens: Option<u32> = tokens.split_once(',').and_then(|(_, out)| out.parse().ok());
        let last = match self.kind.is_sized {
            true => tokens.map_or(self.kind.events, |tokens| (tokens / 5).max(1)),
            false => self.kind.events,
        };
        let first = request.header("last-event-id").parse::<u32>().unwrap_or(0) + 1;
        let result = self.work(writer, headers, first, last);
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn work(
        &self,
        writer: &mut TcpStream,
        headers: BTreeMap<&str, &str>,
        first: u32,
        last: u32,
    ) -> std::io::Result<()> {
        thread::sleep(self.kind.work);
        if !self.up.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let mut headers: Vec<(&str, &str)> = headers.into_iter().collect();
        headers.push(("X-Lacewingspring-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"));
        if self.kind.events == 0 {
            return http::respond(writer, "200 OK", &headers, &[b'x'; 800]);
        }
        let mut text = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        writer.write_all(text.as_bytes())?;
        for number in first..=last {
            let data = format!("{} {}", self.kind.version, "y".repeat(40));
            let event = format!("id: {number}\ndata: {data}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if number < last {
                thread::sleep(self.kind.gap);
            }
            if !self.up.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
