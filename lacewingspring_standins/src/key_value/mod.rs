//! Key-value service with the JSON gateway of etcd v3: ranges, transactions, leases and watches.

mod messages;
mod store;
mod watch;

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use clap::Args;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{net::TcpListener, time::interval};

use self::store::{Store, StoreError};
use crate::{
    faults::Faults,
    http::{Call, CutError, Reply, accept, error, json, lock},
    time::sleep_ms,
};

/// Time between two looks for expired leases.
const LEASE_TICK: Duration = Duration::from_millis(20);

/// Settings of the key-value service.
#[derive(Clone, Debug, Default, Args)]
pub struct Settings {}

/// Faults of the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyValueFaults {
    /// Requests get 503 and watches are cut.
    down: bool,
    /// Delay of each request, in milliseconds.
    delay_ms: u64,
    /// Next writes that take effect while their connection is closed without a reply.
    lose_replies: u64,
    /// Next ranges that answer from the state of one revision earlier.
    old_reads: u64,
    /// Next events that watches leave out.
    drop_watch_events: u64,
}

/// Counts of the requests, for `GET /calls`.
#[derive(Clone, Debug, Default, Serialize)]
struct Calls {
    /// Ranges, and transactions without writes.
    reads: u64,
    /// Puts, deletions, and transactions with a write in one of their branches.
    writes: u64,
    /// Grants, renewals and revocations of leases.
    leases: u64,
    /// Watches created.
    watches: u64,
}

/// One key-value service.
struct KeyValue {
    faults: Faults<KeyValueFaults>,
    store: Mutex<Store>,
    calls: Mutex<Calls>,
    /// Revision of the store, to wake the watches.
    revision: tokio::sync::watch::Sender<i64>,
}

/// Serves one key-value service until the future is dropped.
pub async fn serve(listener: TcpListener, _settings: Settings) -> io::Result<()> {
    let faults = KeyValueFaults {
        down: false,
        delay_ms: 2,
        lose_replies: 0,
        old_reads: 0,
        drop_watch_events: 0,
    };
    let service = Arc::new(KeyValue {
        faults: Faults::new(faults),
        store: Mutex::new(Store::default()),
        calls: Mutex::default(),
        revision: tokio::sync::watch::Sender::new(1),
    });
    let expiring = service.clone();
    let answering = move |call| answer(service.clone(), call);
    tokio::select! {
        result = accept(listener, Arc::default(), answering) => result,
        () = expire(expiring) => Ok(()),
    }
}

/// Deletes the keys of expired leases.
async fn expire(service: Arc<KeyValue>) {
    let mut ticks = interval(LEASE_TICK);
    loop {
        ticks.tick().await;
        service.change(|store| store.expire_leases(std::time::Instant::now()));
    }
}

async fn answer(service: Arc<KeyValue>, call: Call) -> Result<Reply, CutError> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET" | "PUT", "/faults") => Ok(service.faults.answer(&call)),
        ("GET", "/calls") => Ok(json(200, &*lock(&service.calls))),
        ("DELETE", "/calls") => {
            *lock(&service.calls) = Calls::default();
            Ok(json(200, &json!({})))
        }
        ("POST", _) => service.answer_etcd(call).await,
        _ => Ok(error(404, "not found")),
    }
}

impl KeyValue {
    async fn answer_etcd(self: Arc<Self>, call: Call) -> Result<Reply, CutError> {
        sleep_ms(self.faults.get().delay_ms).await;
        if self.faults.get().down {
            return Ok(error(503, "down"));
        }
        let reply = match call.path.as_str() {
            "/v3/kv/range" => self.range(&call),
            "/v3/kv/put" => self.write(&call, Store::put),
            "/v3/kv/deleterange" => self.write(&call, Store::delete_range),
            "/v3/kv/txn" => self.txn(&call),
            "/v3/lease/grant" => self.lease(&call, Store::grant_lease),
            "/v3/lease/keepalive" => self.lease(&call, Store::keep_lease_alive),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => self.lease(&call, Store::revoke_lease),
            "/v3/watch" => Ok(watch::answer(self, &call)),
            _ => Ok(error(404, "not found")),
        };
        match reply {
            Ok(reply) => Ok(reply),
            Err(StoreError::Cut) => Err(CutError::Fault),
            Err(e) => Ok(refusal(&e)),
        }
    }

    /// Changes the store and wakes the watches if the revision moved.
    fn change<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Store) -> T,
    {
        let mut store = lock(&self.store);
        let result = f(&mut store);
        let revision = store.revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }

    fn range(&self, call: &Call) -> Result<Reply, StoreError> {
        let req = call.json()?;
        lock(&self.calls).reads += 1;
        let old = self.faults.take(|f| &mut f.old_reads);
        let reply = lock(&self.store).range(&req, old)?;
        Ok(json(200, &reply))
    }

    fn write<R, T, F>(&self, call: &Call, f: F) -> Result<Reply, StoreError>
    where
        R: serde::de::DeserializeOwned,
        T: Serialize,
        F: FnOnce(&mut Store, &R) -> Result<T, StoreError>,
    {
        let req = call.json()?;
        lock(&self.calls).writes += 1;
        let reply = self.change(|store| f(store, &req))?;
        self.may_lose_reply()?;
        Ok(json(200, &reply))
    }

    fn txn(&self, call: &Call) -> Result<Reply, StoreError> {
        let req: messages::TxnRequest = call.json()?;
        if req.has_write() {
            return self.write(call, Store::txn);
        }
        lock(&self.calls).reads += 1;
        let reply = lock(&self.store).txn(&req)?;
        Ok(json(200, &reply))
    }

    fn lease<R, T, F>(&self, call: &Call, f: F) -> Result<Reply, StoreError>
    where
        R: serde::de::DeserializeOwned,
        T: Serialize,
        F: FnOnce(&mut Store, &R) -> Result<T, StoreError>,
    {
        let req = call.json()?;
        lock(&self.calls).leases += 1;
        let reply = self.change(|store| f(store, &req))?;
        Ok(json(200, &reply))
    }

    fn may_lose_reply(&self) -> Result<(), StoreError> {
        if self.faults.take(|f| &mut f.lose_replies) { Err(StoreError::Cut) } else { Ok(()) }
    }
}

/// Tells an error as the gateway does, with the number of the gRPC code.
fn refusal(e: &StoreError) -> Reply {
    let (status, code) = match e {
        StoreError::LeaseNotFound => (404, 5),
        _ => (400, 3),
    };
    let message = e.to_string();
    json(status, &json!({ "error": message, "message": message, "code": code }))
}
