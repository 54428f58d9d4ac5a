//! JSON messages of the gateway, in which bytes are base64 and 64-bit integers are strings.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error as _, Visitor},
};

/// Bytes, encoded as base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// 64-bit integer: serialised as a string, deserialised from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Int64 {
    /// Returns whether the integer is zero, in which case the gateway omits the field.
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(Int64Visitor).map(Self)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = i64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an integer or its decimal text")
    }

    fn visit_i64<E>(self, n: i64) -> Result<i64, E> {
        Ok(n)
    }

    fn visit_u64<E>(self, n: u64) -> Result<i64, E>
    where
        E: serde::de::Error,
    {
        i64::try_from(n).map_err(E::custom)
    }

    fn visit_str<E>(self, text: &str) -> Result<i64, E>
    where
        E: serde::de::Error,
    {
        text.parse().map_err(E::custom)
    }
}

/// Key with its value and metadata.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Pair {
    pub key: Base64,
    /// Revision that created the key.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub create_revision: Int64,
    /// Revision of the last change of the key.
    pub mod_revision: Int64,
    /// Number of writes of the key since its creation, which counts as 1.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    #[serde(skip_serializing_if = "is_empty")]
    pub value: Base64,
    /// Lease that the key is attached to; 0 for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

fn is_empty(bytes: &Base64) -> bool {
    bytes.0.is_empty()
}

/// Read or deletion of a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Base64,
    /// Exclusive end of the range; empty for a single key, `\0` for all keys from the first on.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// Maximum number of keys to return; 0 for all.
    pub limit: Int64,
    /// Omits the values.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    /// Returns only the number of keys.
    #[serde(alias = "countOnly")]
    pub count_only: bool,
    /// Revision to read, 0 for the current one; any other than the current one is refused.
    pub revision: Int64,
}

/// Write of a single key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    pub key: Base64,
    pub value: Base64,
    /// Lease that the key is attached to; 0 for none.
    pub lease: Int64,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    pub key: Base64,
    /// Property of the key to compare.
    pub target: CompareTarget,
    /// Required relation of the stored to the given value.
    pub result: CompareResult,
    /// Version to compare with.
    pub version: Int64,
    /// Creation revision to compare with; 0 matches a key that does not exist.
    #[serde(alias = "createRevision")]
    pub create_revision: Int64,
    /// Revision of the last change to compare with.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
    /// Value to compare with.
    pub value: Base64,
    /// Lease to compare with.
    pub lease: Int64,
}

/// Property of a key that a precondition compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Number of writes of the key since its creation, which counts as 1.
    #[default]
    Version,
    /// Creation revision.
    Create,
    /// Revision of the last change of the key.
    Mod,
    Value,
    Lease,
}

/// Required relation of the stored to the given value.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Stored value equals the given one.
    #[default]
    Equal,
    /// Stored value is greater than the given one.
    Greater,
    /// Stored value is less than the given one.
    Less,
    /// Stored value differs from the given one.
    NotEqual,
}

/// Operation of a transaction; exactly one of the fields is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Operation {
    /// Read of a range of keys.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Write of a key.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Deletion of a range of keys.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Transaction with a branch for each outcome of its preconditions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Preconditions, combined with logical and.
    pub compare: Vec<Compare>,
    /// Operations to run if all preconditions hold.
    pub success: Vec<Operation>,
    /// Operations to run otherwise.
    pub failure: Vec<Operation>,
}

impl TxnRequest {
    /// Returns whether either branch contains a write.
    pub fn has_write(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|op| op.request_put.is_some() || op.request_delete_range.is_some())
    }
}

/// Grant, renewal or revocation of a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Identifier of the lease; 0 in a grant lets the store choose one.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live of a grant, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Request that creates a watch.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct WatchRequest {
    /// Watch to create.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// Range of keys to watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key of the range.
    pub key: Base64,
    /// Exclusive end of the range; empty for a single key, `\0` for all keys from the first on.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// First revision to report; 0 for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
}
