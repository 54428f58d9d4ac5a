//! Engine pools and their upstreams.

use serde::{Deserialize, Serialize};

use crate::names::{DataCentreName, UpstreamName};

/// A pool of upstreams of the same kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// Kind of the upstreams.
    #[serde(rename = "type")]
    pub kind: PoolKind,
    /// Model that the engines serve; empty for plain servers.
    #[serde(default)]
    pub model: String,
    /// Adapter that the engines serve; empty if there is none.
    #[serde(default)]
    pub adapter: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Role of the engines, such as prefill or decode; empty if they do all work.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub role: String,
    /// Whether a pool controller orders the engines to serve the declared model, adapter, version
    /// and role.
    #[serde(default, skip_serializing_if = "is_false")]
    pub managed: bool,
    /// Most engines that a roll-out may have out of service at a time.
    #[serde(default = "default_at_once", skip_serializing_if = "is_default_at_once")]
    pub at_once: u32,
    /// Upstreams of the pool.
    pub upstreams: Vec<UpstreamSpec>,
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Inference engines with continuous batching.
    Engine,
    /// Plain HTTP servers.
    Plain,
}

/// One upstream of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name of the upstream, unique across all pools.
    pub name: UpstreamName,
    /// Address as `IP:port`, unique across all pools.
    pub address: String,
    /// Data centre of the upstream.
    pub data_centre: DataCentreName,
    /// Requests that the upstream runs concurrently without queueing them.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prompt tokens that the upstream processes per second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_second: f64,
    /// Time between two output tokens of a stream, in milliseconds.
    #[serde(default = "default_decode_ms")]
    pub decode_ms: f64,
    /// Capacity of the KV memory, in tokens.
    #[serde(default = "default_kv_tokens")]
    pub kv_tokens: u64,
    /// Whether the upstream refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the upstream is leaving the pool and gets no new work.
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
