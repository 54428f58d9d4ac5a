//! Messages between runners and the homes of fingerprints.

use lacewingspring_core::poison::{
    FingerprintId, RunEnd, RunId, RunReply, RunStart, VerdictReport,
};
use serde::{Deserialize, Serialize};

/// Call about a request that may crash upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PoisonCall {
    /// Runner to home: requests to begin a run.
    Begin(RunStart),
    /// Runner to home: a run ended.
    Ended {
        /// Fingerprint of the request.
        fingerprint: FingerprintId,
        /// Identifier of the run.
        id: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// Runner to new home: open runs that the home may not know.
    Announce(Vec<OpenRun>),
    /// Home to all: verdicts that changed.
    Verdicts(Vec<VerdictReport>),
}

/// An open run of a fingerprint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenRun {
    /// Run, as it was begun.
    pub start: RunStart,
    /// Whether the run is alone on its upstream.
    pub alone: bool,
}

/// Reply of the home of a fingerprint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PoisonReply {
    /// Reply to the request to begin a run.
    Begin(RunReply),
    /// The call was applied and has no other reply.
    Done,
    /// This instance is not the home of the fingerprint.
    NotHome,
}
