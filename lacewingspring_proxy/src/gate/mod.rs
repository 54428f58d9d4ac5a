//! The gate: one instance decides for the fleet which request is sent where, the others ask it.

pub mod allowance;
pub mod host;
pub mod ledger;
pub mod link;
pub mod message;
