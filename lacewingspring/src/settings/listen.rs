//! Addresses that the daemon listens on.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{InvalidValue, check_port};

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct ListenSettings {
    /// TCP address for callers and operators.
    pub callers: SocketAddr,
    /// UDP address for other instances.
    pub peers: SocketAddr,
    /// UDP address that is advertised to other instances; `peers` if it is absent.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
}

impl ListenSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        check_port("listen.callers", self.callers)?;
        check_port("listen.peers", self.peers)?;
        check_port("listen.advertised_peers", self.advertised_peer_address())
    }

    /// Returns the UDP address that is advertised to other instances.
    pub fn advertised_peer_address(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}
