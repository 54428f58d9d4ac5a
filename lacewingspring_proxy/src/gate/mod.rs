//! The gate: the instance that schedules the dispatch of requests for the whole fleet.
//!
//! Each instance has both sides of it: the [`host`] grants slots at upstreams while this instance
//! is the gate, and the [`link`] asks the current gate for slots, which may be the own host. The
//! [`ledger`] hands the usage of the workspaces' limits on to the next gate, and the [`allowance`]
//! bounds the bandwidth that replica updates take.

pub mod allowance;
pub mod host;
pub mod ledger;
pub mod link;
pub mod message;
