//! What an upstream says of itself.

use std::net::SocketAddr;

use crate::names::{DataCentreName, ServiceName, UpstreamName};

/// An upstream that is known to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Name; each start of the upstream may bring a new one.
    pub name: UpstreamName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that fit in its memory; unbounded for plain services.
    pub memory_tokens: u64,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Start of its process in Unix milliseconds; tells two lives of one name apart.
    pub started_at_ms: u64,
}
