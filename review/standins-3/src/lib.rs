//! Stand-ins of the third review: the platform's store, servers, clients and a fleet of instances.
//! They use the standard library only.

pub mod client;
pub mod deployment;
pub mod fleet;
pub mod http;
pub mod json;
pub mod net;
pub mod platform;
pub mod record;
pub mod server;
pub mod store;
