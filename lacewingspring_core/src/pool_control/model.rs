//! What is declared, what engines say, and what they are ordered.

use serde::{Deserialize, Serialize};

use crate::{names::UpstreamName, resources::EnginePoolSpec};

/// What the engines of a pool are to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServingConfig {
    /// Model.
    pub model: String,
    /// Adapter on the model; empty for none.
    pub adapter: String,
    /// Version of the model.
    pub version: String,
    /// Role of the engine; empty for any work.
    pub role: String,
}

/// What an engine says that it serves, and what an order tells it to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Model, adapter, version and role.
    #[serde(flatten)]
    pub serves: ServingConfig,
    /// Fencing number of the last order that it took.
    pub fencing: u64,
    /// Whether it loads now and serves nothing; always false in an order.
    #[serde(skip_serializing)]
    pub loading: bool,
}

/// What the operator declared of a pool, as far as orders follow from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// What each engine is to serve.
    pub goal: ServingConfig,
    /// Engines that may be out of service for it at once.
    pub max_unavailable: usize,
    /// Generation of the last change of the pool.
    pub generation: u64,
}

impl Target {
    /// Returns what a pool declares; none when its engines get no orders.
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

/// One engine as a round sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Name of the engine.
    pub upstream: UpstreamName,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it takes no new work by declaration.
    pub leaving: bool,
    /// What it says; none when it can't be reached.
    pub state: Option<EngineState>,
    /// Requests that its gate counts on it after closing it; none while that is not known.
    pub running: Option<u32>,
}

impl Observation {
    /// Returns whether it serves requests of the pool.
    pub(super) fn is_ready(&self, goal: &ServingConfig) -> bool {
        let serves = |state: &EngineState| !state.loading && state.serves.model == goal.model;
        !self.leaving && self.state.as_ref().is_some_and(serves)
    }

    /// Returns whether it can be reached and serves another thing than the goal.
    pub(super) fn is_outdated(&self, goal: &ServingConfig) -> bool {
        self.state.as_ref().is_some_and(|state| !state.loading && state.serves != *goal)
    }

    /// Returns whether it serves the goal.
    pub(super) fn is_at(&self, goal: &ServingConfig) -> bool {
        self.state.as_ref().is_some_and(|state| !state.loading && state.serves == *goal)
    }

    /// Returns whether it loads.
    pub(super) fn is_loading(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.loading)
    }
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Engine.
    pub upstream: UpstreamName,
    /// What it is to serve, with the fencing number of the tenure.
    pub state: EngineState,
    /// Whether it changes what the engine serves; false when it only tells the fencing number.
    pub loads: bool,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine says that it serves what was ordered.
    Applied,
    /// The engine says that the load failed, or that it can't do it.
    Failed,
    /// The engine loads already.
    Busy,
    /// The engine has seen a higher fencing number.
    Stale,
    /// No byte went out.
    NotSent,
    /// The order went out and no answer came.
    NoReply,
}
