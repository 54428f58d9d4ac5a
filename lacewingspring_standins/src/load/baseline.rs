//! Baseline policies: independent load balancers without tiers that call the upstreams directly.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    client::{OutgoingRequest, send_request},
    scenario::Deployment,
};

/// Pause between two rounds of load polling.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the metrics of one engine.
const LOAD_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Metrics whose sum is the load of an engine, in requests.
const LOAD_METRICS: [&str; 2] = ["vllm:num_requests_running", "vllm:num_requests_waiting"];

/// How a load balancer selects an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineSelection {
    /// Each engine in turn.
    RoundRobin,
    /// The less loaded of two random engines, by the last polled metrics.
    LeastLoad,
}

/// Independent load balancers in front of the upstreams, as many as the deployment has instances.
#[derive(Debug)]
pub struct Baseline {
    selection: EngineSelection,
    engines: Vec<SocketAddr>,
    plain: Vec<SocketAddr>,
    /// Last polled load of each engine, in requests.
    loads: Arc<Vec<AtomicU64>>,
    /// Round-robin position of each load balancer.
    positions: Vec<AtomicUsize>,
    poller: Option<JoinHandle<()>>,
}

impl Baseline {
    /// Creates the load balancers; with [`EngineSelection::LeastLoad`] also starts load polling.
    pub fn start(deployment: &Deployment, selection: EngineSelection) -> Self {
        let engines: Vec<_> = deployment.engines().iter().map(|engine| engine.address).collect();
        let plain = deployment.plain_servers().iter().map(|server| server.address).collect();
        let loads = Arc::new(engines.iter().map(|_| AtomicU64::new(0)).collect::<Vec<_>>());
        let polls = selection == EngineSelection::LeastLoad;
        let poller = polls.then(|| tokio::spawn(poll_loads(engines.clone(), loads.clone())));
        let positions = (0..deployment.instances).map(AtomicUsize::new).collect();
        Self { selection, engines, plain, loads, positions, poller }
    }

    /// Selects the engine for a request.
    pub fn choose_engine(&self, rng: &mut Pcg64) -> SocketAddr {
        let index = match self.selection {
            EngineSelection::RoundRobin => self.next_position(rng) % self.engines.len(),
            EngineSelection::LeastLoad => self.less_loaded(rng),
        };
        self.engines[index]
    }

    /// Selects the plain server for a call, in turn under both policies.
    pub fn choose_plain_server(&self, rng: &mut Pcg64) -> SocketAddr {
        self.plain[self.next_position(rng) % self.plain.len()]
    }

    /// Draws a load balancer at random and advances its round-robin position.
    fn next_position(&self, rng: &mut Pcg64) -> usize {
        let balancer = rng.random_range(0..self.positions.len());
        self.positions[balancer].fetch_add(1, Ordering::Relaxed)
    }

    fn less_loaded(&self, rng: &mut Pcg64) -> usize {
        let first = rng.random_range(0..self.engines.len());
        let step = rng.random_range(0..self.engines.len().max(2) - 1) + 1;
        let second = (first + step) % self.engines.len();
        let load = |index: usize| self.loads[index].load(Ordering::Relaxed);
        if load(second) < load(first) { second } else { first }
    }
}

impl Drop for Baseline {
    fn drop(&mut self) {
        if let Some(poller) = &self.poller {
            poller.abort();
        }
    }
}

/// Polls the engines one after the other; an engine that does not answer keeps its last load.
async fn poll_loads(engines: Vec<SocketAddr>, loads: Arc<Vec<AtomicU64>>) {
    loop {
        for (engine, load) in engines.iter().zip(loads.iter()) {
            if let Some(reported) = fetch_load(*engine).await {
                load.store(reported, Ordering::Relaxed);
            }
        }
        sleep(LOAD_POLL_INTERVAL).await;
    }
}

async fn fetch_load(engine: SocketAddr) -> Option<u64> {
    let read = async {
        send_request(engine, &OutgoingRequest::new("GET", "/metrics")).await?.read_text().await
    };
    let text = timeout(LOAD_POLL_TIMEOUT, read).await.ok()?.ok()?;
    Some(sum_load_metrics(&text))
}

/// Sums the running and waiting requests in the metrics text of an engine.
fn sum_load_metrics(text: &str) -> u64 {
    let samples =
        text.lines().filter(|line| LOAD_METRICS.iter().any(|name| line.starts_with(name)));
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.filter(|value| value.is_finite() && *value > 0.0).map(|value| value as u64).sum()
}
