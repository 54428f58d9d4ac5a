//! Requests to a key index and its replies.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{Fingerprint, InstanceName, RequestKey, UpstreamName, WorkspaceName};

/// A request key, qualified by its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Idempotency key, unique within the workspace.
    pub key: RequestKey,
}

/// The instance, in one incarnation, that runs a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Runner {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the instance; it grows with each restart.
    pub incarnation: u64,
}

/// Progress of an open run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Registered but not dispatched.
    Waiting,
    /// The home authorized its runner to dispatch it.
    Dispatched {
        /// Upstream to which the request is dispatched.
        upstream: UpstreamName,
    },
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run completed with an answer.
    Answered,
    /// The run was not dispatched and never will be.
    NotRun,
    /// The run was dispatched and whether it completed is unknown.
    MayHaveRun,
}

/// How long this instance has been the home of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeTenure {
    /// The view lists no previous home.
    Established,
    /// The view lists a previous home, which may know the key.
    Recent,
}

/// State of a key at the home that hands it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOver {
    /// The home does not know the key.
    Absent,
    /// The key has an open run.
    Open(Announcement),
    /// The run of the key has ended.
    Finished {
        /// Digest of service and body; `None` if the home does not know it.
        fingerprint: Option<Fingerprint>,
        /// Last runner, which may still have the answer.
        runner: Runner,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// A status query voided the key: it has not run and never will.
    Voided,
}

/// Reply to a registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterVerdict {
    /// The caller is the runner and may request a dispatch.
    Registered,
    /// The key has a run of another runner, or the caller's run is dispatched already.
    Joined {
        /// Runner of the existing run.
        runner: Runner,
        /// Progress of the existing run.
        progress: Progress,
    },
    /// The key belongs to a request with another service or body.
    Conflict,
    /// The run of the key has ended.
    Finished {
        /// Last runner, which may still have the answer.
        runner: Runner,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// A status query voided the key: it has not run and never will.
    Voided,
    /// This home handed the key over to another one.
    Moved,
    /// The key is unknown here but the previous home may know it: fetch it from there, or retry.
    Unknown,
    /// The index is full of open runs.
    Full,
}

/// Reply to a runner that requests a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchVerdict {
    /// The caller may dispatch; no other runner of the key gets this reply.
    Proceed,
    /// The index sent the caller `Proceed` before. The caller may dispatch to this upstream if it
    /// knows that it has not done so yet.
    Repeated {
        /// Upstream of the authorized dispatch.
        upstream: UpstreamName,
    },
    /// Another runner has taken the run over.
    TakenOver {
        /// Current runner.
        runner: Runner,
    },
    /// The key is settled.
    Settled,
    /// This home handed the key over to another one, which decides now.
    Moved,
    /// The key is unknown here, or its run is unconfirmed during the learning time: register first.
    Unknown,
}

/// Reply to an instance that takes over the run of a dead runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeOverVerdict {
    /// The caller is the runner and resumes the dispatched request at its upstream.
    Resume {
        /// Upstream to which the request is dispatched.
        upstream: UpstreamName,
    },
    /// The caller is the runner and may request a dispatch.
    NotDispatched,
    /// The run is settled or unknown, or belongs to a runner other than the dead one.
    Refused,
}

/// Reply to a runner that reports the outcome of its run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishVerdict {
    /// The outcome is recorded.
    Recorded,
    /// Another runner has taken the run over.
    TakenOver {
        /// Current runner.
        runner: Runner,
    },
    /// This index has no open run of the key.
    Unknown,
}

/// Reply to a status query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoidVerdict {
    /// The key has not run and never will.
    Voided,
    /// The key has an open run.
    Running {
        /// Runner of the open run.
        runner: Runner,
        /// Progress of the open run.
        progress: Progress,
    },
    /// The run of the key has ended.
    Finished {
        /// Last runner, which may still have the answer.
        runner: Runner,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// This home handed the key over to another one.
    Moved,
    /// The key is unknown here but the previous home may know it.
    Unknown,
    /// The index is full of open runs.
    Full,
}

/// A voided key or one whose run has ended, as sent to another home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledKey {
    /// The settled key.
    pub id: KeyId,
    /// How the key was settled.
    pub known: HandOver,
    /// Remaining time for which the sender remembers the key.
    #[serde(rename = "keep")]
    pub ttl: Duration,
}

/// An open run, as sent to a home by the runner or by another home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Key of the run.
    pub id: KeyId,
    /// Digest of service and body.
    pub fingerprint: Fingerprint,
    /// Runner of the run.
    pub runner: Runner,
    /// Progress of the run.
    pub progress: Progress,
}
