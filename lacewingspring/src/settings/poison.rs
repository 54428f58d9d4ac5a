//! Settings of the watch for requests that crash upstreams.

use serde::Deserialize;

/// Settings of the watch for requests that crash upstreams, equal on all instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "an object")]
pub struct PoisonSettings {
    /// Whether the watch is on.
    pub watch: bool,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self { watch: true }
    }
}
