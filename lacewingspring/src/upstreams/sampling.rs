//! How an engine chooses tokens, in the words of the OpenAI completions call.

use serde::{Deserialize, Serialize};

/// Most texts that end an answer.
const MAX_STOPS: usize = 4;

/// How an engine chooses tokens; what is absent is left to the engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sampling {
    /// Spread of the choice, 0 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Share of probability that is chosen from, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Penalty of tokens that were there before, -2 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub presence_penalty: Option<f64>,
    /// Penalty of tokens by their count so far, -2 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frequency_penalty: Option<f64>,
    /// Seed of the choice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<i64>,
    /// Texts that end the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop: Option<Stop>,
}

/// Texts that end an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged, expecting = "one text or a list of them")]
pub enum Stop {
    /// One text.
    One(String),
    /// Several texts.
    Many(Vec<String>),
}

impl Sampling {
    /// Returns the first field that is out of range, with what is accepted.
    pub fn fault(&self) -> Option<&'static str> {
        let out_of = |value: Option<f64>, low: f64, high: f64| {
            value.is_some_and(|value| !(low..=high).contains(&value))
        };
        let stops = match &self.stop {
            Some(Stop::Many(texts)) => texts.len(),
            _ => 0,
        };
        let faults = [
            (out_of(self.temperature, 0.0, 2.0), "temperature must be 0 to 2"),
            (out_of(self.top_p, 0.0, 1.0), "top_p must be 0 to 1"),
            (out_of(self.presence_penalty, -2.0, 2.0), "presence_penalty must be -2 to 2"),
            (out_of(self.frequency_penalty, -2.0, 2.0), "frequency_penalty must be -2 to 2"),
            (stops > MAX_STOPS, "stop must be at most 4 texts"),
        ];
        faults.into_iter().find_map(|(out, accepted)| out.then_some(accepted))
    }
}
