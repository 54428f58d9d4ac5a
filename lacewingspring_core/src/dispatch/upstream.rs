//! What an upstream announces about itself.

use std::net::SocketAddr;

use crate::names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName};

/// An upstream that is known to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Name of the upstream; a restart may change it.
    pub name: UpstreamName,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Version of its software; empty if its entry states none.
    pub software: SoftwareVersion,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Number of tokens that fit in its memory; unbounded for plain services.
    pub memory_tokens: u64,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Start of its process in Unix milliseconds, which distinguishes restarts under the same name.
    pub started_at_ms: u64,
}
