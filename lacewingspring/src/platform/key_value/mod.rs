//! Typed client of the key-value service.
//!
//! It uses the JSON gateway of etcd v3 over HTTP/1.1. The client retries nothing, since only the
//! caller knows whether a second attempt is safe. Every call is counted by purpose and kind.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;

use self::{
    calls::CallLabel,
    transport::Transport,
    wire::{
        CompareWire, DeleteRequest, LeaseGrantReply, LeaseGrantRequest, LeaseKeepAliveReply,
        LeaseRequest, PutRequest, RangeRequest, RangeResponse, RequestOp, Streamed, TxnRequest,
        TxnResponse, WatchCreate, WatchRequest, WriteReply,
    },
};
pub use self::{
    calls::{CallCounts, CallKind, Purpose},
    error::KeyValueError,
    model::{Compare, Created, KeyValueEntry, LeaseId, Put, RangeReply, Revision, Swap},
    watch::{Watch, WatchBatch, WatchEvent},
};

mod calls;
mod error;
mod model;
mod transport;
mod watch;
mod wire;

/// Client of the key-value service. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct KeyValue {
    transport: Arc<Transport>,
    purpose: Purpose,
}

impl KeyValue {
    /// Creates a client of the service at `endpoints`; each call fails after `timeout`.
    ///
    /// The client uses one endpoint until a call on it fails, then the next one.
    pub fn new(endpoints: Vec<SocketAddr>, timeout: Duration) -> Self {
        let transport = Arc::new(Transport::new(endpoints, timeout));
        Self { transport, purpose: Purpose::default() }
    }

    /// Returns a clone whose calls are counted under a purpose.
    pub fn with_purpose(&self, purpose: Purpose) -> Self {
        Self { purpose, ..self.clone() }
    }

    /// Returns the counts of the calls of all clones.
    pub fn calls(&self) -> CallCounts {
        self.transport.calls()
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValueEntry>, KeyValueError> {
        let reply = self.read(RangeRequest::key(key)).await?;
        Ok(reply.entries.into_iter().next())
    }

    /// Reads every key that starts with `prefix`, at one revision.
    pub async fn range(&self, prefix: &str) -> Result<RangeReply, KeyValueError> {
        self.read(RangeRequest::prefix(prefix)).await
    }

    /// Creates `key` if it is absent.
    pub async fn create<V>(&self, key: &str, value: V) -> Result<Created, KeyValueError>
    where
        V: Into<Bytes>,
    {
        self.create_entry(Put::new(key, value)).await
    }

    /// Creates the key of `put` if it is absent. The entry may be attached to a lease.
    pub async fn create_entry(&self, put: Put) -> Result<Created, KeyValueError> {
        let compare = Compare::Absent(put.key.clone());
        match self.compare_and_swap(vec![compare], vec![put], Vec::new()).await? {
            Swap::Done(revision) => Ok(Created::Created(revision)),
            Swap::Refused(entries) => match entries.into_iter().next() {
                Some(entry) => Ok(Created::Exists(entry)),
                None => Err(KeyValueError::Malformed(
                    "refused create without the existing entry".into(),
                )),
            },
        }
    }

    /// Writes `puts` and removes `deletes` atomically if every compare holds.
    pub async fn compare_and_swap(
        &self,
        compares: Vec<Compare>,
        puts: Vec<Put>,
        deletes: Vec<String>,
    ) -> Result<Swap, KeyValueError> {
        let read_back = compares.iter().map(|compare| RequestOp::range(compare.key()));
        let req = TxnRequest {
            failure: read_back.collect(),
            compare: compares.iter().map(CompareWire::from).collect(),
            success: puts
                .into_iter()
                .map(RequestOp::put)
                .chain(deletes.iter().map(|key| RequestOp::delete(key)))
                .collect(),
        };
        let reply: TxnResponse =
            self.transport.call(self.label(CallKind::Txn), "/v3/kv/txn", &req).await?;
        reply.into_swap()
    }

    /// Writes one entry unconditionally.
    pub async fn put(&self, put: Put) -> Result<Revision, KeyValueError> {
        let req = PutRequest::from(put);
        let reply: WriteReply =
            self.transport.call(self.label(CallKind::Put), "/v3/kv/put", &req).await?;
        Ok(reply.header.revision)
    }

    /// Removes one key; returns whether it existed.
    pub async fn delete(&self, key: &str) -> Result<bool, KeyValueError> {
        let req = DeleteRequest::key(key);
        let path = "/v3/kv/deleterange";
        let reply: WriteReply =
            self.transport.call(self.label(CallKind::Delete), path, &req).await?;
        Ok(reply.deleted > 0)
    }

    /// Grants a lease that expires `ttl` after its last renewal (whole seconds, at least one).
    pub async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, KeyValueError> {
        let req = LeaseGrantRequest { ttl: ttl.as_secs().max(1) as i64 };
        let path = "/v3/lease/grant";
        let reply: LeaseGrantReply =
            self.transport.call(self.label(CallKind::LeaseGrant), path, &req).await?;
        Ok(LeaseId(reply.id))
    }

    /// Renews a lease; returns its new time to live, or `None` if the lease has expired.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<Option<Duration>, KeyValueError> {
        let req = LeaseRequest { id: lease.0 };
        let path = "/v3/lease/keepalive";
        let reply: Streamed<LeaseKeepAliveReply> =
            self.transport.call(self.label(CallKind::KeepAlive), path, &req).await?;
        let ttl = reply.into_result()?.ttl;
        Ok(u64::try_from(ttl).ok().filter(|ttl| *ttl > 0).map(Duration::from_secs))
    }

    /// Revokes a lease and removes its entries.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let req = LeaseRequest { id: lease.0 };
        let path = "/v3/lease/revoke";
        let _: WriteReply = self.transport.call(self.label(CallKind::Revoke), path, &req).await?;
        Ok(())
    }

    /// Watches every key that starts with `prefix`, starting at `from_revision`.
    pub async fn watch(
        &self,
        prefix: &str,
        from_revision: Revision,
    ) -> Result<Watch, KeyValueError> {
        let create_request = WatchCreate::prefix(prefix, from_revision);
        let req = WatchRequest { create_request };
        let stream = self.transport.open(self.label(CallKind::Watch), "/v3/watch", &req).await?;
        Watch::accept(stream, self.transport.timeout()).await
    }

    fn label(&self, kind: CallKind) -> CallLabel {
        CallLabel { purpose: self.purpose, kind }
    }

    async fn read(&self, req: RangeRequest) -> Result<RangeReply, KeyValueError> {
        let reply: RangeResponse =
            self.transport.call(self.label(CallKind::Range), "/v3/kv/range", &req).await?;
        reply.into_reply()
    }
}
