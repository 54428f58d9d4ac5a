//! Whether this instance reaches upstreams, judged by its own connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use lacewingspring_core::{dispatch::UpstreamInfo, names::UpstreamName};
use log::{info, warn};
use tokio::time::sleep;

use crate::{clock, exchange::Connect};

/// Number of upstreams to which connections must have failed for the path to count as lost, if so
/// many are known.
const MAX_FAILED: usize = 3;

/// As [`MAX_FAILED`], if fewer are known: the failure of one upstream says nothing of the path.
const MIN_FAILED: usize = 2;

/// Time within which these connections failed.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Interval of the probes while the path is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct State {
    /// Time of the last failed connection to each upstream since one was made.
    failed: HashMap<UpstreamName, Duration>,
    is_lost: bool,
}

/// Path of this instance to upstreams.
#[derive(Debug)]
pub struct UpstreamPath {
    state: Mutex<State>,
    upstreams: Arc<ArcSwap<Vec<UpstreamInfo>>>,
}

impl UpstreamPath {
    /// Creates a path to the registered upstreams.
    pub fn new(upstreams: Arc<ArcSwap<Vec<UpstreamInfo>>>) -> Self {
        Self { state: Mutex::default(), upstreams }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance reaches no upstream.
    pub fn is_lost(&self) -> bool {
        self.state().is_lost
    }

    /// Records the outcome of a connection to an upstream.
    pub fn record<T, E>(&self, upstream: &UpstreamName, result: &Result<T, E>) {
        match result {
            Ok(_) => self.record_connected(),
            Err(_) => self.record_failure(clock::now(), upstream),
        }
    }

    /// Records that a connection to an upstream was made.
    fn record_connected(&self) {
        let mut state = self.state();
        state.failed.clear();
        if std::mem::take(&mut state.is_lost) {
            info!("The instance reaches upstreams again.");
        }
    }

    /// Records that a connection to an upstream failed.
    fn record_failure(&self, now: Duration, upstream: &UpstreamName) {
        let known = self.upstreams.load().len();
        let mut state = self.state();
        state.failed.retain(|_, at| now.saturating_sub(*at) < FAILURE_WINDOW);
        state.failed.insert(upstream.clone(), now);
        let needed = known.clamp(MIN_FAILED, MAX_FAILED);
        if state.failed.len() >= needed && !std::mem::replace(&mut state.is_lost, true) {
            warn!(
                failed = state.failed.len(), known;
                "The instance reaches no upstream; requests are passed on to other instances."
            );
        }
    }

    /// Connects to one upstream after the other while the path is lost. Never returns.
    pub async fn run_probes(self: Arc<Self>, connector: Arc<dyn Connect>) {
        let mut next = 0;
        loop {
            sleep(PROBE_INTERVAL).await;
            let Some(address) = self.probed_address(next) else { continue };
            next += 1;
            if connector.connect(address).await.is_ok() {
                self.record_connected();
            }
        }
    }

    /// Returns the address to probe; `None` while the path is not lost.
    fn probed_address(&self, number: usize) -> Option<SocketAddr> {
        let upstreams = self.upstreams.load();
        let is_needed = self.is_lost() && !upstreams.is_empty();
        is_needed.then(|| upstreams[number % upstreams.len()].address)
    }
}
