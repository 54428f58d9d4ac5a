//! Limits of a workspace that hold over the fleet.
//!
//! The home of a workspace hands out shares of its request rate and concurrency to the instances
//! that take its requests. The shares in force never sum to more than the declared limit. A share
//! runs out unless it is renewed, so an instance that can't reach the home goes on for a while and
//! then refuses.
//!
//! Retries are limited to a fraction of the fresh requests, and refused callers are told times to
//! come back that are spread out.

pub use self::{
    config::{ShareConfig, SharePolicy},
    ledger::ShareLedger,
    message::{Demand, Share},
    retry_budget::{RetryBudget, RetryBudgetConfig},
    retry_spread::RetrySpread,
    share_limiter::{Admission, ShareLimiter},
};

mod account;
mod config;
mod ledger;
mod message;
mod retry_budget;
mod retry_spread;
mod share_limiter;
