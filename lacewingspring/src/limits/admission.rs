//! Admission at this entry under the limits of workspaces, retry budgets and retry-after times.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lacewingspring_core::{
    error::ErrorKind,
    limits::{
        Admission, Demand, RetryBudget, RetryBudgetConfig, RetrySpread, Share, ShareConfig,
        ShareLimiter,
    },
    names::{RequestKey, WorkspaceName},
    resources::WorkspaceLimits,
};
use tokio::{sync::watch, time::timeout};

use super::request_share_if_due;
use crate::{clock, daemon::Node, entry::Refusal};

/// Longest time for which a request waits for a larger share of its workspace.
const SHARE_WAIT: Duration = Duration::from_millis(300);

/// Maximum number of grants that a request waits for. The first one may answer a demand that was
/// sent before the request arrived.
const MAX_AWAITED_GRANTS: usize = 2;

/// Shortest interval over which retry-after times are spread.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Longest interval over which retry-after times are spread.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);

/// Number of refused keys that are remembered for each workspace.
const MAX_REFUSED_KEYS: usize = 4_096;

/// Properties of a request on which its admission depends.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceName,
    /// Key of the request.
    pub key: &'a RequestKey,
    /// Whether the caller marks the request as a retry.
    pub is_retry: bool,
}

/// The most recently refused keys, at most [`MAX_REFUSED_KEYS`].
#[derive(Debug, Default)]
struct RefusedKeys {
    keys: HashSet<RequestKey>,
    order: VecDeque<RequestKey>,
}

impl RefusedKeys {
    fn insert(&mut self, key: &RequestKey) {
        if !self.keys.insert(key.clone()) {
            return;
        }
        self.order.push_back(key.clone());
        if self.order.len() > MAX_REFUSED_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.keys.remove(&oldest);
        }
    }

    fn contains(&self, key: &RequestKey) -> bool {
        self.keys.contains(key)
    }
}

#[derive(Debug)]
struct State {
    share: ShareLimiter,
    retries: RetryBudget,
    retry_spread: RetrySpread,
    refused: RefusedKeys,
    /// Whether a request was refused under a share of the home since the last admission.
    refused_under_share: bool,
}

/// Limiter of one workspace at this entry.
#[derive(Debug)]
pub struct WorkspaceLimiter {
    state: Mutex<State>,
    /// Number of shares that the home has granted; wakes the requests that wait for one.
    grants: watch::Sender<u64>,
}

impl WorkspaceLimiter {
    fn new(cfg: ShareConfig, now: Duration) -> Self {
        let state = State {
            share: ShareLimiter::new(cfg, now),
            retries: RetryBudget::new(RetryBudgetConfig::default(), now),
            retry_spread: RetrySpread::new(MIN_RETRY_SPREAD, MAX_RETRY_SPREAD),
            refused: RefusedKeys::default(),
            refused_under_share: false,
        };
        Self { state: Mutex::new(state), grants: watch::Sender::new(0) }
    }

    pub(super) fn poll_demand(&self, now: Duration) -> Option<Demand> {
        self.lock().share.poll_demand(now)
    }

    pub(super) fn report(&self, now: Duration) -> Demand {
        self.lock().share.report(now)
    }

    pub(super) fn apply_share(
        &self,
        now: Duration,
        share: Share,
        limits: Option<&WorkspaceLimits>,
    ) {
        let mut state = self.lock();
        state.share.apply_share(now, share);
        let limit = limits.map_or(0.0, |limits| f64::from(limits.requests_per_second));
        if limit > 0.0 {
            state.retries.set_rate_fraction(now, share.rate / limit);
        }
        drop(state);
        self.grants.send_modify(|count| *count += 1);
    }

    pub(super) fn renew_soon(&self) {
        self.lock().share.renew_soon();
    }

    /// Counts a request as waiting if the home may grant a larger share. Returns false if the
    /// request need not wait.
    fn start_waiting(&self, now: Duration) -> bool {
        let mut state = self.lock();
        if state.refused_under_share || state.share.has_room(now) {
            return false;
        }
        state.share.count_waiting(now);
        true
    }

    fn has_room(&self, now: Duration) -> bool {
        self.lock().share.has_room(now)
    }

    fn admit(&self, now: Duration, arrival: &Arrival<'_>) -> Result<(), Refusal> {
        let mut state = self.lock();
        let is_retry = arrival.is_retry || state.refused.contains(arrival.key);
        if is_retry && !state.retries.take_retry(now) {
            return Err(state.refuse(now, arrival.key, ErrorKind::LimitReached, Duration::ZERO));
        }
        if !is_retry {
            state.retries.count_request(now);
        }
        match state.share.admit(now) {
            Admission::Admitted => {
                state.refused_under_share = false;
                Ok(())
            }
            Admission::LimitReached { retry_after } => {
                state.refused_under_share = state.share.share(now).is_some();
                Err(state.refuse(now, arrival.key, ErrorKind::LimitReached, retry_after))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Creates a refusal with a spread retry-after time, and remembers the key.
    fn refuse(
        &mut self,
        now: Duration,
        key: &RequestKey,
        kind: ErrorKind,
        earliest: Duration,
    ) -> Refusal {
        self.refused.insert(key);
        let rate = self.share.share(now).map_or(0.0, |share| share.rate);
        Refusal::new(kind, self.retry_spread.retry_after(now, key, earliest, rate))
    }
}

/// Counts an admitted request against the concurrency limit until it is dropped.
#[derive(Debug)]
pub struct Slot(Arc<WorkspaceLimiter>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().share.release();
    }
}

/// Limiters of all workspaces at this entry.
#[derive(Debug)]
pub struct WorkspaceLimiters {
    cfg: ShareConfig,
    limiters: Mutex<HashMap<WorkspaceName, Arc<WorkspaceLimiter>>>,
}

impl WorkspaceLimiters {
    pub(super) fn new(cfg: ShareConfig) -> Self {
        Self { cfg, limiters: Mutex::default() }
    }

    /// Admits a request if it is within the limits of its workspace.
    ///
    /// A request that fits into the share never waits. Otherwise the request waits for a larger
    /// share. Once a request is refused under a share of the home, further ones are refused at once
    /// until one is admitted.
    ///
    /// # Errors
    ///
    /// Refuses with `LimitReached` and a retry-after time.
    pub async fn admit(&self, node: &Arc<Node>, arrival: Arrival<'_>) -> Result<Slot, Refusal> {
        let limiter = self.of(clock::now(), arrival.workspace);
        if limiter.start_waiting(clock::now()) {
            let _ =
                timeout(SHARE_WAIT, wait_for_larger_share(node, &limiter, arrival.workspace)).await;
        }
        limiter.admit(clock::now(), &arrival)?;
        Ok(Slot(limiter))
    }

    /// Remembers the key of a retryable refusal, so that its retry counts against the retry budget.
    /// Spreads the retry-after time if the cause is an unavailable upstream or store, or a
    /// deadline.
    pub fn record_refusal(&self, arrival: &Arrival<'_>, refusal: Refusal) -> Refusal {
        if !refusal.kind.answer().retry || refusal.kind == ErrorKind::LimitReached {
            return refusal;
        }
        let now = clock::now();
        let limiter = self.of(now, arrival.workspace);
        let mut state = limiter.lock();
        match refusal.kind {
            ErrorKind::NoUpstream | ErrorKind::StoreUnavailable | ErrorKind::DeadlineExceeded => {
                state.refuse(now, arrival.key, refusal.kind, refusal.retry_after)
            }
            _ => {
                state.refused.insert(arrival.key);
                refusal
            }
        }
    }

    pub(super) fn of(&self, now: Duration, workspace: &WorkspaceName) -> Arc<WorkspaceLimiter> {
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(limiter) = limiters.get(workspace) {
            return limiter.clone();
        }
        let limiter = Arc::new(WorkspaceLimiter::new(self.cfg.clone(), now));
        limiters.insert(workspace.clone(), limiter.clone());
        limiter
    }

    /// Sends the next demand to each home soon, since the membership has changed.
    pub(super) fn renew_soon(&self) {
        let limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        limiters.values().for_each(|limiter| limiter.renew_soon());
    }

    /// Removes the workspaces for which `keep` is false.
    pub(super) fn retain<F>(&self, keep: F)
    where
        F: Fn(&WorkspaceName) -> bool,
    {
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        limiters.retain(|workspace, _| keep(workspace));
    }
}

/// Waits until the share has room, for at most [`MAX_AWAITED_GRANTS`] grants of the home.
async fn wait_for_larger_share(
    node: &Arc<Node>,
    limiter: &WorkspaceLimiter,
    workspace: &WorkspaceName,
) {
    let mut grants = limiter.grants.subscribe();
    for _ in 0..MAX_AWAITED_GRANTS {
        request_share_if_due(node, workspace);
        if grants.changed().await.is_err() || limiter.has_room(clock::now()) {
            return;
        }
    }
}
