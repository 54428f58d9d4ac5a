//! Parses the body of a completions call.

use serde::{Deserialize, de::IgnoredAny};

use crate::{
    entry::Body,
    upstreams::sampling::{Sampling, Stop},
};

/// Maximum number of output tokens of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of a completions call. Unknown fields are refused, since a silently ignored one could
/// change the answer.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct CompletionRequest {
    /// Name of the service.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: Option<bool>,
    prompt: String,
    max_tokens: Option<u32>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    presence_penalty: Option<f64>,
    frequency_penalty: Option<f64>,
    seed: Option<i64>,
    stop: Option<Stop>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    #[serde(rename = "user")]
    _user: Option<IgnoredAny>,
}

impl CompletionRequest {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns a message that names the field that is not accepted, and its accepted values.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let req: Self = serde_path_to_error::deserialize(&mut de).map_err(|e| e.to_string())?;
        de.end().map_err(|e| e.to_string())?;
        let is_one_or_unset = |value: Option<u32>| value.is_none_or(|value| value == 1);
        let faults = [
            (!is_one_or_unset(req.n), "n must be 1"),
            (!is_one_or_unset(req.best_of), "best_of must be 1"),
            (req.echo == Some(true), "echo must be false"),
        ];
        let fault = faults.into_iter().find_map(|(found, accepted)| found.then_some(accepted));
        match fault.or_else(|| req.sampling().fault()) {
            Some(accepted) => Err(accepted.to_owned()),
            None => Ok(req),
        }
    }

    /// Converts the request to the body of a run.
    pub fn into_body(self) -> Body {
        let sampling = self.sampling();
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Body::Completion { prompt: self.prompt, max_tokens, sampling }
    }

    fn sampling(&self) -> Sampling {
        Sampling {
            temperature: self.temperature,
            top_p: self.top_p,
            presence_penalty: self.presence_penalty,
            frequency_penalty: self.frequency_penalty,
            seed: self.seed,
            stop: self.stop.clone(),
        }
    }
}
