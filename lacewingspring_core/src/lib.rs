//! Scheduling logic of lacewingspring: dispatch, queueing, admission control and membership.
//!
//! The library performs no I/O and reads no clock. Functions that depend on the time take `now`, a
//! duration since an epoch of the caller's choice.

pub mod catalog;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod error;
pub mod gate;
pub mod key_index;
pub mod limits;
pub mod membership;
pub mod names;
pub mod poison;
pub mod pool_control;
pub mod rendezvous;
pub mod request;
pub mod resources;
pub mod roll_out;
