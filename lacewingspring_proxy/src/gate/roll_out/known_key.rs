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

    /// Writes a key unless another writer has changed it.
    pub async fn write<S>(&mut self, store: &S, key: &str, value: Bytes) -> Result<(), StoreError>
    where
        S: Store,
    {
        let put = store.put_if(key, value.clone(), self.revision, None);
        let written = timeout(CALL_TIMEOUT, put).await;
        let revision = written.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        *self = Self { revision: Some(revision), value: Some(value) };
        Ok(())
    }
}

impl From<Item> for KnownKey {
    fn from(item: Item) -> Self {
        Self { revision: Some(item.revision), value: Some(item.value) }
    }
}
