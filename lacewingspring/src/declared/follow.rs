//! Tasks that keep the state in force up to date.

use std::sync::Arc;

use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, sleep},
};

use super::{
    backoff::{Backoff, jittered},
    counters::count,
    snapshot::Step,
    store::{DeclaredStore, LOG, LoadError},
};
use crate::platform::key_value::{KeyValueError, WatchBatch};

/// Watches the service while this instance is to watch.
pub(super) async fn follow(store: Arc<DeclaredStore>) {
    let mut watching = store.watch_watching();
    let mut backoff = store.backoff();
    while watching.wait_for(|watching| *watching).await.is_ok() {
        let Err(err) = store.watch_service(&mut watching, &mut backoff).await else { continue };
        count(&store.counters.cuts);
        let wait = backoff.wait();
        log::warn!(target: LOG, reason:% = err, wait:? = wait; "Lost the service.");
        sleep(wait).await;
    }
}

/// Reads the service when a generation that exists doesn't come in time.
pub(super) async fn catch_up(store: Arc<DeclaredStore>) {
    let mut target = store.watch_target();
    let mut backoff = store.backoff();
    while target.changed().await.is_ok() {
        sleep(jittered(store.policy.grace)).await;
        while store.behind() && store.policy.mechanisms.catch_up {
            if let Err(err) = store.load().await {
                log::warn!(target: LOG, reason:% = err; "Could not read a newer generation.");
            }
            sleep(backoff.wait()).await;
        }
        backoff.reset();
    }
}

impl DeclaredStore {
    /// Loads what is missing and follows a watch; returns once not to watch any more.
    async fn watch_service(
        &self,
        watching: &mut watch::Receiver<bool>,
        backoff: &mut Backoff,
    ) -> Result<(), LoadError> {
        if !self.loaded() {
            self.load().await?;
        }
        let mut watch = match self.kv.watch(&self.keys.prefix, self.known_revision() + 1).await {
            Err(KeyValueError::Compacted(oldest)) => {
                log::info!(target: LOG, oldest; "The watch begins too early; reads everything.");
                self.load().await?;
                self.kv.watch(&self.keys.prefix, self.known_revision() + 1).await?
            }
            result => result?,
        };
        let mut refresh = interval(self.policy.refresh);
        refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
        refresh.tick().await;
        loop {
            tokio::select! {
                batch = watch.next() => self.apply(&batch?).await?,
                _ = refresh.tick() => self.read_head().await?,
                changed = watching.changed() => {
                    if changed.is_err() || !*watching.borrow_and_update() {
                        return Ok(());
                    }
                }
            }
            // Only a watch that does its work ends the waiting.
            backoff.reset();
        }
    }

    async fn apply(&self, batch: &WatchBatch) -> Result<(), LoadError> {
        match self.snapshot().step(&self.keys, batch)? {
            Step::Known => {}
            Step::Next(snapshot) => {
                self.note_generation(snapshot.generation());
                self.install(snapshot);
            }
            Step::Gap(generation) => {
                count(&self.counters.gaps);
                log::info!(target: LOG, generation; "The watch missed events.");
                self.note_generation(generation);
                if self.policy.mechanisms.catch_up {
                    self.load().await?;
                }
            }
        }
        self.note_revision(batch.revision);
        Ok(())
    }

    /// Learns of commits that the watch missed as a whole.
    async fn read_head(&self) -> Result<(), LoadError> {
        if let Some(head) = self.read_head_record().await? {
            self.note_generation(head.generation);
        }
        Ok(())
    }
}
