//! Stand-in for the platform's store: keys, leases, watches and transactions, as its page says.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader},
    json::{Json, quote},
};

#[derive(Clone, Debug)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in the order of their revisions: revision, key, and the event as JSON.
    history: Vec<(u64, String, String)>,
    /// Leases with their time to live and their ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Whether calls get no answer.
    is_silent: bool,
    /// Time at which calls began to get no answer.
    silent_since: Option<Instant>,
    /// Transactions still to be done late and not answered, and how late.
    late: (usize, Duration),
    /// Writing calls: those that were answered, and those that were not.
    answered: usize,
    lost: usize,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store without keys.
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store binds its address");
        let address = listener.local_addr().expect("the store has an address");
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.write(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Sets whether calls get no answer (`platform_down`, silent). Leases pause meanwhile.
    pub fn set_silent(&self, is_silent: bool) {
        let mut state = self.state();
        state.is_silent = is_silent;
        if is_silent {
            state.silent_since = Some(Instant::now());
        } else if let Some(since) = state.silent_since.take() {
            let paused = since.elapsed();
            state.leases.values_mut().for_each(|(_, end)| *end += paused);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Has the next transactions on keys of the system done late and not answered (`platform_lost`,
    /// late). Writing calls are counted from here.
    pub fn lose_answers(&self, transactions: usize, late: Duration) {
        let mut state = self.state();
        state.late = (transactions, late);
        (state.answered, state.lost) = (0, 0);
    }

    /// Returns how many writing calls were answered and how many not.
    pub fn writes(&self) -> (usize, usize) {
        let state = self.state();
        (state.answered, state.lost)
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Does a transaction late if it is one to be lost; returns whether it is.
    fn lose(&self, request: &Message) -> bool {
        let is_write = request.start.starts_with("POST") && !request.start.contains("kv-keep");
        if !is_write {
            return false;
        }
        let mut state = self.state();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let is_entry =
            request.start.contains("kv-txn") && body.contains("lacewingspring/instances/");
        if state.late.0 == 0 || !is_entry {
            state.answered += 1;
            return false;
        }
        state.late.0 -= 1;
        state.lost += 1;
        let (store, late) = (self.clone(), state.late.1);
        thread::spawn(move || {
            thread::sleep(late);
            store.transact(&Json::parse(&body).unwrap_or(Json::Null));
        });
        true
    }

    /// Returns whether calls get no answer.
    pub fn is_silent(&self) -> bool {
        self.state().is_silent
    }

    fn expire(&self) {
        let mut state = self.state();
        if state.is_silent {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        drop(state);
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            if self.lose(&request) {
                // "A connection on which a response is lost returns nothing further."
                while reader.request().is_some() {}
                return;
            }
            let (status, body) = self.answer(&request);
            while self.state().is_silent {
                thread::sleep(Duration::from_millis(20));
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if !reader.send(answer.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        while self.state().is_silent {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(2));
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let param = |name: &str| {
            let found = query.split('&').filter_map(|pair| pair.split_once('='));
            found.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
        };
        let number =
            |name: &str| param(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let method = request.start.split(' ').next().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let call = path.strip_prefix("/lacewingspring/").unwrap_or_default();
        match (method, call.split('/').next().unwrap_or_default()) {
            ("GET", "kv-key") => self.key(&param("key").unwrap_or_default()),
            ("GET", "kv-range") => self.range(&param("prefix").unwrap_or_default(), param("after")),
            ("GET", "kv-watch") => self.watch(
                &param("prefix").unwrap_or_default(),
                number("after"),
                Duration::from_millis(number("waitTimeoutMs")),
            ),
            ("POST", "kv-txn") => self.transact(&body),
            ("POST", "kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttlMs").number().max(1_000));
                let mut state = self.state();
                let id = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!("{{\"leaseId\":{id},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", "kv-keep") => {
                let id: u64 = call.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut state = self.state();
                match state.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", "kv-lease-end") => {
                let id: u64 = call.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                self.state().end_lease(id);
                self.shared.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.state().items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let state = self.state();
        let items = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && after.as_ref().is_none_or(|after| *key > after)
        });
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let entries = items.join(",");
        (200, format!("{{\"entries\":[{entries}],\"hasMore\":false,\"at\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state();
        if after > state.revision {
            return (410, "{}".into());
        }
        loop {
            let events = state.history.iter();
            let events: Vec<&str> = events
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.is_silent {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let expected = body.get("expectedRevision").list();
        let holds = expected.iter().all(|row| {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            known == row.get("revision").number()
        });
        if !holds {
            let entries: Vec<String> = expected
                .iter()
                .map(|row| {
                    let key = row.get("key").text();
                    match state.items.get(key) {
                        Some(item) => item_json(key, item),
                        None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                    }
                })
                .collect();
            return (412, format!("{{\"entries\":[{}]}}", entries.join(",")));
        }
        for write in body.get("write").list() {
            let lease = write.get("leaseId").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        for write in body.get("write").list() {
            let (key, value) = (write.get("key").text(), write.get("value").text());
            state.write(key, value, write.get("leaseId").number());
        }
        for key in body.get("remove").list() {
            state.delete(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.into(), revision, created, lease };
        self.history.push((revision, key.into(), item_json(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let event = format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key));
        self.history.push((revision, key.into(), event));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.delete(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let key = quote(key);
    format!(
        "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"createdRevision\":{created},\"leaseId\":{lease}}}"
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
