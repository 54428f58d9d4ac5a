//! Decision library of lacewingspring.
//!
//! It decides what runs where, what waits and what is refused. It performs no I/O and reads no
//! clock: every function that decides takes `now`, a duration since an epoch the caller chooses.

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
