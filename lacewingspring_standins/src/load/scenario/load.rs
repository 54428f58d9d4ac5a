//! Load of a scenario: arrivals, retries, faults and kills.

use serde::Deserialize;
use serde_json::Value;

/// Load that a scenario puts on its deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Duration of the arrivals, in seconds.
    pub duration_s: f64,
    /// Mean arrival rate outside bursts, in requests per second.
    pub rate: f64,
    /// Bursts; where some overlap, the highest factor applies.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Callers that repeat late requests.
    #[serde(default)]
    pub repeats: Repeats,
    /// Most attempts of a caller whose request is refused or whose response is lost.
    pub tries: u32,
    /// Faults to inject into stand-ins.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Instances to kill; the script that runs the scenario kills them.
    #[serde(default)]
    pub kills: Vec<Kill>,
}

/// Period with a higher arrival rate.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds since the start of the load.
    pub from_s: f64,
    /// End, in seconds since the start of the load.
    pub until_s: f64,
    /// Multiplier of the arrival rate.
    pub factor: f64,
}

/// Callers that send a late request again, with the same key, to another address.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeats {
    /// Share of the callers that do so, 0 to 1.
    pub share: f64,
    /// Time without any output after which they repeat the request, in milliseconds.
    pub after_ms: u64,
}

/// Scheduled fault of a stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Name of the stand-in: `engine-N`, `plain-N`, `key-value` or `instance-list`.
    pub stand_in: String,
    /// Body of the `PUT /faults` request.
    pub faults: Value,
}

/// Scheduled kill of an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Index of the instance.
    pub instance: usize,
}

impl Load {
    /// Multiplier of the arrival rate at a time since the start of the load, in seconds.
    pub fn rate_factor(&self, at_s: f64) -> f64 {
        let active =
            self.bursts.iter().filter(|burst| (burst.from_s..burst.until_s).contains(&at_s));
        active.map(|burst| burst.factor).fold(1.0, f64::max)
    }
}
