//! Engine pools and their upstreams.

use serde::{Deserialize, Serialize};

use crate::names::{DataCentreName, UpstreamName};

/// A pool of upstreams of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// What the upstreams are.
    #[serde(rename = "type")]
    pub kind: PoolKind,
    /// Model that the engines serve; empty for plain servers.
    #[serde(default)]
    pub model: String,
    /// Adapter that the engines serve; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Upstreams of the pool.
    pub upstreams: Vec<UpstreamSpec>,
}

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines with continuous batching.
    Engine,
    /// Plain servers.
    Plain,
}

/// One upstream of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name, unique over all pools.
    pub name: UpstreamName,
    /// Address as `IP:port`, unique over all pools.
    pub address: String,
    /// Data centre of the upstream.
    pub data_centre: DataCentreName,
    /// Requests that run at once without a queue forming in the upstream.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prompt tokens computed a second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_second: f64,
    /// Time between tokens of one stream, in milliseconds.
    #[serde(default = "default_decode_ms")]
    pub decode_ms: f64,
    /// Tokens that the KV memory holds.
    #[serde(default = "default_kv_tokens")]
    pub kv_tokens: u64,
    /// Whether the upstream refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the upstream no longer takes new work.
    #[serde(default)]
    pub leaving: bool,
}

const fn default_slots() -> u32 {
    16
}

const fn default_prefill() -> f64 {
    20_000.0
}

const fn default_decode_ms() -> f64 {
    10.0
}

const fn default_kv_tokens() -> u64 {
    200_000
}
