//! Messages between entries and the homes of request keys.

use lacewingspring_core::{
    key_index::{
        Announcement, DispatchVerdict, HandOver, KeyId, Outcome, RegisterVerdict, Runner,
        SettledKey, TakeOverVerdict, VoidVerdict,
    },
    names::{Fingerprint, UpstreamName},
};
use serde::{Deserialize, Serialize};

/// Question to the home of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyCall {
    /// Registers a run, or asks for the one that exists.
    Register {
        /// Key of the request.
        id: KeyId,
        /// Digest of service and body.
        fingerprint: Fingerprint,
        /// Who would run it.
        runner: Runner,
        /// Whether the key was minted for this request, so that nobody else can know it.
        minted: bool,
    },
    /// Asks to dispatch.
    Dispatching {
        /// Key of the request.
        id: KeyId,
        /// Who runs it.
        runner: Runner,
        /// Upstream that would run it.
        upstream: UpstreamName,
    },
    /// Takes back a dispatch of which no byte was sent.
    NotSent {
        /// Key of the request.
        id: KeyId,
        /// Who runs it.
        runner: Runner,
    },
    /// Replaces a dead runner.
    TakeOver {
        /// Key of the request.
        id: KeyId,
        /// Who would run it from now on.
        new_runner: Runner,
        /// Who ran it.
        dead_runner: Runner,
    },
    /// Tells what came of a run.
    Finished {
        /// Key of the request.
        id: KeyId,
        /// Who ran it.
        runner: Runner,
        /// What came of it.
        outcome: Outcome,
    },
    /// Drops a run that was not dispatched.
    Release {
        /// Key of the request.
        id: KeyId,
        /// Who would have run it.
        runner: Runner,
    },
    /// Settles a key for a status query.
    Void {
        /// Key of the request.
        id: KeyId,
    },
    /// Asks the previous home for what it knows of a key.
    HandOver {
        /// Key of the request.
        id: KeyId,
    },
    /// Tells a new home, or the backup, of keys that it may not know.
    Announce(Vec<KeyUpdate>),
    /// Home to backup: the same call was taken by the home.
    Copy(Box<KeyCall>),
}

/// A key that a new home, or the backup, is told of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyUpdate {
    /// The run is open.
    Open(Announcement),
    /// A claim shows that another home let the run proceed; a void of the key is withdrawn.
    Claimed(Announcement),
    /// The key is void, or its run ended a while ago.
    Settled(SettledKey),
}

/// Answer of the home of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyReply {
    /// Answer to a registration.
    Register(RegisterVerdict),
    /// Answer to a question to dispatch.
    Dispatch(DispatchVerdict),
    /// Answer to a take-over.
    TakeOver(TakeOverVerdict),
    /// Answer to a status query.
    Void(VoidVerdict),
    /// What the previous home knew.
    HandOver(HandOver),
    /// The call was taken.
    Done,
    /// This instance is not the home of the key.
    NotHome,
}
