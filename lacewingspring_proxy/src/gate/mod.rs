//! The gate: the instance that schedules the dispatch of requests for the whole fleet.
//!
//! Each instance has both sides of it: the [`host`] grants slots at upstreams while this instance
//! is the gate, and the client in [`link`] asks the current gate for a [`slot`]. A link is a TCP
//! connection from an instance to the gate, or a pair of channels if the gate is its own host; it
//! carries the messages in [`message`]. The [`ledger`] hands what a gate knows on to the next gate,
//! the [`allowance`] bounds the bandwidth that replica updates take, and the [`liveness`] of a link
//! tells whether its gate has failed.

pub mod allowance;
mod findings;
pub mod host;
pub mod ledger;
pub mod link;
pub mod liveness;
pub mod message;
mod record;
pub mod recorded_versions;
pub mod roll_out;
pub mod slot;
mod suspects;
mod version_record;
mod version_recorder;
