//! Services that callers address.

use serde::{Deserialize, Serialize};

use crate::names::{PoolName, TierName};

/// A service: what callers name in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Protocol of the service.
    pub protocol: ServiceProtocol,
    /// Engine pool that runs the requests.
    pub pool: PoolName,
    /// Tier of the requests.
    pub tier: TierName,
    /// Whether a request may be run again without harm.
    pub idempotent: bool,
    /// Fields of a JSON body that identify the act, besides the key.
    #[serde(default)]
    pub act_fields: Vec<String>,
    /// Output tokens expected of a request that names no maximum.
    #[serde(default = "default_expected_tokens")]
    pub expected_tokens: u32,
}

const fn default_expected_tokens() -> u32 {
    256
}

/// Protocol spoken with the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceProtocol {
    /// OpenAI completions with server-sent events.
    Completions,
    /// Plain HTTP calls, passed on as they are.
    Plain,
}
