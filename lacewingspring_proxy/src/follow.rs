//! Keeps a copy of the keys below a prefix up to date.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio::{
    sync::{mpsc::UnboundedReceiver, watch},
    time::{sleep, sleep_until, timeout},
};

use crate::{
    clock,
    mirror::Mirror,
    replica::{Replica, Replicas, Topic, Update},
    store::{Item, Page, Store, StoreError},
};

/// Time for which one watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// As [`WATCH_WAIT`], while others follow this copy and need proofs of its age.
const FOLLOWED_WAIT: Duration = Duration::from_millis(500);

/// Shortest time for which one watch waits for changes.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Time after the end of a watch's wait at which its connection is taken to be dead.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Pause after a watch that found changes, so that those that follow come together.
const GATHER: Duration = Duration::from_millis(60);

/// Time for which one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Tries to read one page behind others.
const PAGE_TRIES: u32 = 10;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after failed calls in a row.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);

/// Keys that are followed, and who is told of changes.
pub struct Follower<S, F> {
    store: Arc<S>,
    replicas: Arc<Replicas>,
    topic: Topic,
    prefix: &'static str,
    /// Called with the copy after each change of it.
    on_change: F,
    failed_calls: u32,
    /// Whether the gate stands for the service.
    is_told: bool,
}

impl<S, F> Follower<S, F>
where
    S: Store,
    F: FnMut(Duration, &Mirror) + Send,
{
    /// Creates a follower of the keys below a prefix.
    pub fn new(
        store: Arc<S>,
        replicas: Arc<Replicas>,
        topic: Topic,
        prefix: &'static str,
        on_change: F,
    ) -> Self {
        Self { store, replicas, topic, prefix, on_change, failed_calls: 0, is_told: false }
    }

    /// Follows the keys for ever.
    pub async fn run(mut self) {
        let replicas = self.replicas.clone();
        let replica = replicas.of(self.topic);
        let mut updates = replica.take_updates();
        let mut proofs = replica.proofs();
        let mut is_loaded = false;
        loop {
            let fresh_until = replica.fresh_until(clock::now());
            self.note_source(fresh_until.is_some());
            let result = if !is_loaded {
                self.load().await
            } else if let Some(until) = fresh_until {
                self.listen(until, &mut updates, &mut proofs).await
            } else {
                self.watch().await
            };
            match result {
                Ok(()) => is_loaded = true,
                Err(StoreError::Compacted) => {
                    info!(prefix = self.prefix; "The history is gone, all is read again.");
                    is_loaded = false;
                }
                Err(e) => self.failed(&e).await,
            }
            replica.set_loaded(is_loaded);
        }
    }

    /// Tells when the gate begins or ceases to stand for the service.
    fn note_source(&mut self, is_told: bool) {
        if std::mem::replace(&mut self.is_told, is_told) == is_told {
            return;
        }
        let (topic, revision) = (self.topic.name(), self.replica().mirror().revision());
        if is_told {
            info!(topic, revision; "Changes are told by the gate.");
        } else {
            let age_ms = self.replica().age(clock::now()).map_or(0, |age| age.as_millis() as u64);
            info!(topic, revision, age_ms; "The gate proves nothing, the service is followed.");
        }
    }

    fn replica(&self) -> &Replica {
        self.replicas.of(self.topic)
    }

    /// Tells of a copy that is complete by now, and of what changed.
    fn complete(&mut self, now: Duration, at: Duration, is_changed: bool) {
        self.replica().confirm(at);
        let mut mirror = self.replicas.of(self.topic).mirror();
        if mirror.sweep(now) || is_changed {
            (self.on_change)(now, &mirror);
            drop(mirror);
            self.replicas.changed();
        }
    }

    async fn load(&mut self) -> Result<(), StoreError> {
        let (items, at) = self.read_all().await?;
        let now = clock::now();
        self.reached(now);
        self.replica().mirror().load(now, items, at);
        self.complete(now, now, true);
        Ok(())
    }

    async fn read_all(&self) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_at = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = self.read_page(after.as_deref()).await?;
            let at = *first_at.get_or_insert(page.revision);
            let is_last = !page.has_more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok((items, at));
            }
        }
    }

    /// Reads one page, more than once if need be: with what was read before, a large topic is read
    /// whole also while the service turns calls away as too many instances read at once.
    async fn read_page(&self, after: Option<&str>) -> Result<Page, StoreError> {
        let mut failed_tries = 0;
        loop {
            let page = timeout(READ_TIMEOUT, self.store.range(self.prefix, after)).await;
            let page = page.unwrap_or_else(|_| Err(StoreError::NoAnswer("time is up".into())));
            failed_tries += 1;
            if page.is_ok() || after.is_none() || failed_tries == PAGE_TRIES {
                return page;
            }
            sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    async fn watch(&mut self) -> Result<(), StoreError> {
        let (wait, at) = {
            let mirror = self.replica().mirror();
            (watch_wait(clock::now(), &mirror, self.replicas.is_followed()), mirror.revision())
        };
        let batch = self.store.watch(self.prefix, at, wait);
        let batch = timeout(wait + WATCH_MARGIN, batch).await;
        let batch = batch.map_err(|_| StoreError::NoAnswer("time is up".into()))??;
        let now = clock::now();
        self.reached(now);
        let is_changed = self.replica().mirror().apply(now, batch);
        self.complete(now, now, is_changed);
        if is_changed {
            sleep(GATHER).await;
        }
        Ok(())
    }

    /// Takes what another instance tells, until its proof is old or a lapsed key is given up.
    async fn listen(
        &mut self,
        fresh_until: Duration,
        updates: &mut UnboundedReceiver<Update>,
        proofs: &mut watch::Receiver<Duration>,
    ) -> Result<(), StoreError> {
        let sweep = self.replica().mirror().next_sweep().unwrap_or(fresh_until);
        tokio::select! {
            Some(update) = updates.recv() => self.take(clock::now(), update)?,
            _ = proofs.changed() => {}
            () = sleep_until(clock::instant(sweep.min(fresh_until))) => {}
        }
        let proved_at = *proofs.borrow_and_update();
        let now = clock::now();
        if self.replica().fresh_until(now).is_some() {
            self.reached(now);
        }
        self.complete(now, proved_at, false);
        Ok(())
    }

    fn take(&mut self, now: Duration, update: Update) -> Result<(), StoreError> {
        let is_changed = {
            let mut mirror = self.replica().mirror();
            if update.from > mirror.revision() {
                // What lies between is not known.
                return Err(StoreError::Compacted);
            }
            mirror.extend_grace(now, update.grace);
            mirror.apply(now, update.into_batch())
        };
        self.complete(now, Duration::ZERO, is_changed);
        Ok(())
    }

    fn reached(&mut self, now: Duration) {
        let mut mirror = self.replicas.of(self.topic).mirror();
        if mirror.reached(now) {
            let failed_calls = std::mem::take(&mut self.failed_calls);
            info!(
                prefix = self.prefix, failed_calls, revision = mirror.revision();
                "The key-value service answers again."
            );
        }
    }

    async fn failed(&mut self, e: &StoreError) {
        {
            let mut mirror = self.replica().mirror();
            if mirror.lost() {
                warn!(
                    prefix = self.prefix, error:% = e, revision = mirror.revision();
                    "The key-value service does not answer."
                );
            }
        }
        let pause = RETRY_PAUSE * 2_u32.pow(self.failed_calls.min(2));
        self.failed_calls += 1;
        sleep(pause.min(LONGEST_PAUSE).mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        let now = clock::now();
        self.complete(now, Duration::ZERO, false);
    }
}

/// Returns how long a watch waits: until the next lapsed key is given up, and not at all while the
/// service is away, so that its return is noticed soon.
fn watch_wait(now: Duration, mirror: &Mirror, is_followed: bool) -> Duration {
    if mirror.is_away() {
        return SHORTEST_WAIT;
    }
    let longest = if is_followed { FOLLOWED_WAIT } else { WATCH_WAIT };
    let sweep = mirror.next_sweep().map(|at| at.saturating_sub(now));
    sweep.unwrap_or(longest).clamp(SHORTEST_WAIT, longest)
}
