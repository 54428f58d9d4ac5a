//! Decisions of a pool controller: which engine is ordered to load which model, and when.
//!
//! Orders are level-triggered: each round compares what the engines report with the goal and orders
//! the difference. Nothing here reads a clock or performs I/O.

pub use self::{
    lease::ControllerLease,
    model::{EngineState, Observation, Order, OrderOutcome, ServingConfig, Target},
    roll_out::{Plan, RollOut, RollOutPolicy},
    status::{Halt, HaltReason, Progress, Status},
};

mod lease;
mod model;
mod roll_out;
mod status;
