//! Cache of instance addresses that callers look up, one cache per data centre.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, seq::SliceRandom};
use rand_pcg::Pcg64;
use serde::Deserialize;
use serde_json::Value;
use tokio::{sync::Mutex, time::timeout};

use super::{
    client::{OutgoingRequest, exchange_json},
    scenario::Deployment,
};

/// Longest wait for an instance to answer an address lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the cached addresses stay in use after a lookup that no instance answered.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Response to an address lookup.
#[derive(Deserialize)]
struct AddressList {
    ttl_ms: u64,
    addresses: Vec<WeightedAddress>,
}

/// Instance address with its weight in the random choice.
#[derive(Clone, Copy, Debug, Deserialize)]
struct WeightedAddress {
    address: SocketAddr,
    weight: u32,
}

/// Addresses cached for the callers of one data centre.
#[derive(Debug)]
struct CachedAddresses {
    addresses: Vec<WeightedAddress>,
    expires: Instant,
}

/// Instance addresses that callers use, cached per data centre.
#[derive(Debug)]
pub struct AddressCache {
    /// One entry per data centre, in the order of the deployment.
    caches: Vec<Mutex<CachedAddresses>>,
    /// Names of the data centres, sent with a lookup.
    names: Vec<String>,
    /// Address and data-centre index of each instance: the bootstrap list for lookups.
    instances: Vec<(SocketAddr, usize)>,
}

impl AddressCache {
    /// Creates empty caches; the first use of each one triggers a lookup.
    pub fn new(deployment: &Deployment) -> Self {
        let empty =
            || Mutex::new(CachedAddresses { addresses: Vec::new(), expires: Instant::now() });
        let data_centre_index = |name: &str| deployment.data_centres.iter().position(|c| c == name);
        let instances = deployment.instances();
        let instances =
            instances.iter().filter_map(|i| Some((i.address, data_centre_index(i.data_centre)?)));
        Self {
            caches: deployment.data_centres.iter().map(|_| empty()).collect(),
            names: deployment.data_centres.clone(),
            instances: instances.collect(),
        }
    }

    /// Chooses a random address by weight for a caller in `data_centre`.
    ///
    /// Skips the addresses in `avoid` unless no other address with a weight is left.
    pub async fn choose(
        &self,
        data_centre: usize,
        rng: &mut Pcg64,
        avoid: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let mut cache = self.caches[data_centre].lock().await;
        if cache.expires <= Instant::now() {
            self.refresh(&mut cache, data_centre, rng).await;
        }
        let candidates: Vec<_> =
            cache.addresses.iter().filter(|w| !avoid.contains(&w.address)).collect();
        let total: u32 = candidates.iter().map(|weighted| weighted.weight).sum();
        if total == 0 {
            return cache.addresses.first().map(|weighted| weighted.address);
        }
        let mut remaining = rng.random_range(0..total);
        for weighted in candidates {
            if remaining < weighted.weight {
                return Some(weighted.address);
            }
            remaining -= weighted.weight;
        }
        None
    }

    /// Whether the instance at `address` is in `data_centre`.
    pub fn is_in_data_centre(&self, address: SocketAddr, data_centre: usize) -> bool {
        self.instances.contains(&(address, data_centre))
    }

    /// Looks the addresses up at a random instance, those of the same data centre first.
    async fn refresh(&self, cache: &mut CachedAddresses, data_centre: usize, rng: &mut Pcg64) {
        let mut instances = self.instances.clone();
        instances.shuffle(rng);
        instances.sort_by_key(|(_, centre)| *centre != data_centre);
        for (address, _) in instances {
            let Some(list) = fetch_list(address, &self.names[data_centre]).await else { continue };
            cache.addresses = list.addresses;
            cache.expires = Instant::now() + Duration::from_millis(list.ttl_ms);
            return;
        }
        cache.expires = Instant::now() + LOOKUP_RETRY_INTERVAL;
    }
}

async fn fetch_list(address: SocketAddr, data_centre: &str) -> Option<AddressList> {
    let request = OutgoingRequest::new("GET", format!("/v1/addresses?data_centre={data_centre}"));
    let reply: Option<Value> =
        timeout(LOOKUP_TIMEOUT, exchange_json(address, request)).await.ok()?;
    let list: AddressList = serde_json::from_value(reply?).ok()?;
    (!list.addresses.is_empty()).then_some(list)
}
