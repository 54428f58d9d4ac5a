//! Declared resources: stored in the key-value service and applied at each instance.
//!
//! Every commit replaces one head record by compare-and-swap, so commits are totally ordered. An
//! instance receives generations from a watch, from a read of the whole prefix or from another
//! instance. It never applies a generation lower than the one in force.

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
