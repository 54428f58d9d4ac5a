//! What a gate hands over to its successor, besides the usage of limits.

use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, UpstreamName};

/// Largest number of entries of each kind in a hand-over.
pub(super) const MAX_ENTRIES: usize = 256;

/// What a gate hands over to its successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandOver {
    /// Requests that crash upstreams.
    pub blocked_requests: Vec<BlockedRequest>,
    /// Prompt parts that crash upstreams.
    pub blocked_parts: Vec<BlockedParts>,
    /// Prompt parts that are suspected of it, or may soon be.
    pub crashed_parts: Vec<CrashedPart>,
    /// Limits that upstreams named.
    pub rate_limits: Vec<UpstreamLimit>,
}

/// A request that is refused since it crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedRequest {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Time for which it stays blocked, in milliseconds.
    pub left_ms: u64,
}

/// Prompt parts that block the requests that have all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedParts {
    /// Digests of the parts.
    pub parts: Vec<u64>,
    /// Time for which they block requests, in milliseconds.
    pub left_ms: u64,
}

/// A prompt part whose runs broke off in crashes of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedPart {
    /// Digest of the part.
    pub part: u64,
    /// Number of crashes since a run with the part completed.
    pub crashes: u32,
}

/// Requests that an upstream takes from all instances together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimit {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of its process in Unix milliseconds; `None` if it is not known.
    pub started_at_ms: Option<u64>,
    /// Requests a second.
    pub per_s: f64,
}

impl HandOver {
    /// Returns whether there is nothing to hand over.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
