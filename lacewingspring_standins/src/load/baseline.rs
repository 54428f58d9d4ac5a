//! Baselines: independent entries without tiers, straight before the upstreams.

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
    client::{Send, open},
    scenario::Deployment,
};

/// Time between two reads of the load reports.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for a load report.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Metrics that add up to the load of an engine.
const LOAD_METRICS: [&str; 2] = ["vllm:num_requests_running", "vllm:num_requests_waiting"];

/// How an entry chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// One after the other.
    RoundRobin,
    /// The less loaded of two, by their reports.
    LeastLoad,
}

/// Independent entries before the upstreams.
#[derive(Debug)]
pub struct Baseline {
    choice: Choice,
    engines: Vec<SocketAddr>,
    plain: Vec<SocketAddr>,
    /// Requests that the engines report.
    loads: Arc<Vec<AtomicU64>>,
    /// Next upstream of each entry.
    cursors: Vec<AtomicUsize>,
    poller: Option<JoinHandle<()>>,
}

impl Baseline {
    /// Starts the entries, and the reader of load reports where they are used.
    pub fn start(deployment: &Deployment, choice: Choice) -> Self {
        let engines: Vec<_> = deployment.engines().iter().map(|engine| engine.address).collect();
        let plain = deployment.plain().iter().map(|server| server.address).collect();
        let loads = Arc::new(engines.iter().map(|_| AtomicU64::new(0)).collect::<Vec<_>>());
        let polls = choice == Choice::LeastLoad;
        let poller = polls.then(|| tokio::spawn(poll(engines.clone(), loads.clone())));
        let cursors = (0..deployment.instances).map(AtomicUsize::new).collect();
        Self { choice, engines, plain, loads, cursors, poller }
    }

    /// Chooses an engine.
    pub fn engine(&self, rng: &mut Pcg64) -> SocketAddr {
        let index = match self.choice {
            Choice::RoundRobin => self.turn(rng) % self.engines.len(),
            Choice::LeastLoad => self.less_loaded(rng),
        };
        self.engines[index]
    }

    /// Chooses a plain server.
    pub fn plain(&self, rng: &mut Pcg64) -> SocketAddr {
        self.plain[self.turn(rng) % self.plain.len()]
    }

    /// Next number of the entry that the caller uses.
    fn turn(&self, rng: &mut Pcg64) -> usize {
        let entry = rng.random_range(0..self.cursors.len());
        self.cursors[entry].fetch_add(1, Ordering::Relaxed)
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

async fn poll(engines: Vec<SocketAddr>, loads: Arc<Vec<AtomicU64>>) {
    loop {
        for (engine, load) in engines.iter().zip(loads.iter()) {
            if let Some(reported) = report(*engine).await {
                load.store(reported, Ordering::Relaxed);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn report(engine: SocketAddr) -> Option<u64> {
    let read = async { open(engine, &Send::new("GET", "/metrics")).await?.text().await };
    let text = timeout(POLL_TIMEOUT, read).await.ok()?.ok()?;
    Some(reported_load(&text))
}

/// Sums the requests of an engine in its metrics.
fn reported_load(text: &str) -> u64 {
    let samples =
        text.lines().filter(|line| LOAD_METRICS.iter().any(|name| line.starts_with(name)));
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.filter(|value| value.is_finite() && *value > 0.0).map(|value| value as u64).sum()
}
