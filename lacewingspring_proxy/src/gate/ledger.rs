//! Tells and stores what was given out of the limits of workspaces, for the next gate.
//!
//! Instances are told at once when much was given out. The store, which counts calls, is needed
//! only when all instances end together, and is written at most twice a second.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lacewingspring_core::dispatch::StoredUsage;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use super::host::GateHost;
use crate::{
    clock,
    store::{Store, StoreError},
};

/// Key of what was taken.
const KEY: &str = "lacewingspring/usage";

/// Time between writes.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest time between writes, when much is given out.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time between looks whether this instance decides for the fleet and how much it gave out.
const CHECK: Duration = Duration::from_millis(100);

/// Time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Stores what was taken from the limits of workspaces.
pub struct UsageLedger<S> {
    /// The key-value service.
    pub store: Arc<S>,
    /// The gate of this instance.
    pub host: Arc<GateHost>,
}

impl<S> UsageLedger<S>
where
    S: Store,
{
    /// Reads the usage when this instance begins to decide for the fleet, and writes it while it
    /// does.
    pub async fn run(self) {
        loop {
            while !self.host.is_main() {
                sleep(CHECK).await;
            }
            self.take_over().await;
            let mut written = Vec::new();
            let mut written_at = Duration::ZERO;
            while self.host.is_main() {
                self.next_tell().await;
                let now = clock::now();
                let usage = self.host.tell_usage(now);
                if usage != written && now.saturating_sub(written_at) >= SHORTEST_INTERVAL {
                    written_at = now;
                    match self.write(&usage).await {
                        Ok(()) => written = usage,
                        Err(e) => warn!(error:% = e; "The usage of limits was not stored."),
                    }
                }
            }
        }
    }

    /// Waits until the usage is to be told: regularly, and at once when much was given out.
    async fn next_tell(&self) {
        let until = clock::now() + INTERVAL;
        while clock::now() < until && !self.host.must_tell_usage() {
            sleep(CHECK).await;
        }
    }

    async fn take_over(&self) {
        while self.host.is_main() {
            match self.read().await {
                Ok(usage) => {
                    info!(workspaces = usage.len(); "The usage of limits is taken over.");
                    self.host.learn_usage(clock::now(), &usage);
                    return;
                }
                Err(e) => {
                    warn!(error:% = e; "The usage of limits is not known.");
                    sleep(CHECK).await;
                }
            }
        }
    }

    async fn read(&self) -> Result<Vec<StoredUsage>, StoreError> {
        let page = timeout(CALL_TIMEOUT, self.store.range(KEY, None)).await;
        let page = page.map_err(|_| StoreError::NoAnswer("time is up".into()))??;
        let Some(item) = page.items.first() else { return Ok(Vec::new()) };
        serde_json::from_slice(&item.value).map_err(|e| StoreError::Malformed(e.to_string()))
    }

    async fn write(&self, usage: &[StoredUsage]) -> Result<(), StoreError> {
        let value = serde_json::to_vec(usage);
        let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let put = timeout(CALL_TIMEOUT, self.store.put(KEY, Bytes::from(value), None)).await;
        put.map_err(|_| StoreError::NoAnswer("time is up".into()))?
    }
}
