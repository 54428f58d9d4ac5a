//! A record in the key-value service, written when its value has changed.
//!
//! Each write names the revision that it replaces. So a write without an answer, which may be
//! executed seconds later, fails once a later one is acknowledged, and a gate that stood still does
//! not replace what another one has written meanwhile before it has noticed that.

use std::time::Duration;

use bytes::Bytes;
use log::warn;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::store::{Era, Revision, Store, StoreError};

/// Time limit of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A record whose default value need not be stored.
#[derive(Debug)]
pub(super) struct Record<T> {
    key: &'static str,
    /// Minimum time between two writes.
    min_write_interval: Duration,
    value: T,
    written: T,
    written_in: Era,
    written_at: Duration,
    /// Revision of the stored value; `None` if there is none.
    revision: Option<Revision>,
}

/// A value as it is stored.
#[derive(Debug)]
pub(super) struct Stored<T> {
    /// The value, the default one if there is none; `None` if it can't be parsed.
    pub value: Option<T>,
    /// Its revision; `None` if there is none.
    pub revision: Option<Revision>,
}

impl<T> Record<T>
where
    T: Clone + Default + PartialEq + Serialize + DeserializeOwned,
{
    /// Creates a record of which nothing was written, which is written once in each
    /// `min_write_interval` at most.
    pub(super) fn new(key: &'static str, min_write_interval: Duration) -> Self {
        Self {
            key,
            min_write_interval,
            value: T::default(),
            written: T::default(),
            written_in: Era::default(),
            written_at: Duration::ZERO,
            revision: None,
        }
    }

    /// Sets the revision of the stored value, which the next write replaces.
    pub(super) fn set_revision(&mut self, revision: Option<Revision>) {
        self.revision = revision;
    }

    /// Sets the value to write.
    pub(super) fn set(&mut self, value: T) {
        self.value = value;
    }

    /// Returns whether the value is stored.
    pub(super) fn is_written(&self) -> bool {
        self.value == self.written
    }

    /// Writes the value at `now` if it has changed and the last write is long enough ago. A failed
    /// write is logged, and done again at a later call.
    pub(super) async fn write<S>(&mut self, now: Duration, store: &S)
    where
        S: Store,
    {
        if store.era() != self.written_in {
            // A service restored from a copy has an older value.
            self.written = T::default();
            self.written_in = store.era();
            self.revision = None;
        }
        let is_too_soon = now.saturating_sub(self.written_at) < self.min_write_interval;
        if self.value == self.written || is_too_soon {
            return;
        }
        self.written_at = now;
        match self.put(store).await {
            Ok(revision) => {
                self.written = self.value.clone();
                self.written_in = store.era();
                self.revision = Some(revision);
            }
            Err(e) => {
                warn!(
                    key = self.key, error:% = e;
                    "Storing a record for the next gate failed; trying again later."
                );
                if let StoreError::Conflict(present) = e {
                    self.revision = present.map(|item| item.revision);
                }
            }
        }
    }

    async fn put<S>(&self, store: &S) -> Result<Revision, StoreError>
    where
        S: Store,
    {
        let value = serde_json::to_vec(&self.value);
        let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let put = store.put_if(self.key, Bytes::from(value), self.revision, None);
        let put = timeout(CALL_TIMEOUT, put).await;
        put.map_err(|_| StoreError::NoAnswer("timed out".into()))?
    }

    /// Reads the stored value.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    pub(super) async fn read<S>(&self, store: &S) -> Result<Stored<T>, StoreError>
    where
        S: Store,
    {
        let page = timeout(CALL_TIMEOUT, store.range(self.key, None)).await;
        let page = page.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        // Keys that begin with this one follow it.
        let Some(item) = page.items.into_iter().find(|item| item.key == self.key) else {
            return Ok(Stored { value: Some(T::default()), revision: None });
        };
        let value = serde_json::from_slice(&item.value).inspect_err(|e| {
            warn!(
                key = self.key, error:% = e;
                "A record of an earlier gate can't be parsed; it is ignored."
            );
        });
        Ok(Stored { value: value.ok(), revision: Some(item.revision) })
    }
}
