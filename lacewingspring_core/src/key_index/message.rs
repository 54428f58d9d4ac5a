//! What the index is asked and what it answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{Fingerprint, InstanceName, RequestKey, UpstreamName, WorkspaceName};

/// A request key within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: RequestKey,
}

/// One run of an instance that runs requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Runner {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Number of the run of that instance.
    pub incarnation: u64,
}

/// How far an open run is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Not dispatched.
    Waiting,
    /// Its runner was told to proceed.
    Dispatched {
        /// Upstream that runs it.
        upstream: UpstreamName,
    },
}

/// What came of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran to its end and was answered.
    Answered,
    /// It wasn't dispatched and never will be.
    NotRun,
    /// It was dispatched and its end is unknown.
    MayHaveRun,
}

/// How long this instance has been the home of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeTenure {
    /// The view names no previous home.
    Established,
    /// The view names a previous home, which may know the key.
    Recent,
}

/// What a home knew of a key when it handed it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOver {
    /// Nothing.
    Absent,
    /// An open run.
    Open(Announcement),
    /// The key has run.
    Finished {
        /// Digest of service and body, if it is known.
        fingerprint: Option<Fingerprint>,
        /// Who ran it last and may still have the answer.
        runner: Runner,
        /// What came of it.
        outcome: Outcome,
    },
    /// The key was settled as not run.
    Voided,
}

/// Answer to a registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterVerdict {
    /// The asker is the runner and may ask to dispatch.
    Registered,
    /// Another run exists, or the asker's own was dispatched already.
    Joined {
        /// Who runs it.
        runner: Runner,
        /// How far it is.
        progress: Progress,
    },
    /// The key belongs to a request with another body.
    Conflict,
    /// The key has run.
    Finished {
        /// Who ran it last and may still have the answer.
        runner: Runner,
        /// What came of it.
        outcome: Outcome,
    },
    /// The key was settled as not run.
    Voided,
    /// The key was handed over to another home.
    Moved,
    /// The key isn't known here and may be known to the previous home; ask it, or ask again.
    Unknown,
    /// All keys that the index may hold are open.
    Full,
}

/// Answer to a runner that asks to dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchVerdict {
    /// The asker may dispatch. No other is told so for this key.
    Proceed,
    /// The asker was told so before; it may dispatch to this upstream if it knows that it hasn't.
    Repeated {
        /// Upstream that was named before.
        upstream: UpstreamName,
    },
    /// Another is the runner now.
    TakenOver {
        /// Who runs it.
        runner: Runner,
    },
    /// The key is settled.
    Settled,
    /// The key was handed over to another home, which decides now.
    Moved,
    /// The key isn't known here; register it first.
    Unknown,
}

/// Answer to a runner that wants to replace a dead one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeOverVerdict {
    /// The asker is the runner and resumes the stream at this upstream.
    Resume {
        /// Upstream that runs it.
        upstream: UpstreamName,
    },
    /// The asker is the runner and may ask to dispatch.
    NotDispatched,
    /// The run is settled, unknown, or has another runner.
    Refused,
}

/// Answer to the end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishVerdict {
    /// The outcome is recorded.
    Recorded,
    /// Another is the runner now.
    TakenOver {
        /// Who runs it.
        runner: Runner,
    },
    /// The key isn't open here.
    Unknown,
}

/// Answer to a status query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoidVerdict {
    /// The key has not run and never will.
    Voided,
    /// The key is open.
    Running {
        /// Who runs it.
        runner: Runner,
        /// How far it is.
        progress: Progress,
    },
    /// The key has run.
    Finished {
        /// Who ran it last and may still have the answer.
        runner: Runner,
        /// What came of it.
        outcome: Outcome,
    },
    /// The key was handed over to another home.
    Moved,
    /// The key isn't known here and may be known to the previous home.
    Unknown,
    /// All keys that the index may hold are open.
    Full,
}

/// A key that is void or has run, told to another home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledKey {
    /// The key.
    pub id: KeyId,
    /// What is known of it.
    pub known: HandOver,
    /// Time for which it is still kept.
    pub ttl: Duration,
}

/// An open run, told to a new home by its runner or by the previous home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Key of the run.
    pub id: KeyId,
    /// Digest of service and body.
    pub fingerprint: Fingerprint,
    /// Who runs it.
    pub runner: Runner,
    /// How far it is.
    pub progress: Progress,
}
