//! Whether this instance reaches upstreams, judged by its own connections.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use lacewingspring_core::{
    dispatch::UpstreamInfo,
    names::{ServiceName, UpstreamName},
};
use log::{info, warn};
use tokio::{task::JoinSet, time::sleep};

use crate::{clock, exchange::Connect};

/// Number of upstreams to which connections must have failed for the path to all to count as lost, if
/// so many are known.
const MAX_FAILED: usize = 3;

/// As [`MAX_FAILED`], if fewer are known: the failure of one upstream says nothing of the path.
const MIN_FAILED: usize = 2;

/// Time within which these connections failed.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Interval of the probes while a path is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of upstreams that are probed at a time.
const PROBES_AT_A_TIME: usize = 3;

#[derive(Debug, Default)]
struct State {
    /// Time of the last failed connection to each upstream since one was made to it.
    failed: HashMap<UpstreamName, Duration>,
    connected_at: Duration,
    /// Whether this instance reaches no upstream at all.
    is_lost: bool,
    /// Services of which it reaches no upstream.
    lost_services: BTreeSet<ServiceName>,
}

/// Paths of this instance to upstreams.
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

    /// Returns whether this instance reaches no upstream of a service.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        let state = self.state();
        state.is_lost || state.lost_services.contains(service)
    }

    /// Records at `now` the outcome of a connection to an upstream.
    pub fn record<T, E>(&self, now: Duration, upstream: &UpstreamName, result: &Result<T, E>) {
        let upstreams = self.upstreams.load();
        let mut state = self.state();
        match result {
            Ok(_) => state.record_connected(now, upstream, &upstreams),
            Err(_) => state.record_failure(now, upstream, &upstreams),
        }
    }

    /// Connects to some upstreams after the others while a path is lost. Never returns.
    pub async fn run_probes(self: Arc<Self>, connector: Arc<dyn Connect>) {
        let mut next = 0;
        loop {
            sleep(PROBE_INTERVAL).await;
            let mut probes = JoinSet::new();
            for (upstream, address) in self.probed(next) {
                let (path, connector) = (self.clone(), connector.clone());
                probes.spawn(async move {
                    let result = connector.connect(address).await;
                    path.record(clock::now(), &upstream, &result);
                });
            }
            next += probes.len();
            probes.join_all().await;
        }
    }

    /// Returns the upstreams to probe, from one of this number on; none while no path is lost.
    fn probed(&self, number: usize) -> Vec<(UpstreamName, SocketAddr)> {
        let upstreams = self.upstreams.load();
        let state = self.state();
        let is_lost =
            |info: &&UpstreamInfo| state.is_lost || state.lost_services.contains(&info.service);
        let lost: Vec<&UpstreamInfo> = upstreams.iter().filter(is_lost).collect();
        let count = lost.len().min(PROBES_AT_A_TIME);
        let probed = lost.iter().cycle().skip(number % lost.len().max(1)).take(count);
        probed.map(|info| (info.name.clone(), info.address)).collect()
    }
}

impl State {
    fn record_connected(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        upstreams: &[UpstreamInfo],
    ) {
        self.connected_at = now;
        self.failed.remove(upstream);
        if std::mem::take(&mut self.is_lost) {
            info!("The instance reaches upstreams again.");
        }
        let info = upstreams.iter().find(|info| info.name == *upstream);
        if let Some(info) = info.filter(|info| self.lost_services.remove(&info.service)) {
            let service = info.service.as_str();
            info!(service; "The instance reaches upstreams of a service again.");
        }
    }

    fn record_failure(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        upstreams: &[UpstreamInfo],
    ) {
        self.failed.retain(|_, at| now.saturating_sub(*at) < FAILURE_WINDOW);
        self.failed.insert(upstream.clone(), now);
        let failed = self.failed.values().filter(|at| **at > self.connected_at).count();
        let known = upstreams.len();
        if failed >= known.clamp(MIN_FAILED, MAX_FAILED) && !self.is_lost {
            self.is_lost = true;
            warn!(
                failed, known;
                "The instance reaches no upstream; requests are passed on to other instances."
            );
        }
        let info = upstreams.iter().find(|info| info.name == *upstream);
        let Some(service) = info.map(|info| &info.service) else { return };
        let of_service = upstreams.iter().filter(|info| info.service == *service);
        let of_service: Vec<&UpstreamInfo> = of_service.filter(|info| !info.draining).collect();
        let all_failed = of_service.iter().all(|info| self.failed.contains_key(&info.name));
        if all_failed
            && of_service.len() >= MIN_FAILED
            && self.lost_services.insert(service.clone())
        {
            warn!(
                service = service.as_str(), known = of_service.len();
                "The instance reaches no upstream of a service; its requests are passed on."
            );
        }
    }
}
