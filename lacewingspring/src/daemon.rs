//! One instance: its components, its start and its graceful stop.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    catalog::Catalog, key_index::KeyId, membership::Member, names::InstanceName,
};
use thiserror::Error;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{interval, sleep},
};

use crate::{
    callers, clock,
    declared::DeclaredStore,
    entry::{Claims, RunTable, serve_follow},
    gates::GateHost,
    homes::{self, HomeClient, KeyHome, announce_on_change},
    limits::{self, Limits, renew_shares},
    membership::{Fleet, follow_list, gossip},
    metrics::Metrics,
    operators::{KnownOperator, Operators},
    peers::{Authority, AuthorityError, Exchange, Message, PeerError, Peers},
    platform::key_value::{CallCounts, KeyValue, Purpose},
    poison::{self, Poison, follow_members, read_stored},
    pool_control::{self, PoolReports, control_pools},
    settings::{Mechanism, Settings},
    view::NodeView,
};

/// Interval at which the gates of this instance are ticked.
const GATE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the counts of calls to the key-value service are sent as metrics.
const CALL_COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which a leaving instance checks whether all its runs have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Time that a stopping instance leaves for the last bytes of responses to reach their sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Why the daemon could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The socket for callers, the statsd socket or a signal handler could not be set up.
    #[error("cannot open a socket or install a signal handler: {0}")]
    Listen(#[from] io::Error),
    /// The authority can't be read or can't issue a certificate.
    #[error(transparent)]
    Authority(#[from] AuthorityError),
    /// The endpoint for peers could not be opened.
    #[error(transparent)]
    Peers(#[from] PeerError),
}

/// One instance with its components.
#[derive(Debug)]
pub struct Node {
    /// Settings that the daemon was started with.
    pub settings: Settings,
    /// Time of the start in milliseconds since the Unix epoch. It grows with each start of an
    /// instance; two instances may have the same incarnation.
    pub incarnation: u64,
    /// Declared resources in force.
    pub declared: Arc<DeclaredStore>,
    /// The fleet as this instance sees it.
    pub fleet: Arc<Fleet>,
    /// Connections to the other instances.
    pub peers: Arc<Peers>,
    /// Gates whose holder is this instance.
    pub gates: Arc<GateHost>,
    /// Index of the request keys whose home is this instance.
    pub home: KeyHome,
    /// Limits of the workspaces, at this instance as home and as entry.
    pub limits: Limits,
    /// Client of the key-value service.
    pub store: KeyValue,
    /// Detection of requests that crash upstreams.
    pub poison: Poison,
    /// Roll-outs of the engine pools, as their controllers reported them.
    pub pool_reports: Arc<PoolReports>,
    /// Runs at this instance.
    pub runs: Arc<RunTable>,
    /// Claims that this incarnation stores for non-idempotent requests.
    pub claims: Claims,
    /// Metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Operator interface.
    pub operators: Operators<NodeView>,
    leaving: AtomicBool,
}

impl Node {
    /// Returns the catalog of the resources in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.declared.catalog()
    }

    /// Returns whether this process is the given incarnation of the given instance.
    ///
    /// The incarnation alone does not identify it, since two instances that start at the same time
    /// have the same one.
    pub fn is_run(&self, instance: &InstanceName, incarnation: u64) -> bool {
        self.settings.instance == *instance && self.incarnation == incarnation
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

/// Runs an instance until it has received a stop signal and has finished its runs.
///
/// # Errors
///
/// Fails if the instance can't start.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let mut stop = StopSignals::listen()?;
    let node = build(settings)?;
    log::info!(instance:% = node.settings.instance; "Instance starts.");
    tokio::spawn(serve_peers(node.clone()));
    tokio::spawn(tick_gates(node.clone()));
    tokio::spawn(follow_list(node.clone()));
    tokio::spawn(gossip(node.clone()));
    tokio::spawn(announce_on_change(node.clone()));
    tokio::spawn(renew_shares(node.clone()));
    tokio::spawn(read_stored(node.clone()));
    tokio::spawn(follow_members(node.clone()));
    tokio::spawn(control_pools(node.clone()));
    tokio::spawn(send_call_counts(node.clone()));
    callers::start(node.clone())?;
    stop.recv().await;
    leave(&node).await;
    Ok(())
}

fn build(settings: Settings) -> Result<Arc<Node>, StartError> {
    let started = clock::wall().as_millis() as u64;
    let incarnation = settings.test.incarnation.unwrap_or(started);
    let authority = Authority::read(&settings.authority.certificate, &settings.authority.key)?;
    let peers = Peers::bind(settings.instance.clone(), settings.listen.peers, &authority)?;
    let timeout = Duration::from_millis(settings.key_value.timeout_ms);
    let store = KeyValue::new(settings.key_value.endpoints.clone(), timeout);
    let prefix = settings.key_value.prefix.clone();
    let claims = Claims::new(store.clone(), &settings, incarnation);
    let declared = DeclaredStore::start(store.clone(), &prefix);
    let poison = Poison::new(&settings.test, clock::now());
    let own = Member {
        name: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.listen.callers,
        peer_address: settings.listen.advertised_peer_address(),
        incarnation,
    };
    let period = Duration::from_millis(settings.timing.heartbeat_ms);
    let view = NodeView {
        fleet: Arc::new(Fleet::new(own, period, clock::now())),
        metrics: Arc::new(Metrics::start(settings.metrics.statsd)?),
        runs: Arc::default(),
        gates: Arc::default(),
        pool_reports: Arc::default(),
        store: store.clone(),
    };
    let bootstrap = settings.operators.iter().map(KnownOperator::from).collect();
    Ok(Arc::new(Node {
        fleet: view.fleet.clone(),
        gates: view.gates.clone(),
        metrics: view.metrics.clone(),
        runs: view.runs.clone(),
        pool_reports: view.pool_reports.clone(),
        operators: Operators::new(declared.clone(), view, bootstrap),
        settings,
        incarnation,
        declared,
        peers,
        home: KeyHome::new(clock::now()),
        limits: Limits::new(),
        store,
        poison,
        claims,
        leaving: AtomicBool::new(false),
    }))
}

async fn tick_gates(node: Arc<Node>) {
    let mut ticks = interval(GATE_TICK_INTERVAL);
    loop {
        ticks.tick().await;
        node.gates.tick(clock::now(), &node.catalog());
    }
}

/// Periodically sends the number of calls to the key-value service as metrics; never returns.
async fn send_call_counts(node: Arc<Node>) {
    let mut ticks = interval(CALL_COUNTS_INTERVAL);
    let mut sent = CallCounts::default();
    loop {
        ticks.tick().await;
        let counts = node.store.calls();
        for purpose in Purpose::ALL {
            let calls = counts.for_purpose(purpose) - sent.for_purpose(purpose);
            if calls > 0 {
                node.metrics.key_value_calls(purpose, calls);
            }
        }
        sent = counts;
    }
}

async fn serve_peers(node: Arc<Node>) {
    let mut exchanges = node.peers.accept();
    while let Some(exchange) = exchanges.recv().await {
        tokio::spawn(serve_exchange(node.clone(), exchange));
    }
}

async fn serve_exchange(node: Arc<Node>, mut exchange: Exchange) {
    let catalog = node.catalog();
    match exchange.rx.recv().await {
        Some(Message::RequestPermit(permit)) => {
            node.gates.serve_permit(clock::now(), &catalog, permit, exchange).await;
        }
        Some(Message::Adopt { permit, upstream }) => {
            node.gates
                .serve_adopted_permit(clock::now(), &catalog, permit, upstream, exchange)
                .await;
        }
        Some(Message::Heartbeat(digest)) => {
            if let Some(reply) = node.fleet.receive(clock::now(), *digest) {
                let _ = exchange.tx.send(Message::Heartbeat(Box::new(reply))).await;
            }
        }
        Some(Message::Key(call)) => {
            let reply = homes::serve(&node, call).await;
            let _ = exchange.tx.send(Message::KeyReply(reply)).await;
        }
        Some(Message::Share(call)) => {
            let reply = limits::serve(&node, call);
            let _ = exchange.tx.send(Message::ShareReply(reply)).await;
        }
        Some(Message::Poison(call)) => {
            let reply = poison::serve(&node, call);
            let _ = exchange.tx.send(Message::PoisonReply(reply)).await;
        }
        Some(Message::Pool(call)) => {
            let reply = pool_control::serve(&node, call);
            let _ = exchange.tx.send(Message::PoolReply(reply)).await;
        }
        Some(Message::FetchDeclared { have }) => {
            if let Some(bytes) = node.declared.encode_since(have) {
                let _ = exchange.tx.send(Message::Declared(bytes.to_vec())).await;
            }
        }
        Some(Message::Follow { workspace, key, incarnation }) => {
            let run = node.runs.get(&KeyId { workspace, key });
            let run = run.filter(|_| incarnation == node.incarnation);
            if let Some(run) = &run {
                HomeClient::new(&node).repeat_outcome(run);
            }
            serve_follow(run, &exchange).await;
        }
        _ => {}
    }
}

/// Signals that stop an instance.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs handlers for the signals, so that from here on neither ends the process at once.
    fn listen() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Leaves the fleet, rejects new requests and waits until all runs have ended.
///
/// The instance stays up at least until the address lists that name it have expired at the callers.
async fn leave(node: &Arc<Node>) {
    log::info!(open = node.runs.open_run_count(); "Instance leaves the fleet.");
    node.leaving.store(true, Ordering::Release);
    node.fleet.leave(clock::now());
    sleep(node.settings.timing.address_ttl()).await;
    let drains = node.settings.test.is_on(Mechanism::Drain);
    while drains && (node.runs.open_run_count() > 0 || node.runs.follower_count() > 0) {
        sleep(DRAIN_POLL).await;
    }
    // The last bytes of a response may not have reached the socket yet.
    sleep(FLUSH_DELAY).await;
    log::info!("Instance stops.");
}
