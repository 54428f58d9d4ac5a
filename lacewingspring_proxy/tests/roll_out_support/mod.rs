//! A key-value service in the test process that fails as told, and a keeper of roll-outs on it.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_core::{
    dispatch::{SlotRequest, UpstreamInfo},
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName},
    roll_out::Bounds,
};
use lacewingspring_proxy::{
    clock,
    declared::Declared,
    gate::{
        host::GateHost,
        message::{FromGate, ToGate, Trailing},
        roll_out::{ColdUpstream, DeclaredOrder, DeclaredOrders, RollOutStatus, keeper::Keeper},
    },
    instance::StateDecoder,
    mirror::Mirror,
    store::{Batch, Era, Item, Lease, Page, Revision, Store, StoreError},
};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::support::{fate, request};

/// Key of the record.
pub const RECORD: &str = "lacewingspring/roll-outs/app";

/// Key of the status.
pub const STATUS: &str = "status";

/// Bounds on what a bad version may get.
pub const BOUNDS: Bounds =
    Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: Duration::from_secs(5) };

/// Returns a revision of the first era.
pub fn rev(number: u64) -> Revision {
    Revision { era: Era(0), number }
}

/// Returns a record of the order of revision 5 in a stage, which is given as JSON.
pub fn record(stage: &str) -> Bytes {
    record_with(stage, r#""left":[]"#)
}

/// Returns a record of the order of revision 5 in a stage and with a further field, as JSON.
pub fn record_with(stage: &str, field: &str) -> Bytes {
    let wall = clock::wall().as_millis();
    Bytes::from(format!(
        r#"{{"service":"app","target":"v2","order":{{"era":0,"revision":5}},"allowed_ms":60000,
        "age_ms":1000,"wall_ms":{wall},"stage":{stage},"counts":{{}},{field}}}"#
    ))
}

/// Returns a record of the order of revision 5 in a stage, as it was written `written_ago` when the
/// order had this age, with the time that the operator allows.
pub fn aged_record(stage: &str, age: Duration, written_ago: Duration, allowed: Duration) -> Bytes {
    let wall_ms = clock::wall().saturating_sub(written_ago).as_millis();
    let (age_ms, allowed_ms) = (age.as_millis(), allowed.as_millis());
    Bytes::from(format!(
        r#"{{"service":"app","target":"v2","order":{{"era":0,"revision":5}},
        "allowed_ms":{allowed_ms},"age_ms":{age_ms},"wall_ms":{wall_ms},"stage":{stage},
        "counts":{{}}}}"#
    ))
}

/// Returns an order of a version.
pub fn order(target: &str, revision: u64) -> DeclaredOrder {
    DeclaredOrder {
        service: ServiceName::from("app"),
        target: SoftwareVersion::from(target),
        allowed: Duration::from_secs(60),
        revision: rev(revision),
    }
}

/// Returns the order of revision 5.
pub fn orders() -> DeclaredOrders {
    DeclaredOrders { orders: vec![order("v2", 5)], unreadable: Vec::new() }
}

/// Returns an upstream of a version, which has the version's name.
pub fn upstream(version: &str, started_at_ms: u64) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(version),
        service: ServiceName::from("app"),
        software: SoftwareVersion::from(version),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: 4,
        memory_tokens: u64::MAX,
        draining: false,
        started_at_ms,
    }
}

/// Returns whether a request to the service gets a slot.
pub fn is_granted(
    host: &GateHost,
    link: u64,
    number: u64,
    rx: &mut UnboundedReceiver<FromGate>,
) -> bool {
    let request = SlotRequest { service: ServiceName::from("app"), ..request() };
    host.handle(clock::now(), link, ToGate::RequestSlot { number, request, quota: Trailing(None) });
    fate(rx, number) == Some("granted")
}

/// Runs a keeper at a gate that knows the order.
pub fn start_keeper(store: &Arc<SharedStore>, host: &Arc<GateHost>) {
    start_keeper_with(Decoder::default(), store, host);
}

/// Runs a keeper with this form of the status at a gate that knows the order.
pub fn start_keeper_with(decoder: Decoder, store: &Arc<SharedStore>, host: &Arc<GateHost>) {
    host.enable_roll_outs(BOUNDS);
    host.set_orders(clock::now(), orders(), rev(8));
    tokio::spawn(host.clone().run_heartbeat());
    let keeper = Keeper::new(store.clone(), Arc::new(decoder), host.clone(), Arc::default());
    tokio::spawn(keeper.run());
}

/// Decoder of a status in the form of its debug output.
#[derive(Default)]
pub struct Decoder {
    /// Whether the status names the target.
    pub names_target: bool,
}

impl StateDecoder for Decoder {
    const DECLARED_PREFIX: &'static str = "c";
    const OPERATORS_PREFIX: &'static str = "o";
    const UPSTREAMS_PREFIX: &'static str = "u";

    fn declared(&self, _: &Mirror) -> Option<Declared> {
        None
    }
    fn upstreams(&self, _: &Mirror) -> Vec<UpstreamInfo> {
        Vec::new()
    }
    fn orders(&self, _: &Mirror) -> DeclaredOrders {
        DeclaredOrders::default()
    }
    fn cold_upstreams(&self, _: &Mirror) -> Vec<ColdUpstream> {
        Vec::new()
    }
    fn status_key(&self, _: &ServiceName) -> String {
        "status".into()
    }
    fn status(&self, status: &RollOutStatus) -> Bytes {
        let target = if self.names_target { status.target.as_str() } else { "" };
        Bytes::from(format!("{:?}{target}", status.state))
    }
}

/// Write that is executed at a time if its condition holds then.
struct DueWrite {
    at: Duration,
    key: String,
    value: Bytes,
    expected: Option<Revision>,
}

/// Key-value service in memory.
#[derive(Default)]
pub struct SharedStore {
    keys: Mutex<BTreeMap<String, Item>>,
    era: AtomicU64,
    /// Number of the next writes that are not executed.
    pub failing_writes: AtomicU64,
    /// Number of the next writes that are executed without an answer.
    pub unanswered_writes: AtomicU64,
    /// Key whose next write is executed late and without an answer, and how late.
    late_write: Mutex<Option<(&'static str, Duration)>>,
    /// Writes that are executed when they are due.
    due_writes: Mutex<Vec<DueWrite>>,
    /// Values that another holder writes right after the next read of the record.
    written_after_read: Mutex<Vec<(&'static str, Bytes)>>,
}

impl SharedStore {
    fn keys(&self) -> MutexGuard<'_, BTreeMap<String, Item>> {
        self.keys.lock().expect("no test panics while holding the lock")
    }

    /// Begins an era, as after a restore from an older copy.
    pub fn begin_era(&self) {
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets a key; returns its revision.
    pub fn set(&self, key: &str, value: Bytes) -> Revision {
        let mut keys = self.keys();
        let number = keys.values().map(|item| item.revision.number).max().unwrap_or(8) + 1;
        let revision = Revision { era: self.era(), number };
        let item = Item { key: key.into(), value, revision, created_revision: revision };
        keys.insert(key.into(), item);
        revision
    }

    /// Has another holder write these values right after the next read of the record.
    pub fn set_after_read(&self, values: Vec<(&'static str, Bytes)>) {
        *self.written_after_read.lock().expect("no test panics while holding it") = values;
    }

    /// Executes the next write of a key so late, without an answer.
    pub fn delay_next_write(&self, key: &'static str, delay: Duration) {
        *self.late_write.lock().expect("no test panics holding it") = Some((key, delay));
    }

    /// Takes a write that is executed late; returns whether it is.
    fn takes_late(&self, key: &str, value: &Bytes, expected: Option<Revision>) -> bool {
        let mut late = self.late_write.lock().expect("no test panics holding it");
        let Some((_, delay)) = late.filter(|(late_key, _)| *late_key == key) else { return false };
        *late = None;
        let (at, key, value) = (clock::now() + delay, key.to_owned(), value.clone());
        let mut due = self.due_writes.lock().expect("no test panics holding it");
        due.push(DueWrite { at, key, value, expected });
        true
    }

    /// Executes the late writes that are due.
    fn execute_due(&self) {
        let now = clock::now();
        let mut due = self.due_writes.lock().expect("no test panics holding it");
        for write in due.extract_if(.., |write| write.at <= now) {
            if self.keys().get(&write.key).map(|item| item.revision) == write.expected {
                self.set(&write.key, write.value);
            }
        }
    }

    /// Returns the value of a key as text.
    pub fn text(&self, key: &str) -> String {
        self.execute_due();
        String::from_utf8_lossy(&self.keys()[key].value).into_owned()
    }
}

fn take_one(number: &AtomicU64) -> bool {
    number.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_ok()
}

impl Store for SharedStore {
    fn era(&self) -> Era {
        Era(self.era.load(Ordering::Relaxed))
    }

    async fn range(&self, key: &str, _: Option<&str>) -> Result<Page, StoreError> {
        self.execute_due();
        let items: Vec<Item> =
            self.keys().values().filter(|item| item.key.starts_with(key)).cloned().collect();
        if key == RECORD {
            let mut written = self.written_after_read.lock().expect("no test panics holding it");
            for (key, value) in written.drain(..) {
                self.set(key, value);
            }
        }
        Ok(Page { items, has_more: false, revision: rev(12) })
    }
    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Batch, StoreError> {
        pending().await
    }
    async fn grant_lease(&self, _: Duration) -> Result<Lease, StoreError> {
        pending().await
    }
    async fn keep_lease(&self, _: Lease) -> Result<(), StoreError> {
        pending().await
    }
    async fn end_lease(&self, _: Lease) -> Result<(), StoreError> {
        pending().await
    }
    async fn put_if(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Revision>,
        _: Option<Lease>,
    ) -> Result<Revision, StoreError> {
        self.execute_due();
        if self.takes_late(key, &value, expected) {
            return pending().await;
        }
        if take_one(&self.failing_writes) {
            return Err(StoreError::NoAnswer("timed out".into()));
        }
        if self.keys().get(key).map(|item| item.revision) != expected {
            return Err(StoreError::Conflict(None));
        }
        let revision = self.set(key, value);
        if take_one(&self.unanswered_writes) {
            return Err(StoreError::NoAnswer("timed out".into()));
        }
        Ok(revision)
    }
}
