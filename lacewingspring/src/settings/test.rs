//! Mechanisms that a test switches off to show that its checks bite. Never for production.

use std::env;

use serde::Deserialize;

use super::Fault;

/// Environment variable without which the section is refused.
const ALLOWED: &str = "LACEWINGSPRING_TEST";

/// A mechanism that keeps a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// The claim of a non-idempotent request in the key-value service.
    Claim,
    /// The home of a key, asked before an idempotent dispatch.
    Home,
    /// The copy of a dispatch at the backup of a home.
    Backup,
    /// The check of the request id that an upstream echoes.
    LabelCheck,
    /// The check that a stream ends with its end marker.
    EndMarker,
    /// The wait of a leaving instance for what it runs.
    Drain,
    /// The watch for requests that crash upstreams.
    PoisonWatch,
    /// The look of a pool controller at its lease, by its own clock, before each order.
    LeaseClock,
    /// The wait of a roll-out until nothing runs on an engine.
    EngineDrain,
    /// The halt of a roll-out after a failed load.
    RollOutHalt,
    /// The orders that repeat until the engines serve what is declared.
    Reconcile,
    /// The slots that loads of weights need, over the fleet.
    LoadSlots,
}

/// Section `test` of the settings, for tests alone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct TestSettings {
    /// Mechanisms that are switched off.
    #[serde(default)]
    pub switch_off: Vec<Mechanism>,
    /// Number of the incarnation in place of the time of the start.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

impl TestSettings {
    /// Returns whether a mechanism works, as it does outside of tests.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.switch_off.contains(&mechanism)
    }

    pub(super) fn check(&self) -> Result<(), Fault> {
        let in_test = env::var(ALLOWED).is_ok_and(|on| on == "1");
        let accepted = "nothing outside of tests";
        let found = format!("{:?}", self.switch_off);
        let allowed = in_test || self.switch_off.is_empty();
        Fault::check(allowed, "test.switch_off", found, accepted)?;
        let allowed = in_test || self.incarnation.is_none();
        Fault::check(allowed, "test.incarnation", format!("{:?}", self.incarnation), accepted)
    }
}
