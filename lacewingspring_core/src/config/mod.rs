//! Declared state as an aggregate: transactions, constraints, differences and the head record.

pub use self::{
    declared::{DeclaredResource, DeclaredState, IncompleteState},
    diff::{DiffAction, FieldDiff, ResourceDiff, diff},
    head::Head,
    transaction::{Change, Transaction},
    violation::{Rule, Violation},
};

mod constraints;
mod declared;
mod diff;
mod head;
mod transaction;
mod violation;
