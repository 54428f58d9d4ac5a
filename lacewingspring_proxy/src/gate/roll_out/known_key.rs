//! A key of the key-value service with the value and revision that were read or written last.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::store::{Item, Revision, Store, StoreError};

/// Time limit of a call to the key-value service; a round of the keeper waits for each.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A key as it was read or written last.
#[derive(Debug, Default)]
pub(super) struct KnownKey {
    /// Revision of its value; `None` if it does not exist.
    pub revision: Option<Revision>,
    /// Its value.
    pub value: Option<Bytes>,
    /// Whether a write had no answer that replaces this revision, and may still be executed.
    is_unsettled: bool,
}

impl KnownKey {
    /// Reads a key.
    pub async fn read<S>(store: &S, key: &str) -> Result<Self, StoreError>
    where
        S: Store,
    {
        let page = timeout(CALL_TIMEOUT, store.range(key, None)).await;
        let page = page.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        // Keys that begin with this one follow it.
        Ok(page.items.into_iter().find(|item| item.key == key).map(Self::from).unwrap_or_default())
    }

    /// Takes over what was read later. If the key has changed since, a write without an answer was
    /// executed or never will be.
    pub fn refresh(&mut self, read: Self) {
        let is_unsettled = self.is_unsettled && self.revision == read.revision;
        *self = Self { is_unsettled, ..read };
    }

    /// Returns whether the key has a value and keeps it, as far as this process knows.
    pub fn holds(&self, value: Option<&Bytes>) -> bool {
        !self.is_unsettled && self.value.as_ref() == value
    }

    /// Writes a key unless another writer has changed it.
    pub async fn write<S>(&mut self, store: &S, key: &str, value: Bytes) -> Result<(), StoreError>
    where
        S: Store,
    {
        let put = store.put_if(key, value.clone(), self.revision, None);
        let written = timeout(CALL_TIMEOUT, put).await;
        let written = written.unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())));
        match written {
            Ok(revision) => {
                *self = Self { revision: Some(revision), value: Some(value), is_unsettled: false };
                Ok(())
            }
            Err(e) => {
                self.is_unsettled |= !matches!(e, StoreError::Conflict(_) | StoreError::Refused(_));
                Err(e)
            }
        }
    }
}

impl From<Item> for KnownKey {
    fn from(item: Item) -> Self {
        Self { revision: Some(item.revision), value: Some(item.value), is_unsettled: false }
    }
}
