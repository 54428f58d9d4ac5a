//! What one instance tells another, or a later gate, about streams and software versions.

use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, SoftwareVersion, UpstreamName};

/// Which software versions began which streams, and which versions served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KnownStreams {
    /// Whether the sender knows all versions that served within the longest time in which a caller
    /// may take a stream up. Only earlier builds read it, as it is no proof for the time since the
    /// sender was last told of versions.
    pub knows_past: bool,
    /// Versions that serve, or served within that time.
    pub versions: Vec<ServedVersion>,
    /// Streams, grouped by the process that began them.
    pub groups: Vec<StreamGroup>,
}

impl KnownStreams {
    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty() && self.groups.is_empty()
    }
}

/// A software version that serves, or served lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedVersion {
    /// Service of its upstreams.
    pub service: ServiceName,
    /// The version.
    pub software: SoftwareVersion,
    /// Time since its last upstream was registered, in milliseconds.
    pub age_ms: u64,
}

/// A process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamProcess {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the process in Unix milliseconds.
    pub started_at_ms: u64,
    /// Version of its software.
    pub software: SoftwareVersion,
}

/// A stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownStream {
    /// Digest of the id of the request that brought its first event.
    pub id: u64,
    /// Number of the last attempt to get a slot for it.
    pub attempt: u64,
}

/// Streams that one process began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamGroup {
    /// The process.
    pub process: UpstreamProcess,
    /// Time for which the streams are remembered, in milliseconds.
    pub left_ms: u64,
    /// The streams.
    pub streams: Vec<KnownStream>,
}
