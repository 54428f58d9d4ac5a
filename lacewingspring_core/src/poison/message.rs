//! Messages between runners and the homes of fingerprints, and verdict reports to all instances.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    key_index::Runner,
    names::{Fingerprint, UpstreamName},
};

/// 64-bit hash of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FingerprintId([u8; 8]);

impl FingerprintId {
    /// Hashes a fingerprint.
    pub fn new(fingerprint: &Fingerprint) -> Self {
        let mut hasher = DefaultHasher::new();
        fingerprint.hash(&mut hasher);
        Self(hasher.finish().to_le_bytes())
    }
}

/// Identity of one run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// Instance that runs the request.
    pub runner: Runner,
    /// Number of the run, unique for the runner.
    pub number: u64,
}

/// A run that a runner asks to start or has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// Identity of the run.
    pub id: RunId,
    /// Digest of the request's service and body.
    pub fingerprint: Fingerprint,
    /// Upstream that is to run the request.
    pub upstream: UpstreamName,
}

/// Reply of the home to a runner that asks to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReply {
    /// The run may be dispatched.
    Run {
        /// Upstream that runs the request.
        upstream: UpstreamName,
        /// Whether the upstream may run nothing else until the run ends.
        alone: bool,
    },
    /// The fingerprint is running on another upstream, the only one on which it may run for now.
    #[serde(rename = "Beside")]
    UseUpstream {
        /// Upstream on which the fingerprint runs.
        upstream: UpstreamName,
    },
    /// The run must wait.
    Wait {
        /// Time after which the runner asks again.
        retry_after: Duration,
    },
    /// The request has crashed upstreams and is refused.
    Quarantined,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The run completed and the upstream is still up.
    #[serde(rename = "Whole")]
    Completed,
    /// The upstream crashed during the run.
    Crashed,
    /// The run was cancelled, or broke off without a crash of the upstream.
    #[serde(rename = "Cut")]
    Aborted,
}

/// Verdict on a fingerprint, in order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// The fingerprint is not suspected of crashes.
    Clear,
    /// The fingerprint ran on an upstream that crashed.
    Suspect,
    /// The fingerprint crashed an upstream on which it ran alone.
    Quarantined,
}

/// Verdict on a fingerprint as the home reports it to all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VerdictReport {
    /// Fingerprint of the verdict.
    pub fingerprint: FingerprintId,
    /// Version of the verdict on this fingerprint; the higher version wins.
    pub version: u32,
    /// Verdict of this version.
    pub verdict: Verdict,
}
