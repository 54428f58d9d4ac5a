//! Records of software versions in the key-value service, one key a version.
//!
//! Several gates may write at the same time, each after a freeze or a cut. Each write names the
//! revision that it replaces, so that a late one does not take back what was written after it: that
//! a version has left, or that it is back.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use lacewingspring_core::{
    dispatch::ServedVersion,
    names::{ServiceName, SoftwareVersion},
};
use log::warn;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::store::{Era, Item, Revision, Store, StoreError};

/// Prefix of the keys.
const PREFIX: &str = "lacewingspring/versions/";

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Value of a key.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
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

/// Revisions of the records by their keys, as they were read or written last.
#[derive(Debug, Default)]
pub(super) struct RecordRevisions {
    /// Era of the revisions.
    era: Era,
    by_key: HashMap<String, Revision>,
}

impl RecordRevisions {
    /// Returns the revision of a record in an era; `None` if it does not exist.
    fn get(&self, era: Era, key: &str) -> Option<Revision> {
        self.by_key.get(key).copied().filter(|_| self.era == era)
    }

    fn set(&mut self, era: Era, key: &str, revision: Option<Revision>) {
        if self.era != era {
            *self = Self { era, by_key: HashMap::new() };
        }
        match revision {
            Some(revision) => self.by_key.insert(key.to_owned(), revision),
            None => self.by_key.remove(key),
        };
    }
}

/// Writes the record of a version.
///
/// # Errors
///
/// Fails if the service does not answer, or if another gate has written the record otherwise; its
/// revision is noted then.
pub(super) async fn write<S>(
    store: &S,
    revisions: &mut RecordRevisions,
    version: &ServedVersion,
    has_left: bool,
) -> Result<(), StoreError>
where
    S: Store,
{
    let ServedVersion { service, software, .. } = version;
    let key = format!("{PREFIX}{service}/{software}");
    let (service, software, era) = (service.clone(), software.clone(), store.era());
    let record = VersionRecord { service, software, era, has_left };
    let value = serde_json::to_vec(&record);
    let value = Bytes::from(value.map_err(|e| StoreError::Malformed(e.to_string()))?);
    let put = store.put_if(&key, value, revisions.get(era, &key), None);
    let put = timeout(CALL_TIMEOUT, put).await;
    match put.map_err(|_| StoreError::NoAnswer("timed out".into()))? {
        Ok(revision) => {
            revisions.set(era, &key, Some(revision));
            Ok(())
        }
        Err(StoreError::Conflict(present)) => {
            revisions.set(era, &key, present.as_ref().map(|item| item.revision));
            let is_written = present.as_ref().and_then(parse).is_some_and(|other| other == record);
            if is_written { Ok(()) } else { Err(StoreError::Conflict(present)) }
        }
        Err(e) => Err(e),
    }
}

/// Reads all records, and notes their revisions. Nothing is kept of keys that can't be parsed, so
/// that a list of these without end needs no memory.
pub(super) async fn load<S>(store: &S) -> Result<(LoadedVersions, RecordRevisions), StoreError>
where
    S: Store,
{
    let mut records: Vec<VersionRecord> = Vec::new();
    let mut revisions = RecordRevisions::default();
    let mut after: Option<String> = None;
    loop {
        let page = timeout(CALL_TIMEOUT, store.range(PREFIX, after.as_deref())).await;
        let page = page.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        for item in &page.items {
            let Some(record) = parse(item) else { continue };
            revisions.set(page.revision.era, &item.key, Some(item.revision));
            records.push(record);
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok((sort(store.era(), &records), revisions));
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
