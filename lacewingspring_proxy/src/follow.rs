//! Keeps a copy of the keys below a prefix up to date.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    mirror::Mirror,
    store::{Item, Store, StoreError},
};

/// Time for which one watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Shortest time for which one watch waits for changes.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Time after the end of a watch's wait at which its connection is taken to be dead.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Time for which one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keys that are followed, and who is told of changes.
pub struct Follow<S, F> {
    store: Arc<S>,
    prefix: &'static str,
    /// Called with the copy after each change of it.
    on_change: F,
    failed_calls: u32,
}

impl<S, F> Follow<S, F>
where
    S: Store,
    F: FnMut(Duration, &Mirror) + Send,
{
    /// Creates a follower of the keys below a prefix.
    pub fn new(store: Arc<S>, prefix: &'static str, on_change: F) -> Self {
        Self { store, prefix, on_change, failed_calls: 0 }
    }

    /// Follows the keys for ever.
    pub async fn run(mut self) {
        let mut mirror = Mirror::default();
        let mut is_loaded = false;
        loop {
            let result = if is_loaded {
                self.watch(&mut mirror).await
            } else {
                self.load(&mut mirror).await
            };
            match result {
                Ok(()) => is_loaded = true,
                Err(StoreError::Compacted) => {
                    info!(prefix = self.prefix; "The history is gone, all is read again.");
                    is_loaded = false;
                }
                Err(e) => self.failed(&mut mirror, &e).await,
            }
        }
    }

    async fn load(&mut self, mirror: &mut Mirror) -> Result<(), StoreError> {
        let (items, at) = self.read_all().await?;
        let now = clock::now();
        self.reached(mirror, now);
        mirror.load(now, items, at);
        (self.on_change)(now, mirror);
        Ok(())
    }

    async fn read_all(&self) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_at = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = self.store.range(self.prefix, after.as_deref());
            let page = timeout(READ_TIMEOUT, page).await;
            let page = page.map_err(|_| StoreError::NoAnswer("time is up".into()))??;
            let at = *first_at.get_or_insert(page.at);
            let is_last = !page.has_more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok((items, at));
            }
        }
    }

    async fn watch(&mut self, mirror: &mut Mirror) -> Result<(), StoreError> {
        let wait = watch_wait(clock::now(), mirror);
        let batch = self.store.watch(self.prefix, mirror.at(), wait);
        let batch = timeout(wait + WATCH_MARGIN, batch).await;
        let batch = batch.map_err(|_| StoreError::NoAnswer("time is up".into()))??;
        let now = clock::now();
        self.reached(mirror, now);
        let is_changed = mirror.apply(now, batch);
        if mirror.sweep(now) || is_changed {
            (self.on_change)(now, mirror);
        }
        Ok(())
    }

    fn reached(&mut self, mirror: &mut Mirror, now: Duration) {
        if mirror.reached(now) {
            let failed_calls = std::mem::take(&mut self.failed_calls);
            info!(
                prefix = self.prefix, failed_calls, revision = mirror.at();
                "The key-value service answers again."
            );
        }
    }

    async fn failed(&mut self, mirror: &mut Mirror, e: &StoreError) {
        if mirror.lost() {
            warn!(
                prefix = self.prefix, error:% = e, revision = mirror.at();
                "The key-value service does not answer."
            );
        }
        self.failed_calls += 1;
        sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        let now = clock::now();
        if mirror.sweep(now) {
            (self.on_change)(now, mirror);
        }
    }
}

/// Returns how long a watch waits: until the next lapsed key is given up, and not at all while the
/// service is away, so that its return is noticed soon.
fn watch_wait(now: Duration, mirror: &Mirror) -> Duration {
    if mirror.is_away() {
        return SHORTEST_WAIT;
    }
    let sweep = mirror.next_sweep().map(|at| at.saturating_sub(now));
    sweep.unwrap_or(WATCH_WAIT).clamp(SHORTEST_WAIT, WATCH_WAIT)
}
