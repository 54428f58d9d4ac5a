//! Stages of a roll-out and the evidence for them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Stage of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// The target gets its share of the requests, and its responses are compared.
    Observing,
    /// The target is judged sound. It gets all new requests.
    Shifting,
    /// No request runs or waits at other versions.
    Completed,
    /// Nothing is sent to the target any more.
    RolledBack(RollBackCause),
}

impl Stage {
    /// Returns whether the stage is the last one of its order.
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack(_))
    }
}

/// Why a roll-out was rolled back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RollBackCause {
    /// The target's responses are worse than those of the other versions.
    Bad(Evidence),
    /// The deadline passed with evidence against the target that does not suffice to be sure.
    Suspicious(Evidence),
    /// The deadline passed without enough responses of the target.
    TooLittleEvidence(MissingEvidence),
    /// The deadline passed without enough usable slots at the target for the requests that run.
    TooFewSlots {
        /// Usable slots of the target.
        usable: u32,
        /// Requests that run at all upstreams of the service.
        running: u32,
    },
    /// The deadline passed without an objection to the target: the order was seen too late, or the
    /// copy of the store's entries was too old for a shift.
    DeadlinePassed,
    /// The order was deleted.
    OrderDeleted,
}

/// What about the responses is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Defect {
    /// More of them fail.
    Failures,
    /// More of them take a multiple of the usual time for their work and load.
    Slowness,
}

/// Responses that are compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All responses.
    Total,
    /// Responses of one route.
    Route(Arc<str>),
    /// Responses of upstreams with more than half of their slots in use.
    HighLoad,
}

/// Evidence against the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// What is worse.
    pub defect: Defect,
    /// Responses that were compared.
    pub scope: Scope,
    /// Latest responses of the target that were compared.
    pub target_responses: u64,
    /// Those of them that are bad.
    pub target_bad: u64,
    /// Responses of the other versions that were compared.
    pub old_responses: u64,
    /// Those of them that are bad.
    pub old_bad: u64,
    /// Logarithm of the likelihood ratio of two rates of bad responses to a common one.
    pub log_ratio: f64,
}

/// Responses that are missing for a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingEvidence {
    /// What they must be compared for.
    pub defect: Defect,
    /// Responses that must be compared.
    pub scope: Scope,
    /// Responses of the target in this scope.
    pub responses: u64,
    /// Responses that are needed.
    pub needed: u64,
}

/// State of the fleet that a decision depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    /// Requests that run or wait at upstreams of other versions, or wait for these only.
    pub old_running: u32,
    /// Requests that run at upstreams of the target.
    pub target_running: u32,
    /// Slots of the usable upstreams of other versions.
    pub old_usable_slots: u32,
    /// Slots of the usable upstreams of the target.
    pub target_usable_slots: u32,
    /// Time that running requests of the service need to end, a high quantile.
    pub drain_time: Duration,
    /// Age of the instance's copy of the store's entries.
    pub copy_age: Duration,
}
