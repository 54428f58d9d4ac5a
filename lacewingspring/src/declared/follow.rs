//! Background tasks that keep the state in force up to date.

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

/// Watches the key-value service while watching is on (see [`DeclaredStore::set_watching`]).
pub(super) async fn follow(store: Arc<DeclaredStore>) {
    let mut watching = store.subscribe_watching();
    let mut backoff = store.backoff();
    while watching.wait_for(|watching| *watching).await.is_ok() {
        let Err(err) = store.watch_service(&mut watching, &mut backoff).await else { continue };
        count(&store.counters.follow_errors);
        let wait = backoff.next_wait();
        log::warn!(
            target: LOG, reason:% = err, wait:? = wait;
            "Could not follow the declared state; retries."
        );
        sleep(wait).await;
    }
}

/// Reads the whole state if a generation that is known to exist doesn't arrive within the grace
/// time.
pub(super) async fn catch_up(store: Arc<DeclaredStore>) {
    let mut newest_known = store.subscribe_newest_known();
    let mut backoff = store.backoff();
    while newest_known.changed().await.is_ok() {
        sleep(jittered(store.policy.grace)).await;
        while store.behind() && store.policy.mechanisms.catch_up {
            if let Err(err) = store.load().await {
                log::warn!(
                    target: LOG, reason:% = err;
                    "Could not read a newer generation; retries."
                );
            }
            sleep(backoff.next_wait()).await;
        }
        backoff.reset();
    }
}

impl DeclaredStore {
    /// Loads the state if there is none yet, then applies the events of a watch. Returns `Ok` once
    /// watching is switched off.
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
                log::info!(
                    target: LOG, oldest;
                    "The start revision of the watch is compacted; reads the whole state."
                );
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
                _ = refresh.tick() => self.note_head_generation().await?,
                changed = watching.changed() => {
                    if changed.is_err() || !*watching.borrow_and_update() {
                        return Ok(());
                    }
                }
            }
            // Resets the backoff only after the watch has delivered something, not on opening it.
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
                log::info!(
                    target: LOG, generation;
                    "The watch missed events of a commit; reads the whole state."
                );
                self.note_generation(generation);
                if self.policy.mechanisms.catch_up {
                    self.load().await?;
                }
            }
        }
        self.note_revision(batch.revision);
        Ok(())
    }

    /// Notes the generation of the head record, in case the watch missed a whole commit.
    async fn note_head_generation(&self) -> Result<(), LoadError> {
        if let Some(head) = self.read_head_record().await? {
            self.note_generation(head.generation);
        }
        Ok(())
    }
}
