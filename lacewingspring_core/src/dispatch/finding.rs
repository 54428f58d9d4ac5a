//! What a gate learns of crashing upstreams, for its log.

use crate::names::UpstreamName;

/// Something that the gate has learned of the requests that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A run ended with a broken connection.
    RunBroken {
        /// Upstream of the run.
        upstream: UpstreamName,
        /// Digest of the request.
        fingerprint: u64,
        /// Number of consecutive runs of the request that ended so.
        crashes: u32,
    },
}
