//! Assembles the components of one instance and runs it until it is stopped.

use std::{io, sync::Arc, time::Duration};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use lacewingspring_core::{
    dispatch::{Limits, QuotaBounds, UpstreamInfo},
    names::ServiceName,
};
use log::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{sleep, timeout},
};

use self::serve::{log_bind_error, serve_callers, serve_directory, serve_metrics};
use crate::{
    clock,
    connections::{Connections, MaxConnections},
    counted::CountedStore,
    declared::{CallerLimits, Declared},
    descriptors::DescriptorShares,
    exchange::Connect,
    follow::Follower,
    gate::{
        host::GateHost,
        ledger::Ledger,
        link::GateClient,
        roll_out::{ColdUpstream, DeclaredOrders, RollOutStatus, keeper::Keeper},
    },
    members::{MEMBERS_PREFIX, Member, Members, SharedMembers, random_incarnation},
    memory_budget::{MemoryBudget, SharedBudget},
    metrics::SharedMetrics,
    mirror::Mirror,
    own_entry::OwnEntryObserver,
    protocol::Protocol,
    readiness::ReadinessCheck,
    registration::Registration,
    replica::{Replicas, Topic},
    settings::Settings,
    store::Store,
    unavailable::UnavailableUpstreams,
    upstream_path::UpstreamPath,
};

mod serve;

/// Time after SIGTERM for which connections and requests are still accepted, while callers learn
/// from the directory that the instance leaves.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);

/// Margin before the platform kills the process, at which it exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time limit for removing the instance's registration at exit.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between checks for open connections at shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Decodes the platform's entries in the key-value service.
pub trait StateDecoder: Send + Sync + 'static {
    /// Key prefix of the operators' configuration.
    const DECLARED_PREFIX: &'static str;

    /// Key prefix of all that operators write: the configuration and the orders of roll-outs.
    const OPERATORS_PREFIX: &'static str;

    /// Key prefix of the upstreams' entries.
    const UPSTREAMS_PREFIX: &'static str;

    /// Decodes the operators' configuration; `None` if it is missing or invalid.
    fn declared(&self, mirror: &Mirror) -> Option<Declared>;

    /// Decodes the upstreams' entries and leaves out those that are invalid.
    fn upstreams(&self, mirror: &Mirror) -> Vec<UpstreamInfo>;

    /// Decodes the orders of roll-outs.
    fn orders(&self, mirror: &Mirror) -> DeclaredOrders;

    /// Decodes which upstreams are slow after their start.
    fn cold_upstreams(&self, mirror: &Mirror) -> Vec<ColdUpstream>;

    /// Returns the key of the status of a service's roll-out.
    fn status_key(&self, service: &ServiceName) -> String;

    /// Encodes the status of a roll-out.
    fn status(&self, status: &RollOutStatus) -> Bytes;
}

/// Components of an instance that depend on the platform.
#[derive(Debug)]
pub struct Components<S, P, T> {
    /// Client of the key-value service.
    pub store: Arc<S>,
    /// Headers that callers and upstreams use.
    pub protocol: Arc<P>,
    /// Decoder of the entries in the key-value service.
    pub decoder: Arc<T>,
    /// Opens connections to upstreams.
    pub upstreams: Arc<dyn Connect>,
}

impl<S, P, T> Components<S, P, T>
where
    S: Store,
{
    /// Returns the same components with a store whose calls are counted.
    fn with_counted_store(
        self,
        metrics: &SharedMetrics,
        replicas: &Arc<Replicas>,
    ) -> Components<CountedStore<S>, P, T> {
        let store = CountedStore {
            inner: self.store,
            metrics: metrics.clone(),
            replicas: replicas.clone(),
        };
        Components {
            store: Arc::new(store),
            protocol: self.protocol,
            decoder: self.decoder,
            upstreams: self.upstreams,
        }
    }
}

/// State of the fleet as this instance knows it, shared by its tasks.
struct SharedState {
    declared: Arc<ArcSwapOption<Declared>>,
    upstreams: Arc<ArcSwap<Vec<UpstreamInfo>>>,
    path: Arc<UpstreamPath>,
    unavailable: Arc<UnavailableUpstreams>,
    members: SharedMembers,
    host: Arc<GateHost>,
    /// Whether the configuration and the entries of upstreams have been read.
    is_read: watch::Sender<bool>,
    metrics: SharedMetrics,
    budget: SharedBudget,
    descriptors: DescriptorShares,
    settings: Settings,
}

impl SharedState {
    /// Creates the state of an instance that knows nothing of the fleet yet.
    fn new(settings: &Settings, replicas: &Arc<Replicas>, is_read: watch::Sender<bool>) -> Self {
        let members = SharedMembers::default();
        let link_bytes_per_s = settings.machine.link_bytes_per_s();
        let host = GateHost::new(members.clone(), replicas.clone(), link_bytes_per_s);
        let upstreams = Arc::<ArcSwap<Vec<UpstreamInfo>>>::default();
        let descriptors = DescriptorShares::new(&settings.machine, &settings.connections);
        Self {
            declared: Arc::default(),
            path: Arc::new(UpstreamPath::new(upstreams.clone())),
            upstreams,
            unavailable: Arc::default(),
            members,
            host: Arc::new(host),
            is_read,
            metrics: SharedMetrics::default(),
            budget: MemoryBudget::new(settings.machine.memory_mb, descriptors.callers.total),
            descriptors,
            settings: settings.clone(),
        }
    }

    /// Applies a declared configuration unless its version is in force already or older.
    fn apply_declared(&self, now: Duration, declared: Declared) {
        let known = self.declared.load().as_ref().map_or(0, |known| known.version);
        if declared.version <= known {
            return;
        }
        info!(
            version = declared.version, before = known;
            "A new version of the configuration is in force."
        );
        let bounds = &self.settings.bounds;
        let quotas =
            declared.workspaces().map(|workspace| (workspace.name.clone(), workspace.quota));
        let limits = Limits {
            quotas: QuotaBounds { quotas: quotas.collect(), window: bounds.quota_window() },
            retries: bounds.retries(),
        };
        self.host.set_limits(declared.version, limits);
        self.metrics.set_declared_version(declared.version);
        self.declared.store(Some(Arc::new(declared)));
        self.apply_upstreams(now);
        self.update_readiness();
    }

    fn update_upstreams(&self, now: Duration, upstreams: Vec<UpstreamInfo>) {
        self.unavailable.update(&upstreams);
        self.upstreams.store(Arc::new(upstreams));
        self.apply_upstreams(now);
        self.host.set_entries_read(now);
        self.update_readiness();
    }

    /// Notes that the configuration and the entries of upstreams have been read once both are.
    fn update_readiness(&self) {
        if self.declared.load().is_some() && self.host.has_entries() {
            self.is_read.send_replace(true);
        }
    }

    /// Passes the upstreams to the dispatcher, each with the memory declared for its service.
    fn apply_upstreams(&self, now: Duration) {
        let declared = self.declared.load();
        let upstreams = self.upstreams.load();
        let upstreams = upstreams.iter().cloned().map(|mut upstream| {
            let service = declared.as_ref().and_then(|all| all.services.get(&upstream.service));
            let memory = service.and_then(|service| service.memory_tokens);
            upstream.memory_tokens = memory.unwrap_or(u64::MAX);
            upstream
        });
        self.host.set_upstreams(now, upstreams);
    }

    fn update_members(&self, now: Duration, members: Members) {
        self.metrics.set_instances(members.len());
        self.members.store(Arc::new(members));
        self.host.on_members_changed(now);
    }

    /// Creates the connections of a server, which the metrics show.
    fn connections(
        &self,
        server: &'static str,
        max: MaxConnections,
        budget: Option<SharedBudget>,
    ) -> Arc<Connections> {
        let connections = Connections::new(server, max, budget);
        self.metrics.add_connections(connections.clone());
        connections
    }

    fn caller_limits(&self) -> CallerLimits {
        self.declared.load().as_ref().map_or_else(CallerLimits::default, |known| known.limits)
    }
}

/// Runs an instance until SIGTERM and shuts it down.
///
/// # Errors
///
/// Fails if no handler can be set for a signal.
pub async fn run<S, P, T>(settings: Settings, components: Components<S, P, T>) -> io::Result<()>
where
    S: Store,
    P: Protocol,
    T: StateDecoder,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let member = own_member(&settings);
    info!(
        instance = settings.instance.as_str(), incarnation = member.incarnation,
        callers:% = settings.listen.callers, peers:% = settings.listen.peers,
        metrics:% = settings.listen.metrics;
        "The instance starts."
    );
    let (member_tx, member) = watch::channel(member);
    let (closing_tx, closing) = watch::channel(false);
    let (read_tx, is_read) = watch::channel(false);
    let (shutdown_tx, shutdown) = watch::channel(false);
    let replicas = Arc::new(Replicas::default());
    let state = Arc::new(SharedState::new(&settings, &replicas, read_tx));
    let components = components.with_counted_store(&state.metrics, &replicas);
    let (name, members) = (settings.instance.clone(), state.members.clone());
    let gate = GateClient::new(name, members, replicas.clone(), state.host.clone());
    let gate = Arc::new(gate);
    state.metrics.show_budget(state.budget.clone());
    state.metrics.show_replicas(replicas.clone());
    let budget = state.budget.clone();
    tokio::spawn(async move { budget.arrivals().run_sweeps().await });
    state.host.require_recorded_versions();
    state.host.require_entries();
    if settings.shares {
        state.host.enable_shares();
    }
    start_roll_outs(&state, &components);
    let own_entry = OwnEntryObserver::new(member.borrow().clone(), state.metrics.clone());
    follow_store(&state, &components, &replicas, own_entry);
    start_gate(&state, &components, gate.clone());
    let registration = Registration::new(
        components.store.clone(),
        member.clone(),
        Duration::from_millis(settings.bounds.min_lease_ms),
        shutdown,
        replicas.clone(),
        state.metrics.clone(),
    );
    let registration = tokio::spawn(registration.run());
    let callers_budget = state.budget.is_bounded().then(|| state.budget.clone());
    let open = state.connections("callers", state.descriptors.callers, callers_budget);
    let readiness = ReadinessCheck::new(is_read, member.clone(), gate.clone());
    serve_directory(&settings, &components, &state, &member, readiness, &closing);
    serve_callers(&settings, &components, &state, &member, gate, &closing, &open);
    serve_metrics(&settings, &state, &closing);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => info!("SIGHUP received; settings are not reloaded."),
        }
    }
    stop(&settings, &member_tx, &closing_tx, &open).await;
    shutdown_tx.send_replace(true);
    if timeout(DEREGISTER_TIMEOUT, registration).await.is_err() {
        warn!("The registration was not removed in time; it expires with its lease.");
    }
    Ok(())
}

/// Returns the entry of this instance, with a new incarnation.
fn own_member(settings: &Settings) -> Member {
    Member {
        instance: settings.instance.clone(),
        incarnation: random_incarnation(),
        data_centre: settings.data_centre.clone(),
        millicores: settings.machine.millicores(),
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        is_leaving: false,
    }
}

/// Starts the tasks that handle roll-outs, if the settings ask for it.
fn start_roll_outs<S, P, T>(state: &SharedState, components: &Components<S, P, T>)
where
    S: Store,
    T: StateDecoder,
{
    let Some(roll_out) = state.settings.roll_out else { return };
    let host = &state.host;
    host.enable_roll_outs(roll_out.bounds());
    tokio::spawn(host.clone().follow_order_confirmations());
    let (store, decoder) = (components.store.clone(), components.decoder.clone());
    tokio::spawn(Keeper::new(store, decoder, host.clone(), state.metrics.clone()).run());
}

/// Starts the tasks of both sides of the gate, the probes of the path to upstreams, and the task
/// that stores what the next gate must know.
fn start_gate<S, P, T>(state: &SharedState, components: &Components<S, P, T>, gate: Arc<GateClient>)
where
    S: Store,
{
    let host = &state.host;
    tokio::spawn(host.clone().run_ticks());
    tokio::spawn(host.clone().run_heartbeat());
    tokio::spawn(host.clone().push_updates());
    tokio::spawn(host.clone().publish_streams());
    tokio::spawn(host.clone().follow_confirmations());
    tokio::spawn(state.path.clone().run_probes(components.upstreams.clone()));
    tokio::spawn(Ledger { store: components.store.clone(), host: host.clone() }.run());
    tokio::spawn(gate.run());
    let links = state.connections("links", state.descriptors.links, None);
    let serving = host.clone().serve_within(state.settings.listen.peers, links);
    tokio::spawn(log_bind_error("peers", serving));
}

/// Shuts down in steps: the instance is marked as leaving and accepts requests for a while, closes
/// its listeners, and waits until its connections are closed or the grace period is nearly over.
async fn stop(
    settings: &Settings,
    member: &watch::Sender<Member>,
    closing: &watch::Sender<bool>,
    open: &Connections,
) {
    let began = clock::now();
    info!(connections = open.count(); "SIGTERM received; the instance leaves the fleet.");
    member.send_modify(|member| member.is_leaving = true);
    sleep(DRAIN_DELAY).await;
    closing.send_replace(true);
    let last = began + settings.bounds.grace().saturating_sub(KILL_MARGIN);
    while open.count() > 0 && clock::now() < last {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    info!(connections = open.count(); "The instance stops.");
}

/// Starts the tasks that follow the configuration, the upstreams and the members in the key-value
/// service and apply each change.
fn follow_store<S, P, T>(
    state: &Arc<SharedState>,
    components: &Components<S, P, T>,
    replicas: &Arc<Replicas>,
    mut own_entry: OwnEntryObserver,
) where
    S: Store,
    T: StateDecoder,
{
    let followers = Followers {
        store: components.store.clone(),
        replicas: replicas.clone(),
        max_bytes: state.settings.machine.max_topic_bytes(),
    };
    let handles_roll_outs = state.settings.roll_out.is_some();
    let decoder = components.decoder.clone();
    let shared = state.clone();
    let declared = move |now: Duration, mirror: &Mirror| {
        if handles_roll_outs {
            shared.host.set_orders(now, decoder.orders(mirror), mirror.revision());
        }
        if let Some(declared) = decoder.declared(mirror) {
            shared.apply_declared(now, declared);
        }
    };
    let prefix = if handles_roll_outs { T::OPERATORS_PREFIX } else { T::DECLARED_PREFIX };
    followers.start(Topic::Declared, prefix, declared);
    let decoder = components.decoder.clone();
    let shared = state.clone();
    let upstreams = move |now: Duration, mirror: &Mirror| {
        if handles_roll_outs {
            shared.host.set_registry_revision(mirror.revision());
            shared.host.set_cold_upstreams(now, decoder.cold_upstreams(mirror));
        }
        shared.update_upstreams(now, decoder.upstreams(mirror));
    };
    followers.start(Topic::Upstreams, T::UPSTREAMS_PREFIX, upstreams);
    let shared = state.clone();
    let members = move |now: Duration, mirror: &Mirror| {
        own_entry.observe(mirror);
        shared.update_members(now, Members::from_mirror(mirror));
    };
    followers.start(Topic::Members, MEMBERS_PREFIX, members);
}

/// What the tasks that follow the topics have in common.
struct Followers<S> {
    store: Arc<S>,
    replicas: Arc<Replicas>,
    /// Largest memory of the copy of a topic, in bytes.
    max_bytes: usize,
}

impl<S> Followers<S>
where
    S: Store,
{
    /// Starts the task that follows a topic, whose keys begin with `prefix`.
    fn start<F>(&self, topic: Topic, prefix: &'static str, on_change: F)
    where
        F: FnMut(Duration, &Mirror) + Send + Sync + 'static,
    {
        let (store, replicas) = (self.store.clone(), self.replicas.clone());
        let follower = Follower::new(store, replicas, topic, prefix, on_change);
        tokio::spawn(follower.with_max_bytes(self.max_bytes).run());
    }
}
