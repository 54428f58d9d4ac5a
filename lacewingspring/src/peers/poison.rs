//! Messages between runners and the homes of fingerprints.

use lacewingspring_core::poison::{
    FingerprintId, RunEnd, RunId, RunReply, RunStart, VerdictReport,
};
use serde::{Deserialize, Serialize};

/// Question or report about a request that may crash upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PoisonCall {
    /// Runner to home: asks to begin a run.
    Begin(RunStart),
    /// Runner to home: a run ended.
    Ended {
        /// Fingerprint of the request.
        fingerprint: FingerprintId,
        /// The run.
        id: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// Runner to new home: open runs that it may not know.
    Announce(Vec<OpenRun>),
    /// Home to all: verdicts that changed.
    Verdicts(Vec<VerdictReport>),
}

/// An open run of a fingerprint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenRun {
    /// The run.
    pub start: RunStart,
    /// Whether it runs alone on its upstream.
    pub alone: bool,
}

/// Answer of a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PoisonReply {
    /// Answer to a question to begin.
    Begin(RunReply),
    /// The report was taken.
    Done,
    /// This instance is not the home of the fingerprint.
    NotHome,
}
