//! Declared targets, observed engine states and orders to engines.

use serde::{Deserialize, Serialize};

use crate::{names::UpstreamName, resources::EnginePoolSpec};

/// Model, adapter, version and role that an engine serves or is to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServingConfig {
    /// Name of the model.
    pub model: String,
    /// Adapter on the model; empty if there is none.
    pub adapter: String,
    /// Version of the model.
    pub version: String,
    /// Role of the engine, such as prefill or decode; empty if it does all work.
    pub role: String,
}

/// State that an engine reports, or that an order sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// What the engine serves.
    #[serde(flatten)]
    pub serves: ServingConfig,
    /// Fencing number of the last order that the engine accepted.
    pub fencing: u64,
    /// Whether the engine is loading and serves nothing; always false in an order.
    #[serde(skip_serializing)]
    pub loading: bool,
}

/// Desired state of a pool, taken from its declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// What each engine of the pool is to serve.
    pub goal: ServingConfig,
    /// Most engines that the roll-out may have out of service at a time.
    pub max_unavailable: usize,
    /// Generation in which the pool was last changed.
    pub generation: u64,
}

impl Target {
    /// Returns the target of a pool; `None` if the pool is not managed.
    pub fn from_pool(pool: &EnginePoolSpec, generation: u64) -> Option<Self> {
        let goal = ServingConfig {
            model: pool.model.clone(),
            adapter: pool.adapter.clone(),
            version: pool.version.clone(),
            role: pool.role.clone(),
        };
        pool.managed.then_some(Self { goal, max_unavailable: pool.at_once as usize, generation })
    }
}

/// State of one engine at the start of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Name of the engine.
    pub upstream: UpstreamName,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether the engine is declared as leaving and gets no new work.
    pub leaving: bool,
    /// State that the engine reports; `None` if it can't be reached.
    pub state: Option<EngineState>,
    /// Requests that still run on the engine, counted by its gate after it stopped sending new work
    /// there (`Plan::closed`); `None` if the count is not known yet.
    pub running: Option<u32>,
}

impl Observation {
    /// Returns whether the engine serves requests of the pool: the model of the goal, in any
    /// version.
    pub(super) fn is_ready(&self, goal: &ServingConfig) -> bool {
        let serves = |state: &EngineState| !state.loading && state.serves.model == goal.model;
        !self.leaving && self.state.as_ref().is_some_and(serves)
    }

    /// Returns whether the engine is reachable, not loading, and serves something else than the
    /// goal.
    pub(super) fn is_outdated(&self, goal: &ServingConfig) -> bool {
        self.state.as_ref().is_some_and(|state| !state.loading && state.serves != *goal)
    }

    pub(super) fn serves_goal(&self, goal: &ServingConfig) -> bool {
        self.state.as_ref().is_some_and(|state| !state.loading && state.serves == *goal)
    }

    pub(super) fn is_loading(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.loading)
    }
}

/// An order that sets what an engine serves, or only its fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Engine that gets the order.
    pub upstream: UpstreamName,
    /// What the engine is to serve, with the fencing number of the controller.
    pub state: EngineState,
    /// Whether the order makes the engine load; false if it only raises the fencing number.
    pub loads: bool,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine replied that it serves what was ordered.
    Applied,
    /// The engine replied that the load failed or that it can't carry out the order.
    Failed,
    /// The engine refused because it is already loading.
    Busy,
    /// The engine refused because it has seen a higher fencing number.
    Stale,
    /// No byte of the order was sent.
    NotSent,
    /// The order was sent, but no reply arrived.
    NoReply,
}
