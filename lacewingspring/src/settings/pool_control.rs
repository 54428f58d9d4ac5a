//! Limits of the pool controllers.

use serde::Deserialize;

use super::InvalidValue;

/// Limits of the pool controllers, which must be the same at all instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolControlSettings {
    /// Number of engines of the whole fleet that may load weights at the same time.
    pub loads_at_once: u32,
}

impl Default for PoolControlSettings {
    fn default() -> Self {
        Self { loads_at_once: 4 }
    }
}

impl PoolControlSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        let valid = (1..=1_000).contains(&self.loads_at_once);
        let found = self.loads_at_once.to_string();
        InvalidValue::check(valid, "pool_control.loads_at_once", found, "1 to 1000")
    }
}
