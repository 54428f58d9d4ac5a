//! JSON messages of the gateway: base64 bytes, and 64-bit integers as strings.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error as _, Visitor},
};

/// Bytes that are base64 text in JSON.
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

/// 64-bit integer: written as a string, read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Int64 {
    /// Tells whether the integer is zero, which the gateway leaves out.
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

/// Key with its value and revisions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Pair {
    /// Key.
    pub key: Base64,
    /// Revision in which the key was created.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub create_revision: Int64,
    /// Revision of the last change.
    pub mod_revision: Int64,
    /// Number of changes since the creation.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    /// Value.
    #[serde(skip_serializing_if = "is_empty")]
    pub value: Base64,
    /// Lease that the key hangs on, 0 for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

fn is_empty(bytes: &Base64) -> bool {
    bytes.0.is_empty()
}

/// Range of keys, and what to tell of them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// End of the range, not included; empty for the one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// Most keys to return, 0 for all.
    pub limit: Int64,
    /// Leaves out the values.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    /// Returns the count only.
    #[serde(alias = "countOnly")]
    pub count_only: bool,
    /// Older revision to read; refused unless 0.
    pub revision: Int64,
}

/// Write of one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Base64,
    /// Value.
    pub value: Base64,
    /// Lease that the key hangs on, 0 for none.
    pub lease: Int64,
}

/// Comparison of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key.
    pub key: Base64,
    /// What is compared.
    pub target: CompareTarget,
    /// How it has to compare.
    pub result: CompareResult,
    /// Version to compare with.
    pub version: Int64,
    /// Revision of the creation to compare with, 0 for a key that does not exist.
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

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Number of changes since the creation.
    #[default]
    Version,
    /// Revision of the creation.
    Create,
    /// Revision of the last change.
    Mod,
    /// Value.
    Value,
    /// Lease.
    Lease,
}

/// How the stored side has to compare with the given one.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// Greater.
    Greater,
    /// Less.
    Less,
    /// Not equal.
    NotEqual,
}

/// Operation of a transaction: one of the fields is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Operation {
    /// Read of a range.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Write of a key.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Deletion of a range.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons, all of which have to hold.
    pub compare: Vec<Compare>,
    /// Operations when they hold.
    pub success: Vec<Operation>,
    /// Operations when one does not.
    pub failure: Vec<Operation>,
}

impl TxnRequest {
    /// Tells whether a branch holds a write.
    pub fn has_write(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|op| op.request_put.is_some() || op.request_delete_range.is_some())
    }
}

/// Request about a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Lease, 0 in a grant to have one chosen.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Request for a watch.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct WatchRequest {
    /// Watch to create.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// Keys to watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    pub key: Base64,
    /// End of the range, not included; empty for the one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// First revision to tell, 0 for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
}
