//! Messages of the server's interface for operators and callers.

pub use self::{
    caller::{
        AddressList, CompletionChunk, CompletionRequest, KeyState, RequestStatus, WeightedAddress,
    },
    event::{Event, Explanation},
    fleet::{FleetStatus, KeyValueCalls, Laggard, RoleStatus, WaitResult},
    metrics::MetricsReport,
    problem::Problem,
    resource::{Condition, ConditionStatus, ResourceDetail, ResourceList},
    transaction::{Action, Change, FieldDiff, ResourceDiff, Transaction, TransactionResult},
};

mod caller;
mod event;
mod fleet;
mod metrics;
mod problem;
mod resource;
mod transaction;
