//! Sampling parameters of the OpenAI completions call.

use serde::{Deserialize, Serialize};

/// Most stop sequences of a request.
const MAX_STOPS: usize = 4;

/// Sampling parameters; the engine applies its default for an absent one.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sampling {
    /// Sampling temperature, 0 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Probability mass of nucleus sampling, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Penalty for tokens that occurred before, -2 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub presence_penalty: Option<f64>,
    /// Penalty for tokens in proportion to their count so far, -2 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frequency_penalty: Option<f64>,
    /// Seed of the random number generator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<i64>,
    /// Stop sequences, which end the output.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop: Option<Stop>,
}

/// Stop sequences, which end the output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged, expecting = "one text or a list of them")]
pub enum Stop {
    /// One stop sequence.
    One(String),
    /// A list of stop sequences.
    Many(Vec<String>),
}

impl Sampling {
    /// Returns an error text with the accepted range of the first field that is out of range.
    pub fn fault(&self) -> Option<&'static str> {
        let is_outside = |value: Option<f64>, low: f64, high: f64| {
            value.is_some_and(|value| !(low..=high).contains(&value))
        };
        let stops = match &self.stop {
            Some(Stop::Many(texts)) => texts.len(),
            _ => 0,
        };
        let checks = [
            (is_outside(self.temperature, 0.0, 2.0), "temperature must be 0 to 2"),
            (is_outside(self.top_p, 0.0, 1.0), "top_p must be 0 to 1"),
            (is_outside(self.presence_penalty, -2.0, 2.0), "presence_penalty must be -2 to 2"),
            (is_outside(self.frequency_penalty, -2.0, 2.0), "frequency_penalty must be -2 to 2"),
            (stops > MAX_STOPS, "stop must be at most 4 texts"),
        ];
        checks.into_iter().find_map(|(is_out, text)| is_out.then_some(text))
    }
}
