//! Records of software versions in the key-value service, one key a version.
//!
//! Several gates may write at the same time, each after a freeze or a cut. As each key says the
//! same whoever writes it, a late write takes nothing away.

use std::time::Duration;

use bytes::Bytes;
use lacewingspring_core::{
    dispatch::ServedVersion,
    names::{ServiceName, SoftwareVersion},
};
use log::warn;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::store::{Era, Item, Store, StoreError};

/// Prefix of the keys.
const PREFIX: &str = "lacewingspring/versions/";

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Value of a key.
#[derive(Debug, Serialize, Deserialize)]
struct VersionRecord {
    service: ServiceName,
    software: SoftwareVersion,
    /// Era in which it was written.
    era: Era,
    /// Whether no upstream of the version has been registered for as long as a caller may return.
    has_left: bool,
}

/// The recorded versions at which streams may have begun.
#[derive(Debug, Default)]
pub(super) struct LoadedVersions {
    /// All versions of their services.
    pub complete: Vec<ServedVersion>,
    /// Versions of services of which others may be lost: the key-value service was restored from an
    /// older copy, and they were not all written again since.
    pub incomplete: Vec<ServedVersion>,
}

/// Writes the record of a version.
pub(super) async fn write<S>(
    store: &S,
    version: &ServedVersion,
    has_left: bool,
) -> Result<(), StoreError>
where
    S: Store,
{
    let ServedVersion { service, software, .. } = version;
    let key = format!("{PREFIX}{service}/{software}");
    let (service, software) = (service.clone(), software.clone());
    let record = VersionRecord { service, software, era: store.era(), has_left };
    let value = serde_json::to_vec(&record);
    let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
    let put = timeout(CALL_TIMEOUT, store.put(&key, Bytes::from(value), None)).await;
    put.map_err(|_| StoreError::NoAnswer("timed out".into()))?
}

/// Reads all records.
pub(super) async fn load<S>(store: &S) -> Result<LoadedVersions, StoreError>
where
    S: Store,
{
    let mut records: Vec<VersionRecord> = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = timeout(CALL_TIMEOUT, store.range(PREFIX, after.as_deref())).await;
        let page = page.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        records.extend(page.items.iter().filter_map(parse));
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok(sort(store.era(), &records));
        }
    }
}

fn parse(item: &Item) -> Option<VersionRecord> {
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some(record),
        Err(e) => {
            warn!(
                key = item.key.as_str(), error:% = e;
                "The record of a software version can't be parsed; it is ignored."
            );
            None
        }
    }
}

fn sort(era: Era, records: &[VersionRecord]) -> LoadedVersions {
    let mut loaded = LoadedVersions::default();
    let serving = || records.iter().filter(|record| !record.has_left);
    for record in serving() {
        let is_older = |other: &VersionRecord| other.service == record.service && other.era < era;
        let versions =
            if serving().any(is_older) { &mut loaded.incomplete } else { &mut loaded.complete };
        let (service, software) = (record.service.clone(), record.software.clone());
        versions.push(ServedVersion { service, software, age_ms: 0 });
    }
    loaded
}
