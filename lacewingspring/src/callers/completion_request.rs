//! The body of a completions call.

use serde::{Deserialize, de::IgnoredAny};

use crate::{
    entry::Body,
    upstreams::sampling::{Sampling, Stop},
};

/// Output tokens of a request that names no maximum.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of a completions call. A field that is not here is refused: dropped without a word, it
/// would change the answer.
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
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Returns which field can't be taken, and what is accepted.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let req: Self = serde_path_to_error::deserialize(&mut de).map_err(|e| e.to_string())?;
        de.end().map_err(|e| e.to_string())?;
        let single = |value: Option<u32>| value.is_none_or(|value| value == 1);
        let faults = [
            (!single(req.n), "n must be 1"),
            (!single(req.best_of), "best_of must be 1"),
            (req.echo == Some(true), "echo must be false"),
        ];
        let fault = faults.into_iter().find_map(|(found, accepted)| found.then_some(accepted));
        match fault.or_else(|| req.sampling().fault()) {
            Some(accepted) => Err(accepted.to_owned()),
            None => Ok(req),
        }
    }

    /// Returns what is to be run.
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
