//! Stored claims, which make the dispatch of a non-idempotent request exclusive.
//!
//! An attempt creates the claim of its key in the key-value service if there is none. Only the
//! creator of a claim ever dispatches, so a pause of the creator can't cause a second dispatch. A
//! status query for an unknown key creates a void claim.

use serde::{Deserialize, Serialize};

use crate::names::{InstanceName, UpstreamName};

/// Claim, as stored in the key-value service under the key of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Random number by which the creator recognises its own write after a lost reply.
    pub nonce: u64,
    /// Instance that created the claim.
    pub instance: InstanceName,
    /// Incarnation of that instance; another instance may have the same.
    pub incarnation: u64,
    /// Digest of service and body, which distinguishes a repeat from a conflicting request.
    pub fingerprint: String,
    /// Upstream of an idempotent run, where another instance may resume it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamName>,
    /// Whether the request is claimed, void or done.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; the creator may have dispatched.
    Claimed,
    /// Voided by a status query; never dispatched.
    Void,
    /// Completed, with the answer to return to repeats.
    Done(StoredAnswer),
}

/// Answer to a request, stored with its claim and returned to repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, stored as text.
    pub body: String,
}

/// Result of an attempt to create a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt created the claim and may dispatch.
    Won,
    /// A request with the same key but another service or body holds the claim.
    Conflict,
    /// The request completed with this answer.
    Answered(StoredAnswer),
    /// A status query voided the key: it has not run and never will.
    Voided,
    /// Another attempt holds the claim and has not stored an outcome.
    Pending(Box<ClaimRecord>),
}

/// Compares the stored claim with the own one after a create-if-absent, whose reply may be lost.
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
