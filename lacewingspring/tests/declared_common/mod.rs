//! Runs the key-value stand-in inside the test process, with fault injection, and builds
//! transactions.

// Each test file that includes this module uses only some of its items.
#![allow(dead_code, unreachable_pub)]

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lacewingspring::{
    declared::{Author, Commit, CommitError, DeclaredPolicy, DeclaredStore, Mechanisms},
    platform::key_value::KeyValue,
};
use lacewingspring_core::config::Transaction;
use lacewingspring_standins::key_value::{Settings, serve};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

/// Time-out of one call to the key-value service.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Prefix of all keys in the key-value service.
pub const PREFIX: &str = "/test/";

/// Numbers of calls that the key-value service has received.
#[derive(Debug, Deserialize)]
pub struct Calls {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
}

/// A key-value stand-in that listens on this address.
#[derive(Clone, Copy)]
pub struct KeyValueService(pub SocketAddr);

impl KeyValueService {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, Settings {}));
        Self(address)
    }

    pub fn client(self) -> KeyValue {
        KeyValue::new(vec![self.0], CALL_TIMEOUT)
    }

    /// Sets the given faults; the others keep their values.
    pub async fn set_faults(self, faults: Value) {
        self.call("PUT", "/faults", faults).await;
    }

    /// Returns the current value of one fault; counted faults go down as they occur.
    pub async fn fault_value(self, name: &str) -> Value {
        self.call("GET", "/faults", json!({})).await[name].clone()
    }

    pub async fn calls(self) -> Calls {
        serde_json::from_value(self.call("GET", "/calls", json!({})).await).unwrap()
    }

    /// Starts the store of an instance that uses this service.
    pub fn store(self, policy: DeclaredPolicy) -> Arc<DeclaredStore> {
        DeclaredStore::start_with(self.client(), PREFIX, policy)
    }

    async fn call(self, method: &str, path: &str, body: Value) -> Value {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let req = Request::builder().method(method).uri(format!("http://{}{path}", self.0));
        let req = req.body(Full::new(Bytes::from(body.to_string()))).unwrap();
        let res = client.request(req).await.unwrap();
        serde_json::from_slice(&res.collect().await.unwrap().to_bytes()).unwrap()
    }
}

/// Returns a policy with short intervals, to keep the tests fast.
pub fn policy() -> DeclaredPolicy {
    DeclaredPolicy {
        backoff_min: Duration::from_millis(20),
        backoff_max: Duration::from_millis(500),
        refresh: Duration::from_millis(300),
        grace: Duration::from_millis(100),
        ..DeclaredPolicy::default()
    }
}

/// Returns `policy()` after `switch` has turned mechanisms off.
pub fn without<F>(switch: F) -> DeclaredPolicy
where
    F: FnOnce(&mut Mechanisms),
{
    let mut policy = policy();
    switch(&mut policy.mechanisms);
    policy
}

pub fn tier(name: &str, rank: u8) -> Value {
    json!({"put": {"name": name, "kind": "tier", "spec": {"rank": rank}}})
}

pub fn delete_tier(name: &str) -> Value {
    json!({"delete": {"name": name, "kind": "tier"}})
}

pub fn transaction(changes: &[Value]) -> Transaction {
    serde_json::from_value(json!({ "changes": changes })).unwrap()
}

pub async fn commit(store: &DeclaredStore, changes: &[Value]) -> Result<Commit, CommitError> {
    store.commit(&transaction(changes), Author { operator: "ann", at_ms: 0 }).await
}

/// Polls a condition; returns whether it became true within `limit`.
pub async fn wait_until<F>(limit: Duration, condition: F) -> bool
where
    F: Fn() -> bool,
{
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(limit, poll).await.is_ok()
}

/// Awaits a future; panics if it takes longer than 20 s.
pub async fn with_deadline<F>(future: F) -> F::Output
where
    F: Future,
{
    timeout(Duration::from_secs(20), future).await.expect("the future completes within 20 s")
}
