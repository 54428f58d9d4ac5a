//! What callers know of the fleet's addresses, by the callers' data centre.

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
    client::{Send, control},
    scenario::Deployment,
};

/// Longest wait for an answer with addresses.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which addresses are kept when no instance answers.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Addresses as an instance tells them.
#[derive(Deserialize)]
struct Told {
    ttl_ms: u64,
    addresses: Vec<Weighted>,
}

/// Address with its weight.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Weighted {
    address: SocketAddr,
    weight: u32,
}

/// Addresses that the callers of one data centre know.
#[derive(Debug)]
struct Book {
    known: Vec<Weighted>,
    expires: Instant,
}

/// Addresses that callers know, by data centre.
#[derive(Debug)]
pub struct AddressBooks {
    books: Vec<Mutex<Book>>,
    /// Names of the data centres.
    data_centres: Vec<String>,
    /// Instances by data centre, which callers know beforehand.
    listed: Vec<(SocketAddr, usize)>,
}

impl AddressBooks {
    /// Makes books that are filled at their first use.
    pub fn new(deployment: &Deployment) -> Self {
        let empty = || Mutex::new(Book { known: Vec::new(), expires: Instant::now() });
        let centre_of = |name: &str| deployment.data_centres.iter().position(|c| c == name);
        let instances = deployment.instances();
        let listed = instances.iter().filter_map(|i| Some((i.address, centre_of(i.data_centre)?)));
        Self {
            books: deployment.data_centres.iter().map(|_| empty()).collect(),
            data_centres: deployment.data_centres.clone(),
            listed: listed.collect(),
        }
    }

    /// Chooses an address by weight, not one of `avoid` if there is another.
    pub async fn choose(
        &self,
        home: usize,
        rng: &mut Pcg64,
        avoid: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let mut book = self.books[home].lock().await;
        if book.expires <= Instant::now() {
            self.refresh(&mut book, home, rng).await;
        }
        let others: Vec<_> = book.known.iter().filter(|w| !avoid.contains(&w.address)).collect();
        let total: u32 = others.iter().map(|weighted| weighted.weight).sum();
        if total == 0 {
            return book.known.first().map(|weighted| weighted.address);
        }
        let mut left = rng.random_range(0..total);
        for weighted in others {
            if left < weighted.weight {
                return Some(weighted.address);
            }
            left -= weighted.weight;
        }
        None
    }

    /// Tells whether an instance is in a data centre.
    pub fn is_in(&self, address: SocketAddr, home: usize) -> bool {
        self.listed.contains(&(address, home))
    }

    async fn refresh(&self, book: &mut Book, home: usize, rng: &mut Pcg64) {
        let mut asked = self.listed.clone();
        asked.shuffle(rng);
        asked.sort_by_key(|(_, centre)| *centre != home);
        for (address, _) in asked {
            let Some(told) = lookup(address, &self.data_centres[home]).await else { continue };
            book.known = told.addresses;
            book.expires = Instant::now() + Duration::from_millis(told.ttl_ms);
            return;
        }
        book.expires = Instant::now() + RETRY_INTERVAL;
    }
}

async fn lookup(address: SocketAddr, data_centre: &str) -> Option<Told> {
    let send = Send::new("GET", format!("/v1/addresses?data_centre={data_centre}"));
    let reply: Option<Value> = timeout(LOOKUP_TIMEOUT, control(address, send)).await.ok()?;
    let told: Told = serde_json::from_value(reply?).ok()?;
    (!told.addresses.is_empty()).then_some(told)
}
