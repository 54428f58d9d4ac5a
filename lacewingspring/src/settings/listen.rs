//! Addresses that the daemon listens on.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{Fault, check_port};

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct ListenSettings {
    /// TCP address for callers and operators.
    pub callers: SocketAddr,
    /// UDP address for other instances.
    pub peers: SocketAddr,
    /// UDP address that other instances are told; that of `peers` when it is not given.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
}

impl ListenSettings {
    pub(super) fn check(&self) -> Result<(), Fault> {
        check_port("listen.callers", self.callers)?;
        check_port("listen.peers", self.peers)?;
        check_port("listen.advertised_peers", self.peers_as_told())
    }

    /// Returns the UDP address that other instances are told.
    pub fn peers_as_told(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}
