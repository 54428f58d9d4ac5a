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

/// Names a gate: one engine pool in one data centre.
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
    /// Gate that is asked.
    pub gate: GateId,
    /// Work and standing of the request.
    pub request: PermitRequest,
}

/// Part of an answer that another instance follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunPart {
    /// Head of a plain answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Media type of the body.
        content_type: String,
    },
    /// Text of one token, or a piece of a plain body.
    Text(String),
    /// The whole answer was sent.
    End {
        /// Why the engine stopped; empty for plain answers.
        finish_reason: String,
    },
    /// The run was given up or failed.
    Failed {
        /// Kind of the failure.
        kind: ErrorKind,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to gate: asks for a permit; the exchange lives as long as the permit.
    RequestPermit(GatePermitRequest),
    /// Entry to gate: counts a permit that the gate's earlier holder granted.
    Adopt {
        /// Request for the permit as it was asked.
        permit: GatePermitRequest,
        /// Upstream that runs the request.
        upstream: UpstreamName,
    },
    /// Gate to entry: the request may run.
    Granted(UpstreamName),
    /// Gate to entry: the request is given up.
    Refused {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Gate to entry: park the run and ask again.
    Park,
    /// Entry to gate: the first token arrived.
    FirstToken,
    /// Entry to gate: the run was parked and its room is free.
    Parked,
    /// Entry to gate: the parked run asks to go on.
    RequestPermitAgain(PermitRequest),
    /// Entry to gate: the upstream can't be reached.
    Unreachable(UpstreamName),
    /// Entry to gate: the run ended.
    Ended(Outcome),
    /// Entry to entry: follow the run of a key from a part on.
    Follow {
        /// Workspace of the key.
        workspace: WorkspaceName,
        /// Key of the request.
        key: RequestKey,
        /// Incarnation that is expected to drive the run.
        incarnation: u64,
    },
    /// Entry to entry: one part of a followed run.
    Part(RunPart),
    /// Entry to entry: there is no such run here.
    NoRun,
    /// Entry to key home: a question about a key.
    Key(KeyCall),
    /// Key home to entry: the answer.
    KeyReply(KeyReply),
    /// Entry to home of a workspace, or back: a question about its limits.
    Share(ShareCall),
    /// The answer to such a question.
    ShareReply(ShareReply),
    /// Runner to home of a fingerprint, or home to all: about requests that crash upstreams.
    Poison(PoisonCall),
    /// The answer to such a message.
    PoisonReply(PoisonReply),
    /// Member to member: a heartbeat, or the reply to one.
    Heartbeat(Box<Digest>),
    /// Member to member: asks for the declared state in force.
    FetchDeclared {
        /// Generation that the asker has in force; 0 when it has none.
        have: u64,
    },
    /// Member to member: the declared state in force or what changed since, encoded.
    Declared(Vec<u8>),
    /// Pool controller to gate or to all: about engines that are out, or the roll-out.
    Pool(PoolCall),
    /// The answer to such a message.
    PoolReply(PoolReply),
    /// Entry to gate: the request is handed to the upstream now.
    Dispatched,
}
