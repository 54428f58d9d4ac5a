//! Overrides for tests. A test switches a mechanism off to show that its checks then fail. Not for
//! production.

use std::env;

use serde::Deserialize;

use super::InvalidValue;

/// Environment variable that must be `1` for the section to be accepted.
const TEST_MODE_VARIABLE: &str = "LACEWINGSPRING_TEST";

/// Mechanism on which a guarantee depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// The claim of a non-idempotent request in the key-value service.
    Claim,
    /// The request to the home of a key before the dispatch of an idempotent request.
    Home,
    /// The replication of dispatches from the home of a key to its backup.
    Backup,
    /// The check of the request ID that an upstream echoes.
    LabelCheck,
    /// The check that a stream ends with its end marker.
    EndMarker,
    /// The wait of a leaving instance until its runs have ended.
    Drain,
    /// The detection of requests that crash upstreams.
    PoisonWatch,
    /// The check of a pool controller before each order that its lease is valid by its own clock.
    LeaseClock,
    /// The wait of a roll-out until no request runs on an engine.
    EngineDrain,
    /// The halt of a roll-out after a failed load.
    RollOutHalt,
    /// The repetition of orders until the engines serve the declared model.
    Reconcile,
    /// The fleet-wide slots that limit how many engines load weights at the same time.
    LoadSlots,
}

/// Section `test` of the settings, for tests only.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct TestSettings {
    /// Mechanisms that are switched off.
    #[serde(default)]
    pub switch_off: Vec<Mechanism>,
    /// Incarnation to use in place of the start time.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

impl TestSettings {
    /// Returns whether a mechanism is on, as each one is outside of tests.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.switch_off.contains(&mechanism)
    }

    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        let in_test = env::var(TEST_MODE_VARIABLE).is_ok_and(|on| on == "1");
        let accepted = "nothing outside of tests";
        let found = format!("{:?}", self.switch_off);
        let allowed = in_test || self.switch_off.is_empty();
        InvalidValue::check(allowed, "test.switch_off", found, accepted)?;
        let allowed = in_test || self.incarnation.is_none();
        InvalidValue::check(
            allowed,
            "test.incarnation",
            format!("{:?}", self.incarnation),
            accepted,
        )
    }
}
