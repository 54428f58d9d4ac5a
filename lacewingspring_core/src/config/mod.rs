//! The declared state as a whole: transactions, constraints, differences and commit records.

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
