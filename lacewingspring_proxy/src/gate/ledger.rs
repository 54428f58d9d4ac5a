//! Hands the usage of the workspaces' limits on to the next gate.
//!
//! The gate sends the usage to some instances, at once when much of a limit was used, and these
//! report it to the next gate. It also stores the usage in the key-value service. As the service
//! counts its calls, and that copy is needed only if all instances end together, it is written at
//! most twice a second.

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

/// Key of the stored usage.
const USAGE_KEY: &str = "lacewingspring/usage";

/// Interval at which the usage is published if little of the limits is used.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum time between writes to the key-value service while much of the limits is used.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the checks whether this instance is the gate and whether the usage is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Publishes and stores the usage of the workspaces' limits while this instance is the gate.
pub struct UsageLedger<S> {
    /// The key-value service.
    pub store: Arc<S>,
    /// Gate host of this instance.
    pub host: Arc<GateHost>,
}

impl<S> UsageLedger<S>
where
    S: Store,
{
    /// Loads the stored usage when this instance becomes the gate, and publishes and stores the
    /// usage while it is. Never returns.
    pub async fn run(self) {
        loop {
            while !self.host.serves_majority() {
                sleep(CHECK_INTERVAL).await;
            }
            self.load_usage().await;
            let mut written = Vec::new();
            let mut written_in = self.store.era();
            let mut written_at = Duration::ZERO;
            while self.host.serves_majority() {
                self.wait_until_due().await;
                let now = clock::now();
                let usage = self.host.publish_usage(now);
                if self.store.era() != written_in {
                    // A service restored from a copy has an older usage.
                    written.clear();
                }
                if usage != written && now.saturating_sub(written_at) >= MIN_WRITE_INTERVAL {
                    written_at = now;
                    match self.write(&usage).await {
                        Ok(()) => (written, written_in) = (usage, self.store.era()),
                        Err(e) => warn!(
                            error:% = e;
                            "Storing the usage of limits failed; trying again later."
                        ),
                    }
                }
            }
        }
    }

    /// Waits until the usage is due: after the regular interval, or as soon as much of a limit was
    /// used.
    async fn wait_until_due(&self) {
        let until = clock::now() + PUBLISH_INTERVAL;
        while clock::now() < until && !self.host.is_usage_due() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn load_usage(&self) {
        while self.host.serves_majority() {
            match self.read().await {
                Ok(usage) => {
                    info!(workspaces = usage.len(); "The stored usage of limits is loaded.");
                    self.host.import_usage(clock::now(), &usage);
                    return;
                }
                Err(e) => {
                    warn!(error:% = e; "Reading the stored usage of limits failed; trying again.");
                    sleep(CHECK_INTERVAL).await;
                }
            }
        }
    }

    async fn read(&self) -> Result<Vec<StoredUsage>, StoreError> {
        let page = timeout(CALL_TIMEOUT, self.store.range(USAGE_KEY, None)).await;
        let page = page.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        let Some(item) = page.items.first() else { return Ok(Vec::new()) };
        serde_json::from_slice(&item.value).map_err(|e| StoreError::Malformed(e.to_string()))
    }

    async fn write(&self, usage: &[StoredUsage]) -> Result<(), StoreError> {
        let value = serde_json::to_vec(usage);
        let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let put = timeout(CALL_TIMEOUT, self.store.put(USAGE_KEY, Bytes::from(value), None)).await;
        put.map_err(|_| StoreError::NoAnswer("timed out".into()))?
    }
}
