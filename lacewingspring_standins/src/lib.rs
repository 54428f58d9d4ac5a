//! Simulated external systems for tests and load runs of the scheduler. Not shipped.
//!
//! Each stand-in is an HTTP/1 server that its module's `serve` function runs. `PUT /faults` injects
//! faults into it while it runs.

// The lint keeps clocks out of the functions that decide about scheduling. This crate has none of
// them, and its stand-ins run on real clocks.
#![allow(clippy::disallowed_methods)]

pub mod engine;
pub mod faults;
pub mod http;
pub mod instance_list;
pub mod key_value;
pub mod load;
pub mod plain;
pub mod time;
pub mod weights;

/// Formats the first four bytes of a digest as 8 hexadecimal digits.
fn hex8(digest: &[u8]) -> String {
    digest.iter().take(4).map(|byte| format!("{byte:02x}")).collect()
}
