//! Messages of the etcd v3 JSON gateway: bytes in base64, 64-bit integers as strings.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    error::KeyValueError,
    model::{Compare, KeyValueEntry, Put, RangeReply, Revision, Swap},
};

/// Serde format of 64-bit integers: written as strings, read as strings or numbers.
mod int64 {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Number(i64),
        Text(String),
    }

    pub(super) fn serialize<S>(value: &i64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(value)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<i64, D::Error>
    where
        D: Deserializer<'de>,
    {
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(number),
            Form::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

fn encode<B>(bytes: B) -> String
where
    B: AsRef<[u8]>,
{
    BASE64_STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, KeyValueError> {
    BASE64_STANDARD.decode(text).map_err(|err| KeyValueError::Malformed(err.to_string()))
}

/// Returns the first key after all keys that start with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // No such key exists if all bytes are 0xff; a single zero byte means the end of the key space.
    vec![0]
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    #[serde(with = "int64")]
    pub(super) revision: Revision,
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    range_end: String,
}

impl RangeRequest {
    pub(super) fn key(key: &str) -> Self {
        Self { key: encode(key), range_end: String::new() }
    }

    pub(super) fn prefix(prefix: &str) -> Self {
        Self { key: encode(prefix), range_end: encode(range_end(prefix)) }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct EntryWire {
    key: String,
    value: String,
    #[serde(with = "int64")]
    create_revision: Revision,
    #[serde(with = "int64")]
    mod_revision: Revision,
}

impl EntryWire {
    pub(super) fn into_entry(self) -> Result<KeyValueEntry, KeyValueError> {
        let key = String::from_utf8(decode(&self.key)?)
            .map_err(|err| KeyValueError::Malformed(err.to_string()))?;
        Ok(KeyValueEntry {
            key,
            value: Bytes::from(decode(&self.value)?),
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    header: Header,
    kvs: Vec<EntryWire>,
}

impl RangeResponse {
    pub(super) fn into_reply(self) -> Result<RangeReply, KeyValueError> {
        let entries: Result<Vec<_>, _> = self.kvs.into_iter().map(EntryWire::into_entry).collect();
        Ok(RangeReply { revision: self.header.revision, entries: entries? })
    }
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    key: String,
    value: String,
    #[serde(with = "int64")]
    lease: i64,
}

impl From<Put> for PutRequest {
    fn from(put: Put) -> Self {
        let lease = put.lease.map_or(0, |lease| lease.0);
        Self { key: encode(put.key), value: encode(put.value), lease }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest {
    key: String,
}

impl DeleteRequest {
    pub(super) fn key(key: &str) -> Self {
        Self { key: encode(key) }
    }
}

/// Response to a put, a delete or a lease revocation.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WriteReply {
    pub(super) header: Header,
    #[serde(with = "int64")]
    pub(super) deleted: i64,
}

#[derive(Debug, Serialize)]
pub(super) struct CompareWire {
    result: &'static str,
    target: &'static str,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
}

impl From<&Compare> for CompareWire {
    fn from(compare: &Compare) -> Self {
        let key = encode(compare.key());
        let (target, create_revision, mod_revision) = match compare {
            Compare::Absent(_) => ("CREATE", Some("0".to_owned()), None),
            Compare::ModRevision(_, revision) => ("MOD", None, Some(revision.to_string())),
        };
        Self { result: "EQUAL", target, key, create_revision, mod_revision }
    }
}

#[derive(Debug, Serialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

impl RequestOp {
    pub(super) fn range(key: &str) -> Self {
        Self::Range(RangeRequest::key(key))
    }

    pub(super) fn put(put: Put) -> Self {
        Self::Put(put.into())
    }

    pub(super) fn delete(key: &str) -> Self {
        Self::Delete(DeleteRequest::key(key))
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<CompareWire>,
    pub(super) success: Vec<RequestOp>,
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResponseOp {
    response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    header: Header,
    succeeded: bool,
    responses: Vec<ResponseOp>,
}

impl TxnResponse {
    pub(super) fn into_swap(self) -> Result<Swap, KeyValueError> {
        if self.succeeded {
            return Ok(Swap::Done(self.header.revision));
        }
        let ranges = self.responses.into_iter().filter_map(|op| op.response_range);
        let mut entries = Vec::new();
        for range in ranges {
            entries.extend(range.into_reply()?.entries);
        }
        Ok(Swap::Refused(entries))
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseGrantRequest {
    #[serde(rename = "TTL", with = "int64")]
    pub(super) ttl: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaseGrantReply {
    #[serde(rename = "ID", with = "int64")]
    pub(super) id: i64,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID", with = "int64")]
    pub(super) id: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseKeepAliveReply {
    #[serde(rename = "TTL", with = "int64")]
    pub(super) ttl: i64,
}

/// One line of a streamed response: a result or an error.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    result: Option<T>,
    error: Option<ErrorWire>,
}

impl<T> Streamed<T> {
    pub(super) fn into_result(self) -> Result<T, KeyValueError> {
        match (self.result, self.error) {
            (Some(result), _) => Ok(result),
            (None, Some(err)) => Err(KeyValueError::Unknown(err.message)),
            (None, None) => {
                Err(KeyValueError::Malformed("line without a result or an error".into()))
            }
        }
    }
}

/// Error body of the gateway.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorWire {
    pub(super) message: String,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    key: String,
    range_end: String,
    #[serde(with = "int64")]
    start_revision: Revision,
    progress_notify: bool,
}

impl WatchCreate {
    pub(super) fn prefix(prefix: &str, start_revision: Revision) -> Self {
        let range_end = encode(range_end(prefix));
        Self { key: encode(prefix), range_end, start_revision, progress_notify: true }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchReply {
    pub(super) header: Header,
    pub(super) created: bool,
    pub(super) canceled: bool,
    #[serde(with = "int64")]
    pub(super) compact_revision: Revision,
    pub(super) cancel_reason: String,
    pub(super) events: Vec<EventWire>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum EventKind {
    /// Default, since the gateway omits fields with default values.
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct EventWire {
    #[serde(rename = "type")]
    pub(super) kind: EventKind,
    pub(super) kv: EntryWire,
}
