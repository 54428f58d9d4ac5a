//! Configuration of the key index.

use std::time::Duration;

/// Retention, learning time and capacity of a key index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyIndexConfig {
    /// Time after its settlement for which the index remembers a settled key.
    pub retention: Duration,
    /// Time after a role change in which the index doesn't treat an absent key as new, because the
    /// previous home or a runner may not have announced it yet.
    pub learning: Duration,
    /// Maximum number of keys, open and settled.
    pub max_keys: usize,
    /// Safety mechanisms that are enabled.
    pub policy: KeyIndexPolicy,
}

impl Default for KeyIndexConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            learning: Duration::from_secs(2),
            max_keys: 200_000,
            policy: KeyIndexPolicy::default(),
        }
    }
}

/// Switches for the safety mechanisms; tests turn one off to show which failure it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyIndexPolicy {
    /// Authorize a dispatch only for the current runner of a key.
    pub compare_runner: bool,
    /// Refuse a second dispatch of a dispatched key.
    pub compare_progress: bool,
    /// Refuse requests for a key after it was handed over to another home.
    pub refuse_moved: bool,
    /// Refuse to dispatch a run that only its runner announced until the learning time has passed.
    pub hold_unconfirmed: bool,
}

impl Default for KeyIndexPolicy {
    fn default() -> Self {
        Self {
            compare_runner: true,
            compare_progress: true,
            refuse_moved: true,
            hold_unconfirmed: true,
        }
    }
}
