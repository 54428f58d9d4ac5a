//! Keeps the copy of one topic up to date, from the key-value service or from the gate.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio::{
    sync::{mpsc::UnboundedReceiver, watch},
    time::{sleep, sleep_until, timeout},
};

use crate::{
    clock,
    log_interval::LogInterval,
    mirror::Mirror,
    outage::{MAX_RETRY_DELAY, RETRY_DELAY},
    replica::{Replica, Replicas, Topic, Update},
    store::{Batch, Item, Page, Revision, Store, StoreError},
};

/// Maximum time that one watch call waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// As [`MAX_WATCH_WAIT`], while other instances follow this copy: each watch that ends confirms its
/// age, which they need to know.
const MAX_FOLLOWED_WATCH_WAIT: Duration = Duration::from_millis(500);

/// Minimum time that one watch call waits for changes.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Time beyond the wait of a watch call after which its connection is considered dead.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Delay after a watch that found changes, so that the next one returns the following changes
/// together.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// Time limit of reading one page.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of attempts to read a page other than the first.
const MAX_PAGE_ATTEMPTS: u32 = 10;

/// Delay before a page is read again, before jitter.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Task that keeps the copy of one topic up to date and passes on its changes.
pub struct Follower<S, F> {
    store: Arc<S>,
    replicas: Arc<Replicas>,
    topic: Topic,
    prefix: &'static str,
    /// Called with the copy after each change of it, under its lock.
    on_change: F,
    /// Whether changes come from the gate instead of the service.
    follows_gate: bool,
    /// Reads in a row whose keys needed too much memory.
    too_large_reads: u32,
    too_large_log: LogInterval,
}

impl<S, F> Follower<S, F>
where
    S: Store,
    F: FnMut(Duration, &Mirror) + Send,
{
    /// Creates a follower of a topic, whose keys begin with `prefix`.
    pub fn new(
        store: Arc<S>,
        replicas: Arc<Replicas>,
        topic: Topic,
        prefix: &'static str,
        on_change: F,
    ) -> Self {
        Self {
            store,
            replicas,
            topic,
            prefix,
            on_change,
            follows_gate: false,
            too_large_reads: 0,
            too_large_log: LogInterval::default(),
        }
    }

    /// Bounds the memory, in bytes, of the copy. Where more is needed, the older copy stays in
    /// force.
    pub fn with_max_bytes(self, max_bytes: usize) -> Self {
        self.replica().set_max_bytes(max_bytes);
        self
    }

    /// Keeps the copy up to date. Never returns.
    pub async fn run(mut self) {
        let replicas = self.replicas.clone();
        let replica = replicas.get(self.topic);
        let mut updates = replica.take_updates();
        let mut confirmations = replica.gate_confirmations();
        let mut is_loaded = false;
        loop {
            let confirmed_until = replica.gate_confirmed_until(clock::now());
            self.log_source_change(confirmed_until.is_some());
            let follow_until = confirmed_until.filter(|_| is_loaded);
            let result = if let Some(until) = follow_until {
                self.follow_gate(until, &mut updates, &mut confirmations).await
            } else if !replicas.outage().is_turn(self.topic).await {
                self.publish(clock::now(), Duration::ZERO, false);
                continue;
            } else if !is_loaded {
                self.load().await
            } else {
                self.watch().await
            };
            match result {
                Ok(()) => is_loaded = true,
                Err(StoreError::Compacted) => {
                    info!(prefix = self.prefix; "Changes are missing; all keys are read again.");
                    is_loaded = false;
                }
                Err(StoreError::TooLarge(max_bytes)) => {
                    // The changes may be too large to be read at once although the keys are not.
                    is_loaded = false;
                    replica.set_loaded(false);
                    self.record_too_large(max_bytes);
                    self.wait_until_smaller().await;
                }
                Err(e) => self.back_off(&e).await,
            }
            replica.set_loaded(is_loaded);
        }
    }

    /// Logs when the source of changes switches between the gate and the service.
    fn log_source_change(&mut self, follows_gate: bool) {
        if std::mem::replace(&mut self.follows_gate, follows_gate) == follows_gate {
            return;
        }
        let (topic, revision) = (self.topic.name(), self.replica().mirror().revision());
        if follows_gate {
            info!(topic, revision:%; "Changes now come from the gate.");
        } else {
            let age_ms = self.replica().age(clock::now()).map_or(0, |age| age.as_millis() as u64);
            info!(
                topic, revision:%, age_ms;
                "The gate's confirmation is too old; the instance watches the service."
            );
        }
    }

    fn replica(&self) -> &Replica {
        self.replicas.get(self.topic)
    }

    /// Notes when the copy was last complete, removes deleted keys after their grace period, and
    /// passes the copy on if it changed.
    fn publish(&mut self, now: Duration, confirmed_at: Duration, is_changed: bool) {
        self.replica().confirm(confirmed_at);
        let mut mirror = self.replicas.get(self.topic).mirror();
        if mirror.remove_expired(now) || is_changed {
            (self.on_change)(now, &mirror);
            drop(mirror);
            self.replicas.notify_changed();
        }
    }

    async fn load(&mut self) -> Result<(), StoreError> {
        // What was dropped before is among the keys that are read now.
        self.replica().take_lacks_update();
        let sent_at = clock::now();
        let (items, revision) = self.read_all().await?;
        let now = clock::now();
        self.mark_reachable(now);
        self.too_large_reads = 0;
        {
            let mut mirror = self.replica().mirror();
            mirror.load(now, items, revision);
            mirror.bound(self.replica().max_bytes());
        }
        self.publish(now, now, true);
        self.replica().confirm_complete(sent_at);
        Ok(())
    }

    async fn read_all(&self) -> Result<(Vec<Item>, Revision), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        let mut bytes = 0;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = self.read_page(after.as_deref()).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            if page.revision.era != revision.era {
                return Err(StoreError::Compacted);
            }
            let is_last = !page.has_more || page.items.is_empty();
            bytes += page.items.iter().map(Item::held_bytes).sum::<usize>();
            let max_bytes = self.replica().max_bytes();
            if bytes > max_bytes {
                return Err(StoreError::TooLarge(max_bytes));
            }
            items.extend(page.items);
            if is_last {
                return Ok((items, revision));
            }
        }
    }

    /// Reads one page, with retries except for the first: as the pages read so far are kept, a
    /// large topic is read completely even while the service rejects calls because too many
    /// instances read at once.
    async fn read_page(&self, after: Option<&str>) -> Result<Page, StoreError> {
        let mut attempts = 0;
        loop {
            let page = timeout(READ_TIMEOUT, self.store.range(self.prefix, after)).await;
            let page = page.unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())));
            attempts += 1;
            self.note_response(&page);
            if page.is_ok() || after.is_none() || attempts == MAX_PAGE_ATTEMPTS {
                return page;
            }
            sleep(PAGE_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    /// Waits for changes at the service, or until a confirmation of the copy is requested.
    async fn watch(&mut self) -> Result<(), StoreError> {
        let wait = {
            let mirror = self.replica().mirror();
            watch_wait(clock::now(), &mirror, self.replicas.is_followed())
        };
        let (replicas, topic) = (self.replicas.clone(), self.topic);
        tokio::select! {
            result = self.watch_for(wait) => result,
            () = replicas.get(topic).confirmation_requested() => {
                self.watch_for(MIN_WATCH_WAIT).await
            }
        }
    }

    /// Applies the changes since the copy's revision; the service waits up to `wait` for the first.
    async fn watch_for(&mut self, wait: Duration) -> Result<(), StoreError> {
        let revision = self.replica().mirror().revision();
        let sent_at = clock::now();
        let batch = self.store.watch(self.prefix, revision, wait);
        let batch = timeout(wait + WATCH_MARGIN, batch).await;
        let batch = batch.unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())));
        self.note_response(&batch);
        let batch = batch?;
        let now = clock::now();
        self.mark_reachable(now);
        if batch.revision.era != revision.era {
            // The changes between the two eras are not known.
            return Err(StoreError::Compacted);
        }
        let is_changed = self.apply(now, batch)?;
        self.publish(now, now, is_changed);
        self.replica().confirm_complete(sent_at);
        if is_changed {
            sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    /// Applies changes to the copy; returns whether it changed.
    fn apply(&self, now: Duration, batch: Batch) -> Result<bool, StoreError> {
        let max_bytes = self.replica().max_bytes();
        let mut mirror = self.replica().mirror();
        let is_bounded = max_bytes < usize::MAX && !batch.changes.is_empty();
        if is_bounded && mirror.held_bytes_after(now, &batch) > max_bytes {
            return Err(StoreError::TooLarge(max_bytes));
        }
        Ok(mirror.apply(now, batch))
    }

    /// Waits for an update or a confirmation from the gate, until the last confirmation is too old
    /// or a deleted key is due for removal.
    async fn follow_gate(
        &mut self,
        confirmed_until: Duration,
        updates: &mut UnboundedReceiver<Update>,
        confirmations: &mut watch::Receiver<Duration>,
    ) -> Result<(), StoreError> {
        let expiry = self.replica().mirror().next_expiry().unwrap_or(confirmed_until);
        tokio::select! {
            Some(update) = updates.recv() => {
                self.replica().update_taken(&update);
                self.apply_update(clock::now(), update)?;
            }
            _ = confirmations.changed() => {}
            () = self.replica().confirmation_requested() => {
                return self.watch_for(MIN_WATCH_WAIT).await;
            }
            () = sleep_until(clock::instant(expiry.min(confirmed_until))) => {}
        }
        let confirmed_at = *confirmations.borrow_and_update();
        if self.replica().take_lacks_update() {
            // The confirmation is of a copy that has the update.
            return Err(StoreError::Compacted);
        }
        let now = clock::now();
        if self.replica().gate_confirmed_until(now).is_some() {
            self.mark_reachable(now);
        }
        self.publish(now, confirmed_at, false);
        Ok(())
    }

    fn apply_update(&mut self, now: Duration, update: Update) -> Result<(), StoreError> {
        {
            let mut mirror = self.replica().mirror();
            if update.after > mirror.revision() {
                // Changes between the two revisions are missing.
                return Err(StoreError::Compacted);
            }
            mirror.extend_grace(now, update.grace);
        }
        let is_changed = self.apply(now, update.into_batch())?;
        self.publish(now, Duration::ZERO, is_changed);
        Ok(())
    }

    /// Tells the other topics if the service responded, also that history is missing.
    fn note_response<T>(&self, result: &Result<T, StoreError>) {
        if matches!(result, Ok(_) | Err(StoreError::Compacted)) {
            self.replicas.outage().respond(clock::now());
        }
    }

    fn mark_reachable(&mut self, now: Duration) {
        let failed_calls = self.replicas.outage().succeed(self.topic);
        let mut mirror = self.replicas.get(self.topic).mirror();
        if mirror.mark_reachable(now) {
            info!(
                prefix = self.prefix, failed_calls, revision:% = mirror.revision();
                "The key-value service answers again."
            );
        }
    }

    async fn back_off(&mut self, e: &StoreError) {
        {
            let mut mirror = self.replica().mirror();
            if mirror.mark_unreachable() {
                warn!(
                    prefix = self.prefix, error:% = e, revision:% = mirror.revision();
                    "The key-value service does not answer."
                );
            }
        }
        let until = self.replicas.outage().fail(clock::now(), self.topic);
        sleep_until(clock::instant(until)).await;
        self.publish(clock::now(), Duration::ZERO, false);
    }

    /// Counts and logs that the older copy stays in force because the keys need too much memory.
    fn record_too_large(&self, max_bytes: usize) {
        self.replica().count_too_large();
        let held_bytes = self.replica().mirror().held_bytes();
        self.too_large_log.warn_of_topic(self.topic.name(), held_bytes, max_bytes);
    }

    /// Waits before keys that need too much memory are read again, longer with each further time.
    /// The service responds meanwhile, so the other topics go on.
    async fn wait_until_smaller(&mut self) {
        let delay = RETRY_DELAY * 2_u32.pow(self.too_large_reads.min(2));
        self.too_large_reads = self.too_large_reads.saturating_add(1);
        sleep(delay.min(MAX_RETRY_DELAY).mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        let now = clock::now();
        self.publish(now, Duration::ZERO, false);
    }
}

/// Returns how long a watch waits: until a deleted key is due for removal at most, and the minimum
/// while the service is unreachable, so that its return is noticed soon.
fn watch_wait(now: Duration, mirror: &Mirror, is_followed: bool) -> Duration {
    if mirror.is_unreachable() {
        return MIN_WATCH_WAIT;
    }
    let longest = if is_followed { MAX_FOLLOWED_WATCH_WAIT } else { MAX_WATCH_WAIT };
    let expiry = mirror.next_expiry().map(|at| at.saturating_sub(now));
    expiry.unwrap_or(longest).clamp(MIN_WATCH_WAIT, longest)
}
