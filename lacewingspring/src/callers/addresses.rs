//! Which addresses callers may use.

use std::net::SocketAddr;

use lacewingspring_core::names::DataCentreName;
use serde::Serialize;

use super::reply::Reply;
use crate::daemon::Node;

/// Weight of an instance of the asked data centre.
const NEAR_WEIGHT: u32 = 100;

/// Weight of an instance of another data centre.
const FAR_WEIGHT: u32 = 1;

#[derive(Serialize)]
struct Addresses {
    ttl_ms: u64,
    addresses: Vec<Address>,
}

#[derive(Serialize)]
struct Address {
    address: SocketAddr,
    data_centre: DataCentreName,
    weight: u32,
}

/// Answers with the addresses of the instances that stay, the near ones preferred.
pub fn get(node: &Node) -> Reply {
    let near = &node.settings.data_centre;
    let members = node.fleet.members();
    let staying = members.iter().filter(|member| !member.leaving);
    let addresses = staying.map(|member| Address {
        address: member.callers,
        data_centre: member.data_centre.clone(),
        weight: if member.data_centre == *near { NEAR_WEIGHT } else { FAR_WEIGHT },
    });
    let ttl_ms = node.settings.timing.address_ttl_ms;
    Reply::json(200, &Addresses { ttl_ms, addresses: addresses.collect() })
}
