//! Metrics of the calls to the key-value service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    clock,
    metrics::SharedMetrics,
    replica::Replicas,
    store::{Batch, Era, Lease, Page, Revision, Store, StoreError},
};

/// A [`Store`] that counts its calls by purpose and records when the service last responded, which
/// ends the wait of the topics that check whether it is available again.
#[derive(Debug)]
pub struct CountedStore<S> {
    /// Client that makes the calls.
    pub inner: Arc<S>,
    /// Metrics that the calls are counted in.
    pub metrics: SharedMetrics,
    /// Copies whose topics are told of responses.
    pub replicas: Arc<Replicas>,
}

impl<S> CountedStore<S>
where
    S: Store,
{
    async fn count<T, F>(&self, purpose: &'static str, call: F) -> Result<T, StoreError>
    where
        T: Send,
        F: Future<Output = Result<T, StoreError>> + Send,
    {
        self.metrics.store_called(purpose);
        let result = call.await;
        self.metrics.set_store_era(self.inner.era());
        if result.is_ok() {
            let now = clock::now();
            self.metrics.store_responded(now);
            self.replicas.outage().respond(now);
        }
        result
    }
}

impl<S> Store for CountedStore<S>
where
    S: Store,
{
    fn era(&self) -> Era {
        self.inner.era()
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        self.count("read", self.inner.range(prefix, after)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Batch, StoreError> {
        self.count("watch", self.inner.watch(prefix, after, wait)).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<Lease, StoreError> {
        self.count("grant_lease", self.inner.grant_lease(ttl)).await
    }

    async fn keep_lease(&self, lease: Lease) -> Result<(), StoreError> {
        self.count("keep_lease", self.inner.keep_lease(lease)).await
    }

    async fn end_lease(&self, lease: Lease) -> Result<(), StoreError> {
        self.count("end_lease", self.inner.end_lease(lease)).await
    }

    async fn put_if(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Revision>,
        lease: Option<Lease>,
    ) -> Result<Revision, StoreError> {
        self.count("write", self.inner.put_if(key, value, expected, lease)).await
    }
}
