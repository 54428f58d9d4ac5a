//! Messages between runners and homes of fingerprints, and reports to all instances.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    key_index::Runner,
    names::{Fingerprint, UpstreamName},
};

/// Short form of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FingerprintId([u8; 8]);

impl FingerprintId {
    /// Returns the short form.
    pub fn new(fingerprint: &Fingerprint) -> Self {
        let mut hasher = DefaultHasher::new();
        fingerprint.hash(&mut hasher);
        Self(hasher.finish().to_le_bytes())
    }
}

/// Names one run of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// Who runs it.
    pub runner: Runner,
    /// Number that the runner gives each of its runs.
    pub number: u64,
}

/// A run that is to begin, or that has begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The run.
    pub id: RunId,
    /// Digest of service and body.
    pub fingerprint: Fingerprint,
    /// Upstream that is to run it.
    pub upstream: UpstreamName,
}

/// Answer to a runner that asks to begin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReply {
    /// The run may be dispatched.
    Run {
        /// Upstream of the run.
        upstream: UpstreamName,
        /// Whether nothing else may run on the upstream until the run ends.
        alone: bool,
    },
    /// The same fingerprint runs on this upstream and may run on no other now.
    #[serde(rename = "Beside")]
    UseUpstream {
        /// Upstream to ask for.
        upstream: UpstreamName,
    },
    /// The run must wait.
    Wait {
        /// Time after which to ask again.
        retry_after: Duration,
    },
    /// The request has crashed upstreams and is refused.
    Quarantined,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// It ran to its end and the upstream is up.
    #[serde(rename = "Whole")]
    Completed,
    /// The upstream crashed.
    Crashed,
    /// It was cancelled, or cut without a crash.
    #[serde(rename = "Cut")]
    Aborted,
}

/// Verdict on a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// It ran on an upstream that crashed.
    Suspect,
    /// It crashed an upstream that it ran alone on.
    Quarantined,
}

/// Verdict as it is told to all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VerdictReport {
    /// Which fingerprint.
    pub fingerprint: FingerprintId,
    /// Number of this verdict on the fingerprint; the higher one counts.
    pub version: u32,
    /// The verdict.
    pub verdict: Verdict,
}
