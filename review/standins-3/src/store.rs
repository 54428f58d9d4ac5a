//! The platform's store.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{self, Value},
};

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Every call gets 503, and nothing is done.
    Busy,
    /// No call gets an answer, and nothing is done.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// Stands for the status of a call whose connection is closed without an answer.
const CUT: &str = "cut";

/// A store that is linearizable and keeps its whole history.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRevision\":{},\"leaseId\":{}}}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8(hex).unwrap_or_default();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        let (key, revision) = (key.to_owned(), self.revision);
        self.items.insert(key.clone(), item.clone());
        self.events.push(Event { key, revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = Event { key: key.to_owned(), revision: self.revision, item: None };
            self.events.push(event);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            mode: Mode::Up,
            cuts: 0,
            revision: 100,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: HashMap::new(),
            next_lease: 1,
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            address: listener.local_addr().expect("its address"),
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = expiring.state.lock().expect("state");
                // Leases pause while the store is away.
                if state.mode == Mode::Up {
                    let before = state.revision;
                    state.expire();
                    if state.revision != before {
                        expiring.changed.notify_all();
                    }
                } else {
                    for (_, end) in state.leases.values_mut() {
                        *end += Duration::from_millis(50);
                    }
                }
            }
        });
        store
    }

    /// Sets how the store answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().expect("state").mode = mode;
        self.changed.notify_all();
    }

    /// Returns how the store answers.
    pub fn mode(&self) -> Mode {
        self.state.lock().expect("state").mode
    }

    /// Cuts all watches that wait.
    pub fn cut_watches(&self) {
        self.state.lock().expect("state").cuts += 1;
        self.changed.notify_all();
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let value = json::base64(value.as_bytes());
        self.state.lock().expect("state").put(key, value, 0);
        self.changed.notify_all();
    }

    /// Removes a key as a server does.
    pub fn remove(&self, key: &str) {
        self.state.lock().expect("state").remove(key);
        self.changed.notify_all();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.lock().expect("state");
        let value = json::unbase64(&state.items.get(key)?.value);
        String::from_utf8(value).ok()
    }

    /// Returns the keys and values with a prefix, in the order of their creation.
    pub fn list(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.state.lock().expect("state");
        let mut items: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (item.created, key.clone(), json::unbase64(&item.value)))
            .collect();
        items.sort();
        items
            .into_iter()
            .map(|(_, key, value)| (key, String::from_utf8(value).unwrap_or_default()))
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            match self.mode() {
                Mode::Up => {}
                Mode::Busy => {
                    let _ = http::respond(&mut writer, "503 Service Unavailable", &[], b"{}");
                    continue;
                }
                Mode::Silent => {
                    // A connection on which a response is lost returns nothing further.
                    thread::sleep(Duration::from_secs(60));
                    return;
                }
            }
            let Some((status, body)) = self.answer(&request) else {
                thread::sleep(Duration::from_secs(60));
                return;
            };
            if status == CUT {
                return;
            }
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> Option<(&'static str, String)> {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
        let Some(call) = path.strip_prefix("/lacewingspring/") else {
            return Some(("404 Not Found", "{}".into()));
        };
        let (call, id) = call.split_once('/').unwrap_or((call, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let mut state = self.state.lock().expect("state");
        state.expire();
        match call {
            "kv-key" => {
                let key = text("key");
                let at = state.revision;
                Some(match state.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        ("200 OK", format!("{},\"at\":{at}}}", &item[..item.len() - 1]))
                    }
                    None => ("404 Not Found", format!("{{\"at\":{at}}}")),
                })
            }
            "kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let entries: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let has_more = entries.len() > 500;
                let entries = entries[..entries.len().min(500)].join(",");
                let at = state.revision;
                let body =
                    format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"at\":{at}}}");
                Some(("200 OK", body))
            }
            "kv-watch" => {
                let prefix = text("prefix");
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("waitTimeoutMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let cuts = state.cuts;
                loop {
                    if state.mode == Mode::Silent {
                        return None;
                    }
                    if state.cuts != cuts {
                        return Some((CUT, String::new()));
                    }
                    let found = state
                        .events
                        .iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix));
                    let events: Vec<String> = found
                        .map(|event| match &event.item {
                            Some(item) => item_json(&event.key, item),
                            None => format!(
                                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                                json::quote(&event.key),
                                event.revision
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = state.revision;
                        let events = events.join(",");
                        return Some(("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}")));
                    }
                    state = self.changed.wait_timeout(state, left).expect("state").0;
                }
            }
            "kv-txn" => {
                let list = |name: &str| body.get(name).map(|v| v.list().to_vec());
                let expected = list("expectedRevision").unwrap_or_default();
                let field = |row: &Value, name: &str| row.get(name).cloned().unwrap_or(Value::Null);
                let holds = expected.iter().all(|row| {
                    let known = state.items.get(field(row, "key").text());
                    known.map_or(0, |item| item.revision) == field(row, "revision").number()
                });
                if !holds {
                    let entries: Vec<String> = expected
                        .iter()
                        .map(|row| {
                            let key = field(row, "key").text().to_owned();
                            match state.items.get(&key) {
                                Some(item) => item_json(&key, item),
                                None => format!("{{\"key\":{},\"revision\":0}}", json::quote(&key)),
                            }
                        })
                        .collect();
                    let body = format!("{{\"entries\":[{}]}}", entries.join(","));
                    return Some(("412 Precondition Failed", body));
                }
                let writes = list("write").unwrap_or_default();
                let lost = writes.iter().any(|row| {
                    let lease = field(row, "leaseId").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                });
                if lost {
                    return Some(("404 Not Found", "{}".into()));
                }
                for row in &writes {
                    let (key, value) = (field(row, "key"), field(row, "value"));
                    let lease = field(row, "leaseId").number();
                    state.put(key.text(), value.text().to_owned(), lease);
                }
                for key in list("remove").unwrap_or_default() {
                    state.remove(key.text());
                }
                self.changed.notify_all();
                Some(("200 OK", format!("{{\"revision\":{}}}", state.revision)))
            }
            "kv-lease" => {
                let ttl = Duration::from_millis(body.get("ttlMs").map_or(1000, Value::number));
                let lease = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                Some(("200 OK", format!("{{\"leaseId\":{lease},\"ttlMs\":{}}}", ttl.as_millis())))
            }
            "kv-keep" => Some(match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => ("404 Not Found", "{}".into()),
            }),
            "kv-lease-end" => {
                state.end_lease(id);
                self.changed.notify_all();
                Some(("200 OK", "{}".into()))
            }
            _ => Some(("404 Not Found", "{}".into())),
        }
    }
}
