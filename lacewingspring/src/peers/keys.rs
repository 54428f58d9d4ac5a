//! Messages between entries and the homes of request keys.

use lacewingspring_core::{
    key_index::{
        Announcement, DispatchVerdict, HandOver, KeyId, Outcome, RegisterVerdict, Runner,
        SettledKey, TakeOverVerdict, VoidVerdict,
    },
    names::{Fingerprint, UpstreamName},
};
use serde::{Deserialize, Serialize};

/// Call to the home of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyCall {
    /// Registers a run, or returns the existing one.
    Register {
        /// Key of the request.
        id: KeyId,
        /// Digest of service and body.
        fingerprint: Fingerprint,
        /// Runner that would run the request.
        runner: Runner,
        /// Whether the entry generated the key for this request, so that nobody else knows it.
        minted: bool,
    },
    /// Requests the dispatch of a run.
    Dispatching {
        /// Key of the request.
        id: KeyId,
        /// Runner of the request.
        runner: Runner,
        /// Upstream to which the request would be dispatched.
        upstream: UpstreamName,
    },
    /// Reverts a dispatch of which no byte was sent.
    NotSent {
        /// Key of the request.
        id: KeyId,
        /// Runner of the request.
        runner: Runner,
    },
    /// Takes over the run of a dead runner.
    TakeOver {
        /// Key of the request.
        id: KeyId,
        /// Runner that would replace the dead one.
        new_runner: Runner,
        /// Runner that has died.
        dead_runner: Runner,
    },
    /// Reports the outcome of a run.
    Finished {
        /// Key of the request.
        id: KeyId,
        /// Runner of the request.
        runner: Runner,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// Drops a run that was not dispatched.
    Release {
        /// Key of the request.
        id: KeyId,
        /// Runner that registered the run.
        runner: Runner,
    },
    /// Voids a key that has not run, for a status query.
    Void {
        /// Key of the request.
        id: KeyId,
    },
    /// Fetches the state of a key from its previous home, which hands the key over.
    HandOver {
        /// Key of the request.
        id: KeyId,
    },
    /// Sends the state of keys to a new home, or to the backup, which may not know them.
    Announce(Vec<KeyUpdate>),
    /// Home to backup: the home has applied this call.
    Copy(Box<KeyCall>),
}

/// State of a key, as sent to a new home or to the backup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyUpdate {
    /// The key has an open run.
    Open(Announcement),
    /// A stored claim shows that another home authorized the run, so a void of the key is
    /// withdrawn.
    Claimed(Announcement),
    /// The key is voided, or its run has ended.
    Settled(SettledKey),
}

/// Reply of the home of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyReply {
    /// Reply to a registration.
    Register(RegisterVerdict),
    /// Reply to the request for a dispatch.
    Dispatch(DispatchVerdict),
    /// Reply to a take-over.
    TakeOver(TakeOverVerdict),
    /// Reply to a status query.
    Void(VoidVerdict),
    /// State of the key at the previous home.
    HandOver(HandOver),
    /// The call was applied and has no other reply.
    Done,
    /// This instance is not the home of the key.
    NotHome,
}
