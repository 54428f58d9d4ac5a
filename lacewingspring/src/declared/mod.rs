//! Declared resources, followed in the key-value service.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use lacewingspring_core::{catalog::Catalog, resources::Resource};
use tokio::time::sleep;

use crate::platform::key_value::{KeyValue, RangeReply};

/// Time between two reads of the resources.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Declared resources in force at this instance.
#[derive(Debug)]
pub struct DeclaredStore {
    catalog: ArcSwap<Catalog>,
}

impl DeclaredStore {
    /// Starts following the resources. Must be called within a tokio runtime.
    pub fn start(store: KeyValue, prefix: &str) -> Arc<Self> {
        let declared = Arc::new(Self { catalog: ArcSwap::default() });
        tokio::spawn(follow(declared.clone(), store, format!("{prefix}resources/")));
        declared
    }

    /// Returns the resources in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.load_full()
    }

    fn apply(&self, reply: &RangeReply) {
        let newest = reply.entries.iter().map(|entry| entry.mod_revision).max().unwrap_or(0);
        let generation = newest.unsigned_abs();
        if generation <= self.catalog.load().generation {
            return;
        }
        let resources = reply.entries.iter();
        let resources = resources.filter_map(|entry| serde_json::from_slice(&entry.value).ok());
        let resources: Vec<Resource> = resources.collect();
        log::info!(generation, resources = resources.len(); "Applies resources.");
        self.catalog.store(Arc::new(Catalog::new(generation, &resources)));
    }
}

async fn follow(declared: Arc<DeclaredStore>, store: KeyValue, prefix: String) {
    loop {
        match store.range(&prefix).await {
            Ok(reply) => declared.apply(&reply),
            Err(e) => log::warn!(reason:% = e; "Could not read the resources."),
        }
        sleep(READ_INTERVAL).await;
    }
}
