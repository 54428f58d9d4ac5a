//! Declared resources, kept in the key-value service and in force at this instance.
//!
//! Every commit replaces one head record by compare-and-swap, so all commits are in one order. An
//! instance applies generations in that order, from a watch, from a read of the whole prefix or
//! from another instance, and never a lower one than it has.

pub use self::{
    commit::{Author, Commit, CommitError, Conflict},
    counters::DeclaredCounts,
    policy::{DeclaredPolicy, Mechanisms},
    snapshot::{Snapshot, SnapshotError},
    store::{DeclaredStore, Offer},
};

mod backoff;
mod commit;
mod counters;
mod follow;
mod keys;
mod policy;
mod snapshot;
mod store;
