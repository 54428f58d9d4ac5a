//! Limits of the pool controllers.

use serde::Deserialize;

use super::Fault;

/// Limits of the pool controllers; the same on all instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolControlSettings {
    /// Engines that may load weights at once, over the fleet.
    pub loads_at_once: u32,
}

impl Default for PoolControlSettings {
    fn default() -> Self {
        Self { loads_at_once: 4 }
    }
}

impl PoolControlSettings {
    pub(super) fn check(&self) -> Result<(), Fault> {
        let sound = (1..=1_000).contains(&self.loads_at_once);
        let found = self.loads_at_once.to_string();
        Fault::check(sound, "pool_control.loads_at_once", found, "1 to 1000")
    }
}
