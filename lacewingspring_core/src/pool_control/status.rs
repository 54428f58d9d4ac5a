//! Status that a controller reports for its pool.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;

/// Why a roll-out halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HaltReason {
    /// An engine replied that the load failed, or never completed it.
    LoadFailed,
    /// An engine became unreachable during or after the load.
    EngineCrashed,
}

/// A halted roll-out, which resumes only after a new declaration of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// Generation of the pool at the halt.
    pub generation: u64,
    /// Cause of the halt.
    pub reason: HaltReason,
    /// Engine that failed.
    pub upstream: UpstreamName,
}

/// Number of engines that serve the goal, and of all engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Engines that serve the goal.
    pub done: usize,
    /// All engines of the pool.
    pub all: usize,
}

/// Status of the roll-out of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Every engine serves the goal.
    Done(Progress),
    /// The controller sends orders to engines, or waits until it can reach them.
    Rolling(Progress),
    /// Other pools hold all load slots of the fleet.
    WaitingForLoads(Progress),
    /// The next order would take the last ready engine out of service.
    LastReadyEngine(Progress),
    /// The roll-out has halted.
    Halted(Halt),
    /// An engine has seen a higher fencing number than this controller's.
    Superseded,
    /// The controller holds no lease and sends no orders.
    NoLease,
}

impl Status {
    /// Returns the status as one word, for conditions.
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
