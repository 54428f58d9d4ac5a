//! Stand-ins for the systems around the scheduler, for tests and trials only. Never shipped.
//!
//! Each stand-in is an HTTP/1 server with a `serve` function, and takes faults by `PUT /faults`.

// Test scaffolding with real clocks: nothing here takes part in a decision of the scheduler.
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

/// First 8 hexadecimal digits of a digest.
fn hex8(digest: &[u8]) -> String {
    digest.iter().take(4).map(|byte| format!("{byte:02x}")).collect()
}
