//! The lacewingspring daemon as a library, so that tests can use its modules.

pub mod callers;
pub use lacewingspring_proxy::clock;
pub mod daemon;
pub mod declared;
pub mod entry;
pub mod gates;
pub mod homes;
pub mod limits;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod poison;
pub mod pool_control;
pub mod settings;
pub mod upstreams;
pub mod view;
