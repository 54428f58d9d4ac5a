//! Key-value service that speaks the JSON gateway protocol of etcd v3: ranges, transactions, leases
//! and watches.

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
    http::{AbortError, Call, Reply, accept, error, json, lock},
    time::sleep_ms,
};

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the key-value service; there are none so far.
#[derive(Clone, Debug, Default, Args)]
pub struct Settings {}

/// Fault settings of the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyValueFaults {
    /// Requests get status 503, and the connections of watches are closed.
    down: bool,
    /// Delay before each request is handled, in milliseconds.
    delay_ms: u64,
    /// Number of upcoming writes that take effect but whose connection is closed without a reply.
    lose_replies: u64,
    /// Number of upcoming range reads that return the state of the preceding revision.
    old_reads: u64,
    /// Number of upcoming events that watches drop.
    drop_watch_events: u64,
}

/// Request counts, as returned by `GET /calls`.
#[derive(Clone, Debug, Default, Serialize)]
struct CallCounts {
    /// Range reads, and transactions without writes.
    reads: u64,
    /// Puts, deletions, and transactions with a write in one of their branches.
    writes: u64,
    /// Grants, renewals and revocations of leases.
    leases: u64,
    /// Watches created.
    watches: u64,
}

/// State of one key-value service.
struct KeyValueService {
    faults: Faults<KeyValueFaults>,
    store: Mutex<Store>,
    call_counts: Mutex<CallCounts>,
    /// Publishes the revision of the store, which wakes the watches.
    revision: tokio::sync::watch::Sender<i64>,
}

/// Runs one key-value service until the future is dropped.
pub async fn serve(listener: TcpListener, _settings: Settings) -> io::Result<()> {
    let faults = KeyValueFaults {
        down: false,
        delay_ms: 2,
        lose_replies: 0,
        old_reads: 0,
        drop_watch_events: 0,
    };
    let service = Arc::new(KeyValueService {
        faults: Faults::new(faults),
        store: Mutex::new(Store::default()),
        call_counts: Mutex::default(),
        revision: tokio::sync::watch::Sender::new(1),
    });
    let expiry_service = service.clone();
    let handler = move |call| handle(service.clone(), call);
    tokio::select! {
        result = accept(listener, Arc::default(), handler) => result,
        () = expire_leases_periodically(expiry_service) => Ok(()),
    }
}

/// Periodically revokes expired leases and deletes their keys.
async fn expire_leases_periodically(service: Arc<KeyValueService>) {
    let mut ticks = interval(LEASE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        service.update_store(|store| store.expire_leases(std::time::Instant::now()));
    }
}

async fn handle(service: Arc<KeyValueService>, call: Call) -> Result<Reply, AbortError> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET" | "PUT", "/faults") => Ok(service.faults.handle(&call)),
        ("GET", "/calls") => Ok(json(200, &*lock(&service.call_counts))),
        ("DELETE", "/calls") => {
            *lock(&service.call_counts) = CallCounts::default();
            Ok(json(200, &json!({})))
        }
        ("POST", _) => service.handle_etcd(call).await,
        _ => Ok(error(404, "not found")),
    }
}

impl KeyValueService {
    async fn handle_etcd(self: Arc<Self>, call: Call) -> Result<Reply, AbortError> {
        sleep_ms(self.faults.get().delay_ms).await;
        if self.faults.get().down {
            return Ok(error(503, "down"));
        }
        let reply = match call.path.as_str() {
            "/v3/kv/range" => self.handle_range(&call),
            "/v3/kv/put" => self.handle_write(&call, Store::put),
            "/v3/kv/deleterange" => self.handle_write(&call, Store::delete_range),
            "/v3/kv/txn" => self.handle_txn(&call),
            "/v3/lease/grant" => self.handle_lease(&call, Store::grant_lease),
            "/v3/lease/keepalive" => self.handle_lease(&call, Store::keep_lease_alive),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                self.handle_lease(&call, Store::revoke_lease)
            }
            "/v3/watch" => Ok(watch::handle(self, &call)),
            _ => Ok(error(404, "not found")),
        };
        match reply {
            Ok(reply) => Ok(reply),
            Err(StoreError::Aborted) => Err(AbortError::Fault),
            Err(e) => Ok(error_reply(&e)),
        }
    }

    /// Updates the store, and wakes the watches if that changed the revision.
    fn update_store<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Store) -> T,
    {
        let mut store = lock(&self.store);
        let result = f(&mut store);
        let revision = store.revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }

    fn handle_range(&self, call: &Call) -> Result<Reply, StoreError> {
        let req = call.json()?;
        lock(&self.call_counts).reads += 1;
        let stale = self.faults.consume(|f| &mut f.old_reads);
        let reply = lock(&self.store).range(&req, stale)?;
        Ok(json(200, &reply))
    }

    fn handle_write<R, T, F>(&self, call: &Call, f: F) -> Result<Reply, StoreError>
    where
        R: serde::de::DeserializeOwned,
        T: Serialize,
        F: FnOnce(&mut Store, &R) -> Result<T, StoreError>,
    {
        let req = call.json()?;
        lock(&self.call_counts).writes += 1;
        let reply = self.update_store(|store| f(store, &req))?;
        self.apply_lost_reply_fault()?;
        Ok(json(200, &reply))
    }

    fn handle_txn(&self, call: &Call) -> Result<Reply, StoreError> {
        let req: messages::TxnRequest = call.json()?;
        if req.has_write() {
            return self.handle_write(call, Store::txn);
        }
        lock(&self.call_counts).reads += 1;
        let reply = lock(&self.store).txn(&req)?;
        Ok(json(200, &reply))
    }

    fn handle_lease<R, T, F>(&self, call: &Call, f: F) -> Result<Reply, StoreError>
    where
        R: serde::de::DeserializeOwned,
        T: Serialize,
        F: FnOnce(&mut Store, &R) -> Result<T, StoreError>,
    {
        let req = call.json()?;
        lock(&self.call_counts).leases += 1;
        let reply = self.update_store(|store| f(store, &req))?;
        Ok(json(200, &reply))
    }

    fn apply_lost_reply_fault(&self) -> Result<(), StoreError> {
        if self.faults.consume(|f| &mut f.lose_replies) { Err(StoreError::Aborted) } else { Ok(()) }
    }
}

/// Converts an error to the reply of the gateway, which has the numeric gRPC status code.
fn error_reply(e: &StoreError) -> Reply {
    let (status, code) = match e {
        StoreError::LeaseNotFound => (404, 5),
        _ => (400, 3),
    };
    let message = e.to_string();
    json(status, &json!({ "error": message, "message": message, "code": code }))
}
