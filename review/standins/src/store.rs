//! Stand-in for the platform's store. Each instance has a path of its own to it, a listener, so that
//! the record tells what each was told, and single paths can be cut.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    json::{base64, field, from_base64},
    record::Record,
};

#[derive(Clone)]
struct Entry {
    value: String,
    revision: u64,
    created: u64,
    /// Lease of the key; 0 for none.
    lease: u64,
}

/// Change of a key; `None` if it was removed.
#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    entry: Option<Entry>,
}

#[derive(Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Clone)]
struct State {
    era: u64,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    history: Vec<Event>,
    /// Revision up to which the history is not known.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    is_away: bool,
}

/// Copy of the store's content.
pub struct Copy(State);

/// Path of one instance to the store.
#[derive(Clone)]
pub struct Path {
    pub name: String,
    is_cut: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Texts in values that are replaced on this path, as an address translation does.
    translations: Arc<Vec<(String, String)>>,
}

impl Path {
    /// Resets all connections of the path, and new ones at once.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        reset_all(&self.connections);
    }
}

/// Resets connections.
pub fn reset_all(connections: &Mutex<Vec<TcpStream>>) {
    for stream in connections.lock().expect("no thread panics with the lock").drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Stand-in for the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    paths: Arc<Mutex<Vec<Path>>>,
    record: Record,
}

impl Store {
    /// Creates an empty store.
    pub fn new(record: &Record) -> Self {
        let state = State {
            era: 1,
            revision: 100,
            entries: BTreeMap::new(),
            history: Vec::new(),
            forgotten: 100,
            leases: BTreeMap::new(),
            next_lease: 1_000,
            is_away: false,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            paths: Arc::default(),
            record: record.clone(),
        };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.with(State::expire);
            }
        });
        store
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().expect("no thread panics with the lock");
        let before = state.revision;
        let result = act(&mut state);
        if state.revision != before {
            self.state.1.notify_all();
        }
        result
    }

    /// Writes a key without a lease.
    pub fn put(&self, key: &str, value: &str) {
        self.with(|state| state.put(key, value.to_owned(), 0));
        self.record.line(format!("store: {key} is written: {value}"));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.remove(key));
        self.record.line(format!("store: {key} is removed"));
    }

    /// Returns whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.with(|state| state.entries.contains_key(key))
    }

    /// Returns a copy of the content.
    pub fn copy(&self) -> Copy {
        self.record.line("store: a copy is taken");
        Copy(self.with(|state| state.clone()))
    }

    /// Takes the store away: its connections are reset, and new ones at once.
    pub fn go_away(&self) {
        self.record.line("store: away");
        self.with(|state| state.is_away = true);
        for path in self.paths.lock().expect("no thread panics with the lock").iter() {
            reset_all(&path.connections);
        }
    }

    /// Brings the store back with the content of a copy, in a new era. Watches from before the
    /// restart are not answered; revisions and leases go on from those of the copy.
    pub fn come_back(&self, copy: Copy) {
        let Copy(copy) = copy;
        self.with(|state| {
            let era = state.era + 1;
            let shift = |lease: &Lease| Lease { ttl: lease.ttl, ends: Instant::now() + lease.ttl };
            let leases = copy.leases.iter().map(|(id, lease)| (*id, shift(lease))).collect();
            *state = State { era, leases, is_away: false, ..copy };
        });
        self.state.1.notify_all();
        self.record.line("store: back from the copy, in a new era");
    }

    /// Opens a path for an instance.
    pub fn open_path(
        &self,
        name: &str,
        address: SocketAddr,
        translations: Vec<(String, String)>,
    ) -> Path {
        let path = Path {
            name: name.to_owned(),
            is_cut: Arc::default(),
            connections: Arc::default(),
            translations: Arc::new(translations),
        };
        let listener = TcpListener::bind(address).expect("the store's address is free");
        self.paths.lock().expect("no thread panics with the lock").push(path.clone());
        let (store, opened) = (self.clone(), path.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, path) = (store.clone(), opened.clone());
                let _ = stream.set_nodelay(true);
                if path.is_cut.load(Ordering::SeqCst) || store.with(|state| state.is_away) {
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    path.connections.lock().expect("no panic").push(clone);
                }
                thread::spawn(move || {
                    let _ = store.serve(&path, stream);
                });
            }
        });
        path
    }

    fn serve(&self, path: &Path, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let mut body = Vec::new();
            http::read_body(&mut reader, &head, |part| body.extend_from_slice(part))?;
            let era = self.with(|state| state.era);
            let (status, mut text) = self.answer(path, &head, &String::from_utf8_lossy(&body));
            for (from, to) in path.translations.iter() {
                text = translate(&text, from, to);
            }
            // What was asked before the store went away is not answered.
            if path.is_cut.load(Ordering::SeqCst) || self.with(|state| state.era) != era {
                return Ok(());
            }
            let length = text.len();
            let message = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {length}\r\n\r\n{text}"
            );
            stream.write_all(message.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, path: &Path, head: &Head, body: &str) -> (u16, String) {
        let method = head.first[0].as_str();
        let target = head.first.get(1).map_or("", String::as_str);
        let (call, query) = target.split_once('?').unwrap_or((target, ""));
        let call = call.strip_prefix("/lacewingspring/").unwrap_or("");
        let none = || (200, "{}".to_owned());
        let not_found = || (404, "{}".to_owned());
        match (method, call.split_once('/').unwrap_or((call, ""))) {
            ("GET", ("kv-range", _)) => (200, self.range(query)),
            ("GET", ("kv-watch", _)) => self.watch(path, query),
            ("POST", ("kv-lease", _)) => {
                let ttl = field(body, "ttlMs").and_then(|ttl| ttl.parse().ok()).unwrap_or(1_000);
                let id = self.with(|state| state.grant(Duration::from_millis(ttl)));
                (200, format!("{{\"leaseId\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", ("kv-keep", id)) => {
                let is_kept = self.with(|state| state.keep(id.parse().unwrap_or(0)));
                if is_kept { none() } else { not_found() }
            }
            ("DELETE", ("kv-lease-end", id)) => {
                self.with(|state| state.end(id.parse().unwrap_or(0)));
                none()
            }
            ("POST", ("kv-txn", _)) => {
                let key = field(body, "key").unwrap_or_default().to_owned();
                let value = from_base64(field(body, "value").unwrap_or_default());
                let value = String::from_utf8_lossy(&value).into_owned();
                let lease = field(body, "leaseId").and_then(|id| id.parse().ok()).unwrap_or(0);
                self.with(|state| {
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return not_found();
                    }
                    state.put(&key, value, lease);
                    (200, format!("{{\"revision\":{}}}", state.revision))
                })
            }
            _ => not_found(),
        }
    }

    fn range(&self, query: &str) -> String {
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        self.with(|state| {
            let entries = state.entries.iter();
            let entries = entries.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<String> = entries.map(|(key, entry)| item(key, entry)).collect();
            let revision = state.revision;
            format!("{{\"entries\":[{}],\"hasMore\":false,\"at\":{revision}}}", items.join(","))
        })
    }

    fn watch(&self, path: &Path, query: &str) -> (u16, String) {
        let prefix = parameter(query, "prefix");
        let number = |name| parameter(query, name).parse::<u64>().unwrap_or(0);
        let after = number("after");
        let ends = Instant::now() + Duration::from_millis(number("waitTimeoutMs"));
        let mut state = self.state.0.lock().expect("no thread panics with the lock");
        loop {
            if after > state.revision || after < state.forgotten {
                return (410, "{}".into());
            }
            let events = state.history.iter();
            let events: Vec<&Event> = events
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                for event in events.iter().filter(|event| event.key.starts_with("servers/")) {
                    self.record.line(told(path, event));
                }
                let items: Vec<String> = events.iter().map(|event| event.json()).collect();
                let revision = state.revision;
                let text = format!("{{\"events\":[{}],\"at\":{revision}}}", items.join(","));
                return (200, text);
            }
            let wait = left.min(Duration::from_millis(50));
            state = self.state.1.wait_timeout(state, wait).expect("no panic").0;
        }
    }
}

fn told(path: &Path, event: &Event) -> String {
    let (name, key) = (&path.name, &event.key);
    match &event.entry {
        Some(entry) => {
            let state = field(&entry.value, "state").unwrap_or("?");
            format!("store: {name} is told of {key}: {state}")
        }
        None => format!("store: {name} is told of {key}: gone"),
    }
}

fn translate(text: &str, from: &str, to: &str) -> String {
    // Values are in base64, so each is decoded, changed and encoded again.
    let mut result = String::new();
    let mut rest = text;
    while let Some(start) = rest.find("\"value\":\"") {
        let (before, value) = rest.split_at(start + 9);
        let end = value.find('"').unwrap_or(value.len());
        let decoded = String::from_utf8_lossy(&from_base64(&value[..end])).replace(from, to);
        result.push_str(before);
        result.push_str(&base64(decoded.as_bytes()));
        rest = &value[end..];
    }
    result.push_str(rest);
    result
}

fn item(key: &str, entry: &Entry) -> String {
    let Entry { value, revision, created, lease } = entry;
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"createdRevision\":{created},\"leaseId\":{lease}}}"
    )
}

impl Event {
    fn json(&self) -> String {
        match &self.entry {
            Some(entry) => item(&self.key, entry),
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                self.key, self.revision
            ),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.entries.get(key).map_or(revision, |entry| entry.created);
        let entry = Entry { value, revision, created, lease };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push(Event { key: key.to_owned(), revision, entry: Some(entry) });
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Event { key: key.to_owned(), revision, entry: None });
        }
    }

    fn grant(&mut self, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, ends: Instant::now() + ttl });
        self.next_lease
    }

    fn keep(&mut self, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.map(|lease| lease.ends = Instant::now() + lease.ttl).is_some()
    }

    fn end(&mut self, id: u64) {
        if self.leases.remove(&id).is_some() {
            let keys = self.entries.iter().filter(|(_, entry)| entry.lease == id);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn expire(&mut self) {
        if self.is_away {
            return;
        }
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end(id));
    }
}

/// Returns a parameter of a query, with its percent-encoding decoded.
fn parameter(query: &str, name: &str) -> String {
    let start = format!("{name}=");
    let value = query.split('&').find_map(|pair| pair.strip_prefix(&start)).unwrap_or_default();
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits);
        bytes.extend(u8::from_str_radix(&digits, 16));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
