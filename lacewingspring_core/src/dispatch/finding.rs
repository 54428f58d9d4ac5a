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
    /// A prompt part is among those with the most crashes; requests with it are run one at a time.
    Suspected {
        /// Digest of the part.
        part: u64,
        /// Number of crashes that broke runs with it since one completed.
        crashes: u32,
    },
    /// A prompt part is no longer a suspect: a run with it completed, or other parts have more
    /// crashes or explain those that it had.
    NoLongerSuspected {
        /// Digest of the part.
        part: u64,
    },
    /// A run with suspected parts broke off; requests with all of them are refused.
    Blocked {
        /// Digests of the parts.
        parts: Vec<u64>,
    },
}
