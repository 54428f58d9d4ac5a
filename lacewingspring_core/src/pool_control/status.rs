//! What a controller reports of its pool.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;

/// Why a roll-out halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HaltReason {
    /// An engine said that the load failed.
    LoadFailed,
    /// An engine went away in or after the load.
    EngineCrashed,
}

/// A roll-out that goes no further until the pool is declared anew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// Generation of the pool that was rolled out.
    pub generation: u64,
    /// Why.
    pub reason: HaltReason,
    /// Engine that showed it.
    pub upstream: UpstreamName,
}

/// Engines that serve the goal, of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Engines that serve the goal.
    pub done: usize,
    /// Engines of the pool.
    pub all: usize,
}

/// Where the roll-out of a pool stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Every engine serves the goal.
    Done(Progress),
    /// Engines are ordered, or will be when they can be reached.
    Rolling(Progress),
    /// Other pools load as much as the fleet may at once.
    WaitingForLoads(Progress),
    /// What is left would take the last ready engine out.
    LastReadyEngine(Progress),
    /// It goes no further.
    Halted(Halt),
    /// An engine has seen a higher fencing number than this tenure's.
    Superseded,
    /// The controller holds no lease and gives no orders.
    NoLease,
}

impl Status {
    /// Returns the reason as one word.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Done(_) => "RolledOut",
            Self::Rolling(_) => "Rolling",
            Self::WaitingForLoads(_) => "WaitingForLoads",
            Self::LastReadyEngine(_) => "LastReadyEngine",
            Self::Halted(Halt { reason: HaltReason::LoadFailed, .. }) => "LoadFailed",
            Self::Halted(Halt { reason: HaltReason::EngineCrashed, .. }) => "EngineCrashed",
            Self::Superseded => "Superseded",
            Self::NoLease => "NoLease",
        }
    }
}

impl Display for Status {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done(Progress { all, .. }) => write!(f, "All {all} engines serve it."),
            Self::Rolling(Progress { done, all }) => {
                write!(f, "{done} of {all} engines serve it; the roll-out goes on.")
            }
            Self::WaitingForLoads(Progress { done, all }) => {
                write!(f, "{done} of {all} engines serve it; others load as much as may be.")
            }
            Self::LastReadyEngine(Progress { done, all }) => write!(
                f,
                "{done} of {all} engines serve it; to go on would take the last ready engine out."
            ),
            Self::Halted(Halt { reason: HaltReason::LoadFailed, upstream, generation }) => write!(
                f,
                "Halted in generation {generation}: the load failed on {upstream}. \
                 Declare another version."
            ),
            Self::Halted(Halt { reason: HaltReason::EngineCrashed, upstream, generation }) => {
                write!(
                    f,
                    "Halted in generation {generation}: {upstream} went away in the roll-out. \
                     Declare another version."
                )
            }
            Self::Superseded => f.write_str("An engine has seen a higher fencing number."),
            Self::NoLease => f.write_str("The controller holds no lease and gives no orders."),
        }
    }
}
