//! Addresses of the instances that callers may use.

use std::net::SocketAddr;

use lacewingspring_core::names::DataCentreName;
use serde::Serialize;

use super::{Call, reply::Reply};
use crate::daemon::Node;

/// Query parameter that names the data centre of the caller.
const DATA_CENTRE: &str = "data_centre=";

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

/// Returns the addresses of the instances that are not leaving and prefers the data centre of the
/// caller. A caller that names none is treated as in the data centre of this instance.
pub fn get(node: &Node, call: &Call<'_>) -> Reply {
    let named = call.head.uri().query().unwrap_or_default().split('&');
    let named = named.filter_map(|pair| pair.strip_prefix(DATA_CENTRE)).next();
    let nearest = named.map_or_else(|| node.settings.data_centre.clone(), DataCentreName::from);
    let addresses = node.fleet.addresses(&nearest).into_iter().map(|found| Address {
        address: found.address,
        data_centre: found.data_centre,
        weight: found.weight,
    });
    let ttl_ms = node.settings.timing.address_ttl_ms;
    Reply::json(200, &Addresses { ttl_ms, addresses: addresses.collect() })
}
