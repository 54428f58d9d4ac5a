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
    /// Role of the engines, such as prefill or decode; empty for any work.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub role: String,
    /// Whether the fleet orders the engines to serve model, adapter, version and role.
    #[serde(default, skip_serializing_if = "is_false")]
    pub managed: bool,
    /// Engines that a roll-out may take out of service at once.
    #[serde(default = "default_at_once", skip_serializing_if = "is_default_at_once")]
    pub at_once: u32,
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

const fn default_at_once() -> u32 {
    1
}

fn is_default_at_once(at_once: &u32) -> bool {
    *at_once == default_at_once()
}

fn is_false(value: &bool) -> bool {
    !value
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
