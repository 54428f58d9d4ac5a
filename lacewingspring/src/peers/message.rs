//! Messages between instances.

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Outcome, PermitRequest},
    membership::Digest,
    names::{DataCentreName, PoolName, RequestKey, UpstreamName, WorkspaceName},
};
use serde::{Deserialize, Serialize};

use super::{
    keys::{KeyCall, KeyReply},
    poison::{PoisonCall, PoisonReply},
    pools::{PoolCall, PoolReply},
    shares::{ShareCall, ShareReply},
};

/// Identifies a gate, which schedules one engine pool in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GateId {
    /// Engine pool.
    pub pool: PoolName,
    /// Data centre of the upstreams.
    pub data_centre: DataCentreName,
}

/// Request for a permit at a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatePermitRequest {
    /// Gate that decides on the permit.
    pub gate: GateId,
    /// Cost, priority and constraints of the request.
    #[serde(rename = "ask")]
    pub request: PermitRequest,
}

/// Part of a response, as sent to an instance that follows the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunPart {
    /// Head of a response that is not streamed.
    Head {
        /// HTTP status code.
        status: u16,
        /// Media type of the body.
        content_type: String,
    },
    /// Text of one token, or a chunk of the body of a response that is not streamed.
    Text(String),
    /// The response is complete.
    End {
        /// Why the engine stopped; empty for a response that is not streamed.
        finish_reason: String,
    },
    /// The run was refused or failed.
    Failed {
        /// Kind of the failure.
        kind: ErrorKind,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to gate: requests a permit; the exchange stays open as long as the permit is held.
    #[serde(rename = "Ask")]
    RequestPermit(GatePermitRequest),
    /// Entry to gate: reports a permit that the previous holder of the gate granted.
    Adopt {
        /// Original request for the permit.
        permit: GatePermitRequest,
        /// Upstream that runs the request.
        upstream: UpstreamName,
    },
    /// Gate to entry: the request may run.
    Granted(UpstreamName),
    /// Gate to entry: the request is refused.
    Refused {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Gate to entry: park the run and request a permit again.
    Park,
    /// Entry to gate: the first token arrived.
    FirstToken,
    /// Entry to gate: the run was parked and its capacity is free.
    Parked,
    /// Entry to gate: requests a permit for the parked run to resume.
    #[serde(rename = "AskAgain")]
    RequestPermitAgain(PermitRequest),
    /// Entry to gate: the upstream can't be reached.
    Unreachable(UpstreamName),
    /// Entry to gate: the run ended.
    Ended(Outcome),
    /// Entry to entry: requests all parts of the run of a key.
    Follow {
        /// Workspace of the key.
        workspace: WorkspaceName,
        /// Key of the request.
        key: RequestKey,
        /// Incarnation of the instance that is expected to drive the run.
        incarnation: u64,
    },
    /// Entry to entry: one part of a followed run.
    Part(RunPart),
    /// Entry to entry: there is no such run here.
    NoRun,
    /// Entry to home of a key: a call about the key.
    Key(KeyCall),
    /// Home of a key to entry: the reply.
    KeyReply(KeyReply),
    /// Entry to home of a workspace, or home to entry: a call about the limits of the workspace.
    Share(ShareCall),
    /// Reply to a [`Message::Share`].
    ShareReply(ShareReply),
    /// Runner to home of a fingerprint, or home to all: a call about requests that crash upstreams.
    Poison(PoisonCall),
    /// Reply to a [`Message::Poison`].
    PoisonReply(PoisonReply),
    /// Member to member: a heartbeat, or the reply to one.
    Heartbeat(Box<Digest>),
    /// Member to member: requests the declared state in force.
    FetchDeclared {
        /// Generation that the requester has in force; 0 if it has none.
        have: u64,
    },
    /// Member to member: the declared state in force, or its changes since the requester's
    /// generation, encoded.
    Declared(Vec<u8>),
    /// Pool controller to gate or to all: closed upstreams, or the state of the roll-out.
    Pool(PoolCall),
    /// Reply to a [`Message::Pool`].
    PoolReply(PoolReply),
    /// Entry to gate: the request is being sent to the upstream.
    Dispatched,
}
