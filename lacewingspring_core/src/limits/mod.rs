//! Limits of a workspace that hold over the whole fleet.
//!
//! One instance, the home of the workspace, grants shares of the request rate and concurrency to
//! the instances that receive its requests. The shares in force never add up to more than the
//! declared limit. A share expires unless it is renewed, so an instance that can't reach the home
//! continues for a while and then refuses requests.
//!
//! Retries by callers are limited to a fraction of the fresh requests, those that are not retries.
//! The retry-after times of refused callers are spread out.

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
