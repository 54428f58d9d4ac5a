//! Use of the limits at this entry: admission, retries and times to come back.

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

use super::ask_if_due;
use crate::{clock, daemon::Node, entry::Refusal};

/// Longest wait of a request for a larger share of its workspace.
const SHARE_WAIT: Duration = Duration::from_millis(300);

/// Answers of the home after which a request waits no longer; the first may be to a question that
/// was asked before the request came.
const MAX_GRANTS: usize = 2;

/// Shortest spread of the times to come back.
const SHORTEST_SPREAD: Duration = Duration::from_millis(200);

/// Longest spread of the times to come back.
const LONGEST_SPREAD: Duration = Duration::from_secs(10);

/// Refused keys that are remembered for each workspace.
const MAX_REFUSED_KEYS: usize = 4_096;

/// What admission needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceName,
    /// Key of the request.
    pub key: &'a RequestKey,
    /// Whether the caller says that it has sent the request before.
    pub is_retry: bool,
}

/// Keys that were refused lately.
#[derive(Debug, Default)]
struct RefusedKeys {
    known: HashSet<RequestKey>,
    order: VecDeque<RequestKey>,
}

impl RefusedKeys {
    fn insert(&mut self, key: &RequestKey) {
        if !self.known.insert(key.clone()) {
            return;
        }
        self.order.push_back(key.clone());
        if self.order.len() > MAX_REFUSED_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    fn contains(&self, key: &RequestKey) -> bool {
        self.known.contains(key)
    }
}

#[derive(Debug)]
struct State {
    share: ShareLimiter,
    retries: RetryBudget,
    come_back: RetrySpread,
    refused: RefusedKeys,
    /// Whether the home gave no more since the last admission.
    confirmed_short: bool,
}

/// Use of the limits of one workspace.
#[derive(Debug)]
pub struct WorkspaceLimiter {
    state: Mutex<State>,
    grants: watch::Sender<u64>,
}

impl WorkspaceLimiter {
    fn new(cfg: ShareConfig, now: Duration) -> Self {
        let state = State {
            share: ShareLimiter::new(cfg, now),
            retries: RetryBudget::new(RetryBudgetConfig::default(), now),
            come_back: RetrySpread::new(SHORTEST_SPREAD, LONGEST_SPREAD),
            refused: RefusedKeys::default(),
            confirmed_short: false,
        };
        Self { state: Mutex::new(state), grants: watch::Sender::new(0) }
    }

    pub(super) fn ask(&self, now: Duration) -> Option<Demand> {
        self.lock().share.poll_demand(now)
    }

    pub(super) fn report(&self, now: Duration) -> Demand {
        self.lock().share.report(now)
    }

    pub(super) fn granted(&self, now: Duration, share: Share, limits: Option<&WorkspaceLimits>) {
        let mut state = self.lock();
        state.share.apply_share(now, share);
        let limit = limits.map_or(0.0, |limits| f64::from(limits.requests_per_second));
        if limit > 0.0 {
            state.retries.set_rate_fraction(now, share.rate / limit);
        }
        drop(state);
        self.grants.send_modify(|count| *count += 1);
    }

    pub(super) fn ask_soon(&self) {
        self.lock().share.renew_soon();
    }

    /// Counts a request that waits when the home may give more; false when it need not wait.
    fn waits(&self, now: Duration) -> bool {
        let mut state = self.lock();
        if state.confirmed_short || state.share.has_room(now) {
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
                state.confirmed_short = false;
                Ok(())
            }
            Admission::LimitReached { retry_after } => {
                state.confirmed_short = state.share.share(now).is_some();
                Err(state.refuse(now, arrival.key, ErrorKind::LimitReached, retry_after))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Makes a refusal whose time to come back is spread.
    fn refuse(
        &mut self,
        now: Duration,
        key: &RequestKey,
        kind: ErrorKind,
        base: Duration,
    ) -> Refusal {
        self.refused.insert(key);
        let room = self.share.share(now).map_or(0.0, |share| share.rate);
        Refusal::new(kind, self.come_back.retry_after(now, key, base, room))
    }
}

/// A request that is counted until it is dropped.
#[derive(Debug)]
pub struct Slot(Arc<WorkspaceLimiter>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().share.release();
    }
}

/// Use of the limits of all workspaces.
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
    /// A request that the share has room for never waits. Else the home is asked once whether
    /// there is more; as long as there isn't, further requests are refused at once.
    ///
    /// # Errors
    ///
    /// Refuses with `LimitReached` and when to come back.
    pub async fn admit(&self, node: &Arc<Node>, arrival: Arrival<'_>) -> Result<Slot, Refusal> {
        let used = self.of(clock::now(), arrival.workspace);
        if used.waits(clock::now()) {
            let _ = timeout(SHARE_WAIT, larger_share(node, &used, arrival.workspace)).await;
        }
        used.admit(clock::now(), &arrival)?;
        Ok(Slot(used))
    }

    /// Spreads the time to come back of a refusal that says so, and remembers its key.
    pub fn record_refusal(&self, arrival: &Arrival<'_>, refusal: Refusal) -> Refusal {
        if !refusal.kind.answer().retry || refusal.kind == ErrorKind::LimitReached {
            return refusal;
        }
        let now = clock::now();
        let used = self.of(now, arrival.workspace);
        let mut state = used.lock();
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
        let mut uses = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(used) = uses.get(workspace) {
            return used.clone();
        }
        let used = Arc::new(WorkspaceLimiter::new(self.cfg.clone(), now));
        uses.insert(workspace.clone(), used.clone());
        used
    }

    /// Asks all homes soon, since the members have changed.
    pub(super) fn ask_soon(&self) {
        let uses = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        uses.values().for_each(|used| used.ask_soon());
    }

    /// Forgets the workspaces for which `keep` is false.
    pub(super) fn retain<F>(&self, keep: F)
    where
        F: Fn(&WorkspaceName) -> bool,
    {
        let mut uses = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        uses.retain(|workspace, _| keep(workspace));
    }
}

/// Returns once there is room, or the home has answered that there is no more.
async fn larger_share(node: &Arc<Node>, used: &WorkspaceLimiter, workspace: &WorkspaceName) {
    let mut grants = used.grants.subscribe();
    for _ in 0..MAX_GRANTS {
        ask_if_due(node, workspace);
        if grants.changed().await.is_err() || used.has_room(clock::now()) {
            return;
        }
    }
}
