//! Follows the orders of roll-outs while this instance is the gate of a majority.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use lacewingspring_core::names::ServiceName;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use super::{
    known_key::CALL_TIMEOUT,
    record::{PREFIX, RollOutRecord},
    service_keeper::ServiceKeeper,
};
use crate::{
    clock,
    gate::host::GateHost,
    instance::StateDecoder,
    metrics::SharedMetrics,
    store::{Store, StoreError},
};

/// Interval of the decisions on roll-outs in progress.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed read of the records.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after the start of the process up to which it waits for instances whose entries the
/// key-value service has lost. They register again within 2.2 s: the interval of renewals, the time
/// limit of a call and the delay before the next one.
const MAX_WAIT_FOR_OTHERS: Duration = Duration::from_secs(3);

/// What the keepers of all services share.
pub(super) struct Context<S, T> {
    pub store: Arc<S>,
    pub decoder: Arc<T>,
    pub host: Arc<GateHost>,
    pub metrics: SharedMetrics,
}

/// Follows the orders of roll-outs.
pub struct Keeper<S, T> {
    context: Context<S, T>,
    services: BTreeMap<ServiceName, ServiceKeeper>,
    started_at: Duration,
}

impl<S, T> Keeper<S, T>
where
    S: Store,
    T: StateDecoder,
{
    /// Creates a keeper, which does nothing until this instance is the gate of a majority.
    pub fn new(
        store: Arc<S>,
        decoder: Arc<T>,
        host: Arc<GateHost>,
        metrics: SharedMetrics,
    ) -> Self {
        let context = Context { store, decoder, host, metrics };
        Self { context, services: BTreeMap::new(), started_at: clock::now() }
    }

    /// Follows the orders. Never returns.
    pub async fn run(mut self) {
        let mut is_failing = false;
        loop {
            while !self.is_gate() {
                sleep(DECISION_INTERVAL).await;
            }
            let records = match self.load_all().await {
                Ok(records) => records,
                Err(e) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        warn!(
                            error:% = e;
                            "Reading the records of roll-outs failed; trying again."
                        );
                    }
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            is_failing = false;
            self.wait_for_others(&records).await;
            self.context.host.begin_roll_out_tenure(clock::now());
            while self.is_gate() {
                self.step().await;
                sleep(DECISION_INTERVAL).await;
            }
            info!("This instance no longer decides for a majority; it holds no roll-out.");
            self.context.host.end_roll_out_tenure(clock::now());
            self.services.retain(|_, service| service.end_tenure());
            self.context.metrics.clear_roll_outs();
        }
    }

    /// Returns whether this instance decides on roll-outs. A process that has not read the entries
    /// of upstreams does not know which versions are registered.
    fn is_gate(&self) -> bool {
        let host = &self.context.host;
        host.has_entries() && host.serves_majority(clock::now())
    }

    /// Waits, right after the start of the process, while it finds only itself registered and one
    /// of the orders is of an earlier era of the key-value service. That was restored from an older
    /// copy, which lacks the entries of the other instances and may lack what they know of the
    /// roll-outs. Meanwhile the versions that the records exclude and their targets get nothing.
    async fn wait_for_others(&self, records: &[RollOutRecord]) {
        let host = &self.context.host;
        let (began_at, era) = (clock::now(), self.context.store.era().0);
        let must_wait = || {
            let known = host.known_roll_outs();
            let is_unsure =
                |record: &RollOutRecord| record.order.era < era && !known.contains(&record.service);
            clock::now() < self.started_at + MAX_WAIT_FOR_OTHERS
                && host.is_only_member()
                && records.iter().any(is_unsure)
        };
        if !must_wait() {
            return;
        }
        host.begin_roll_out_tenure(began_at);
        for record in records {
            if let Some(keeper) = self.services.get(&record.service) {
                keeper.exclude(&self.context, record);
            }
        }
        info!(
            services = records.len(), era,
            uptime_ms = began_at.saturating_sub(self.started_at).as_millis() as u64;
            "The key-value service was restored and has no other instance; roll-outs wait for the \
             others."
        );
        while self.is_gate() && must_wait() {
            sleep(DECISION_INTERVAL).await;
        }
        info!(
            is_alone = host.is_only_member(), known = host.known_roll_outs().len(),
            waited_ms = clock::now().saturating_sub(began_at).as_millis() as u64;
            "The wait of roll-outs for the other instances has ended."
        );
    }

    /// Reads which services have a record, so that orders that were deleted meanwhile are noticed.
    async fn load_all(&mut self) -> Result<Vec<RollOutRecord>, StoreError> {
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = timeout(CALL_TIMEOUT, self.context.store.range(PREFIX, after.as_deref()));
            let page = page.await.map_err(|_| StoreError::NoAnswer("timed out".into()))??;
            for item in &page.items {
                match serde_json::from_slice::<RollOutRecord>(&item.value) {
                    Ok(record) => {
                        self.add(record.service.clone());
                        records.push(record);
                    }
                    Err(e) => warn!(
                        key = item.key.as_str(), error:% = e;
                        "The record of a roll-out can't be parsed; it is ignored."
                    ),
                }
            }
            after = page.items.last().map(|item| item.key.clone());
            if !page.has_more || after.is_none() {
                return Ok(records);
            }
        }
    }

    fn add(&mut self, service: ServiceName) {
        self.services.entry(service.clone()).or_insert_with(|| ServiceKeeper::new(service));
    }

    async fn step(&mut self) {
        let host = &self.context.host;
        for service in [host.ordered_services(), host.known_roll_outs()].concat() {
            self.add(service);
        }
        let context = &self.context;
        join_all(self.services.values_mut().map(|keeper| keeper.step(context))).await;
    }
}
