//! Settings of the key index.

use std::time::Duration;

/// Settings of the key index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyIndexConfig {
    /// Time for which a settled key is kept.
    pub retention: Duration,
    /// Time after taking a role for which an absent key isn't held to be new.
    pub learning: Duration,
    /// Keys that the index holds at most.
    pub max_keys: usize,
    /// Which mechanisms are on.
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

/// Switches for the mechanisms, so that a test can show what each is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyIndexPolicy {
    /// Let only the present runner of a key proceed.
    pub compare_runner: bool,
    /// Let a key that was dispatched not be dispatched again.
    pub compare_progress: bool,
    /// Refuse a key that was handed over to another home.
    pub refuse_moved: bool,
    /// Let a run that only its runner announced wait until the learning time has passed.
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
