//! Stores quarantine verdicts in the key-value service, so that they outlive a replacement of the
//! whole fleet.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    catalog::digest_hex,
    poison::{PoisonConfig, VerdictReport},
};
use tokio::time::sleep;

use crate::{
    clock,
    daemon::Node,
    platform::key_value::{KeyValue, KeyValueError, Purpose, Put},
};

/// Folder of the verdict keys, below the configured prefix.
const FOLDER: &str = "poison/";

/// Time between two attempts to read or write verdicts.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Most attempts to write one verdict.
const MAX_WRITES: usize = 100;

/// Merges the stored verdicts into the detector; retries until the read succeeds.
pub async fn read_stored(node: Arc<Node>) {
    let folder = format!("{}{FOLDER}", node.settings.key_value.prefix);
    loop {
        match verdict_store(&node).range(&folder).await {
            Ok(reply) => {
                let reports = reply.entries.iter();
                let reports = reports.filter_map(|entry| serde_json::from_slice(&entry.value).ok());
                let reports: Vec<VerdictReport> = reports.collect();
                let mut detector = node.poison.detector();
                detector.merge_reports(clock::now(), &reports);
                // Discards the reports that the merge queued: each instance reads the store itself.
                detector.take_reports();
                return;
            }
            Err(e) => log::warn!(reason:% = e; "Could not read the stored verdicts; retrying."),
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Stores one verdict under a lease that expires with the quarantine; retries failed writes.
pub(super) async fn store(node: Arc<Node>, report: VerdictReport) {
    for _ in 0..MAX_WRITES {
        match write(&node, &report).await {
            Ok(()) => return,
            Err(e) => {
                log::warn!(
                    reason:% = e;
                    "Could not store a quarantine verdict; retrying, at most 100 times."
                )
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

fn verdict_store(node: &Node) -> KeyValue {
    node.store.with_purpose(Purpose::Poison)
}

async fn write(node: &Node, report: &VerdictReport) -> Result<(), KeyValueError> {
    let Ok(value) = serde_json::to_vec(report) else { return Ok(()) };
    let fingerprint = serde_json::to_vec(&report.fingerprint).unwrap_or_default();
    let name = &digest_hex(&fingerprint)[..16];
    let key = format!("{}{FOLDER}{name}", node.settings.key_value.prefix);
    let store = verdict_store(node);
    let lease = store.lease_grant(PoisonConfig::default().quarantine_ttl).await?;
    store.put(Put::new(key, value).with_lease(lease)).await?;
    Ok(())
}
