//! Roll-outs of services to another software version.
//!
//! Operators order them in the key-value service. The [`keeper`] at the gate follows the orders,
//! holds a [`record`] for each and writes its status; the [`rules`] tell the dispatcher of each
//! instance which versions it must not use.

use std::time::Duration;

use lacewingspring_core::{
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::OrderId,
};

use crate::store::Revision;

mod confirmations;
pub mod keeper;
mod known_key;
pub(in crate::gate) mod record;
pub mod rules;
mod service_keeper;

/// Order of an operator as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version to which it moves.
    pub target: SoftwareVersion,
    /// Time that the operator allows from the order to its completion.
    pub allowed: Duration,
    /// Revision of the order's key.
    pub revision: Revision,
}

impl DeclaredOrder {
    /// Returns the identity of the order.
    pub fn id(&self) -> OrderId {
        OrderId { era: self.revision.era.0, revision: self.revision.number }
    }
}

/// The orders in a copy of the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclaredOrders {
    /// Orders that could be read.
    pub orders: Vec<DeclaredOrder>,
    /// Services whose order can't be read; what was ordered before goes on.
    pub unreadable: Vec<ServiceName>,
}

/// What the operators are told of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollOutState {
    /// The roll-out is in progress.
    InProgress,
    /// All requests are served by the target.
    Completed,
    /// Nothing is sent to the target.
    RolledBack,
}

/// Status of a roll-out, written for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutStatus {
    /// State of the roll-out.
    pub state: RollOutState,
    /// Version to which it was ordered.
    pub target: SoftwareVersion,
}

/// Upstream that stays slow for a while after its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Time for which it stays slow from when its entry was written.
    pub remaining: Duration,
    /// Revision of its entry.
    pub revision: Revision,
}
