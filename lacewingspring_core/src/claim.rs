//! Claims: who may dispatch a non-idempotent request, and what came of it.
//!
//! A claim is created in the key-value service if absent. Only its creator ever dispatches, so no
//! pause of the creator does harm. A status query for an unknown key creates a void claim.

use serde::{Deserialize, Serialize};

use crate::names::{InstanceName, UpstreamName};

/// Claim as it is stored under the key of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Random number that tells the creator its own write.
    pub nonce: u64,
    /// Instance that created the claim.
    pub instance: InstanceName,
    /// Incarnation of that instance; another instance may have the same.
    pub incarnation: u64,
    /// Digest of the service and body, to tell a repeat from a conflict.
    pub fingerprint: String,
    /// Upstream of an idempotent run, which another instance may resume.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamName>,
    /// What came of the request so far.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; the creator may have dispatched.
    Claimed,
    /// Settled as never to be run.
    Void,
    /// Ran, with the answer.
    Done(StoredAnswer),
}

/// Answer kept with a claim for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// What a claim attempt came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt created the claim and may dispatch.
    Won,
    /// Another request with the same key and another body came first.
    Conflict,
    /// The request ran; this is its answer.
    Answered(StoredAnswer),
    /// The key was settled as not run.
    Voided,
    /// Another attempt holds the claim and has stored no outcome.
    Pending(Box<ClaimRecord>),
}

/// Judges the stored claim after a create-if-absent, whose reply may have been lost.
pub fn evaluate_claim(own: &ClaimRecord, stored: &ClaimRecord) -> ClaimVerdict {
    if stored.nonce == own.nonce && stored.state == ClaimState::Claimed {
        return ClaimVerdict::Won;
    }
    if stored.state != ClaimState::Void && stored.fingerprint != own.fingerprint {
        return ClaimVerdict::Conflict;
    }
    match &stored.state {
        ClaimState::Claimed => ClaimVerdict::Pending(Box::new(stored.clone())),
        ClaimState::Void => ClaimVerdict::Voided,
        ClaimState::Done(answer) => ClaimVerdict::Answered(answer.clone()),
    }
}
