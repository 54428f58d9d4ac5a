//! Services to which callers send requests.

use serde::{Deserialize, Serialize};

use crate::names::{PoolName, TierName};

/// A service, which callers name in each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Protocol between callers, instances and upstreams.
    pub protocol: ServiceProtocol,
    /// Engine pool that runs the requests.
    pub pool: PoolName,
    /// Priority tier of the requests.
    pub tier: TierName,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Fields of the JSON body that, together with the key, identify the act of a non-idempotent
    /// request.
    #[serde(default)]
    pub act_fields: Vec<String>,
    /// Expected output of a request that sets no maximum, in tokens.
    #[serde(default = "default_expected_tokens")]
    pub expected_tokens: u32,
}

const fn default_expected_tokens() -> u32 {
    256
}

/// Protocol of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceProtocol {
    /// OpenAI completions with server-sent events.
    Completions,
    /// Plain HTTP requests, forwarded unchanged.
    Plain,
}
