//! The load on a deployment.

use serde::Deserialize;
use serde_json::Value;

/// Load on a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Time over which requests arrive, in seconds.
    pub duration_s: f64,
    /// Mean arrivals a second outside of bursts.
    pub rate: f64,
    /// Bursts.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Callers that repeat late answers.
    #[serde(default)]
    pub repeats: Repeats,
    /// Tries of a caller that is refused or loses its answer.
    pub tries: u32,
    /// Faults of the stand-ins.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Instances that are killed by the script that runs the scenario.
    #[serde(default)]
    pub kills: Vec<Kill>,
}

/// Time with more arrivals.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub from_s: f64,
    /// End, in seconds.
    pub until_s: f64,
    /// Factor on the rate.
    pub factor: f64,
}

/// Callers that repeat a late request with the same key at another address.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeats {
    /// Share of the callers, 0 to 1.
    pub share: f64,
    /// Time without any part of an answer after which they repeat, in milliseconds.
    pub after_ms: u64,
}

/// Fault of a stand-in on a schedule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// `engine-N`, `plain-N`, `key-value` or `instance-list`.
    pub stand_in: String,
    /// Body of `PUT /faults`.
    pub faults: Value,
}

/// Instance that is killed on a schedule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Index of the instance.
    pub instance: usize,
}

impl Load {
    /// Factor on the rate at a time in seconds.
    pub fn factor(&self, at_s: f64) -> f64 {
        let now = self.bursts.iter().filter(|burst| (burst.from_s..burst.until_s).contains(&at_s));
        now.map(|burst| burst.factor).fold(1.0, f64::max)
    }
}
