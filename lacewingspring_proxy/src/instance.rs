//! Wires the parts of one instance and runs it until it is stopped.

use std::{io, sync::Arc, time::Duration};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::body::Incoming;
use lacewingspring_core::dispatch::{Limits, QuotaBounds, UpstreamInfo};
use log::{error, info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    answer::AnswerBody,
    clock,
    counted::CountedStore,
    declared::{CallerLimits, Declared},
    directory::Directory,
    follow::Follower,
    forward::Forward,
    gate::{host::GateHost, ledger::UsageLedger, link::GateClient},
    leaving::LeavingUpstreams,
    members::{MEMBERS_PREFIX, Member, Members, Registration, SharedMembers, random_incarnation},
    metrics::SharedMetrics,
    mirror::Mirror,
    protocol::Protocol,
    replica::{Replicas, Topic},
    server::{ConnectionLimits, OpenConnections, Server},
    settings::Settings,
    store::Store,
};

/// Time after the request to stop for which requests are taken as before.
const TAKE_ON: Duration = Duration::from_millis(2_600);

/// Time before the kill at which the process ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// Time to tell the platform that the instance is gone.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between looks at what is still open.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Content type of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Translates what the platform holds.
pub trait StateDecoder: Send + Sync + 'static {
    /// Prefix of the operators' configuration.
    const DECLARED_PREFIX: &'static str;

    /// Prefix of the upstreams' entries.
    const UPSTREAMS_PREFIX: &'static str;

    /// Reads the operators' configuration; none when it is not there or unreadable.
    fn declared(&self, mirror: &Mirror) -> Option<Declared>;

    /// Reads the upstreams' entries; those that can't be read are left out.
    fn upstreams(&self, mirror: &Mirror) -> Vec<UpstreamInfo>;
}

/// Components of an instance that the platform brings.
#[derive(Debug)]
pub struct Components<S, P, T> {
    /// Client of the key-value service.
    pub store: Arc<S>,
    /// Protocol of callers and upstreams.
    pub protocol: Arc<P>,
    /// Translator of what the key-value service holds.
    pub decoder: Arc<T>,
}

/// Beliefs that are read by many parts.
struct Beliefs {
    declared: Arc<ArcSwapOption<Declared>>,
    upstreams: ArcSwap<Vec<UpstreamInfo>>,
    leaving: Arc<LeavingUpstreams>,
    members: SharedMembers,
    host: Arc<GateHost>,
    is_ready: watch::Sender<bool>,
    metrics: SharedMetrics,
    settings: Settings,
}

impl Beliefs {
    /// Takes what is declared, unless it is older than what is known.
    fn take_declared(&self, now: Duration, declared: Declared) {
        let known = self.declared.load().as_ref().map_or(0, |known| known.version);
        if declared.version <= known {
            return;
        }
        info!(version = declared.version, before = known; "The configuration is taken.");
        let bounds = &self.settings.bounds;
        let quotas = declared.workspaces().map(|known| (known.name.clone(), known.quota));
        let limits = Limits {
            quotas: QuotaBounds { quotas: quotas.collect(), window: bounds.quota_window() },
            retries: bounds.retries(),
        };
        self.host.set_limits(limits);
        self.metrics.declared(declared.version);
        self.declared.store(Some(Arc::new(declared)));
        self.apply_upstreams(now);
        self.is_ready.send_replace(true);
    }

    fn take_upstreams(&self, now: Duration, upstreams: Vec<UpstreamInfo>) {
        self.leaving.update(&self.upstreams.load(), &upstreams);
        self.upstreams.store(Arc::new(upstreams));
        self.apply_upstreams(now);
    }

    /// Hands upstreams to the gate, with the memory that is declared for their service.
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

    fn take_members(&self, now: Duration, members: Members) {
        self.metrics.instances(members.len());
        self.members.store(Arc::new(members));
        self.host.on_members_changed(now);
    }

    fn caller_limits(&self) -> CallerLimits {
        self.declared.load().as_ref().map_or_else(CallerLimits::default, |known| known.limits)
    }
}

/// Runs an instance until it is stopped.
///
/// # Errors
///
/// Fails when an address is taken or signals can't be heard.
pub async fn run<S, P, T>(settings: Settings, parts: Components<S, P, T>) -> io::Result<()>
where
    S: Store,
    P: Protocol,
    T: StateDecoder,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let incarnation = random_incarnation();
    let member = Member {
        instance: settings.instance.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        millicores: settings.machine.millicores(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        is_leaving: false,
    };
    info!(
        instance = settings.instance.as_str(), incarnation, callers:% = settings.listen.callers,
        peers:% = settings.listen.peers, metrics:% = settings.listen.metrics;
        "The instance starts."
    );
    let (member_tx, member) = watch::channel(member);
    let (closing_tx, closing) = watch::channel(false);
    let (ready_tx, is_ready) = watch::channel(false);
    let (ending_tx, ending) = watch::channel(false);
    let members = SharedMembers::default();
    let metrics = SharedMetrics::default();
    let store = CountedStore { inner: parts.store.clone(), metrics: metrics.clone() };
    let parts =
        Components { store: Arc::new(store), protocol: parts.protocol, decoder: parts.decoder };
    let replicas = Arc::new(Replicas::default());
    let host =
        Arc::new(GateHost::new(members.clone(), replicas.clone(), settings.machine.link_bytes()));
    let name = settings.instance.clone();
    let gate = GateClient::new(name, members.clone(), replicas.clone(), host.clone());
    let gate = Arc::new(gate);
    let beliefs = Arc::new(Beliefs {
        declared: Arc::default(),
        upstreams: ArcSwap::default(),
        leaving: Arc::default(),
        members: members.clone(),
        host: host.clone(),
        is_ready: ready_tx,
        metrics: metrics.clone(),
        settings: settings.clone(),
    });
    follow(&beliefs, &parts, &replicas);
    tokio::spawn(host.clone().run_ticks());
    tokio::spawn(host.clone().push_updates());
    tokio::spawn(UsageLedger { store: parts.store.clone(), host: host.clone() }.run());
    tokio::spawn(gate.clone().run());
    tokio::spawn(watched("peers", host.serve(settings.listen.peers)));
    let registration = Registration {
        store: parts.store.clone(),
        member: member.clone(),
        min_lease: Duration::from_millis(settings.bounds.min_lease_ms),
        shutdown: ending,
    };
    let registration = tokio::spawn(registration.run());
    let open = Arc::new(OpenConnections::default());
    serve_directory(&settings, &parts, &beliefs, &member, is_ready, &closing);
    serve_callers(&settings, &parts, &beliefs, gate, &closing, &open);
    serve_metrics(&settings, &beliefs, &closing);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => info!("The settings are told to have changed."),
        }
    }
    stop(&settings, &member_tx, &closing_tx, &open).await;
    ending_tx.send_replace(true);
    if timeout(LEAVE_TIMEOUT, registration).await.is_err() {
        warn!("The platform was not told in time that the instance is gone.");
    }
    Ok(())
}

/// Leaves the fleet: first out of the directory, then without new requests, then when all is done.
async fn stop(
    settings: &Settings,
    member: &watch::Sender<Member>,
    closing: &watch::Sender<bool>,
    open: &OpenConnections,
) {
    let began = clock::now();
    info!(connections = open.count(); "The instance is told to stop.");
    member.send_modify(|member| member.is_leaving = true);
    sleep(TAKE_ON).await;
    closing.send_replace(true);
    let last = began + settings.bounds.grace().saturating_sub(BEFORE_KILL);
    while open.count() > 0 && clock::now() < last {
        sleep(STOP_CHECK).await;
    }
    info!(connections = open.count(); "The instance stops.");
}

fn follow<S, P, T>(beliefs: &Arc<Beliefs>, parts: &Components<S, P, T>, replicas: &Arc<Replicas>)
where
    S: Store,
    T: StateDecoder,
{
    let platform = parts.decoder.clone();
    let known = beliefs.clone();
    let declared = move |now: Duration, mirror: &Mirror| {
        if let Some(declared) = platform.declared(mirror) {
            known.take_declared(now, declared);
        }
    };
    start_follow(parts, replicas, Topic::Declared, T::DECLARED_PREFIX, declared);
    let platform = parts.decoder.clone();
    let known = beliefs.clone();
    let upstreams = move |now: Duration, mirror: &Mirror| {
        known.take_upstreams(now, platform.upstreams(mirror));
    };
    start_follow(parts, replicas, Topic::Upstreams, T::UPSTREAMS_PREFIX, upstreams);
    let known = beliefs.clone();
    let members = move |now: Duration, mirror: &Mirror| {
        known.take_members(now, Members::from_mirror(mirror));
    };
    start_follow(parts, replicas, Topic::Members, MEMBERS_PREFIX, members);
}

fn start_follow<S, P, T, F>(
    parts: &Components<S, P, T>,
    replicas: &Arc<Replicas>,
    topic: Topic,
    prefix: &'static str,
    on_change: F,
) where
    S: Store,
    F: FnMut(Duration, &Mirror) + Send + Sync + 'static,
{
    let follow = Follower::new(parts.store.clone(), replicas.clone(), topic, prefix, on_change);
    tokio::spawn(follow.run());
}

fn serve_directory<S, P, T>(
    settings: &Settings,
    parts: &Components<S, P, T>,
    beliefs: &Arc<Beliefs>,
    member: &watch::Receiver<Member>,
    is_ready: watch::Receiver<bool>,
    closing: &watch::Receiver<bool>,
) where
    P: Protocol,
{
    let directory = Arc::new(Directory {
        protocol: parts.protocol.clone(),
        members: beliefs.members.clone(),
        member: member.clone(),
        is_ready,
        max_ttl: Duration::try_from_secs_f64(settings.bounds.directory_ttl_s)
            .unwrap_or(Duration::MAX),
    });
    for address in [settings.listen.directory, settings.listen.readiness] {
        let server = Server { address, closing: closing.clone(), open: Arc::default() };
        let directory = directory.clone();
        let handler = move |req: Request<Incoming>| {
            let response = directory.answer(&req);
            async move { response }
        };
        let limits = CallerLimits::default();
        let limits =
            ConnectionLimits { head_bytes: limits.head_bytes, idle_time: limits.idle_timeout };
        tokio::spawn(watched("directory", server.run(move || limits, handler)));
    }
}

fn serve_callers<S, P, T>(
    settings: &Settings,
    parts: &Components<S, P, T>,
    beliefs: &Arc<Beliefs>,
    gate: Arc<GateClient>,
    closing: &watch::Receiver<bool>,
    open: &Arc<OpenConnections>,
) where
    P: Protocol,
{
    let forward = Arc::new(Forward {
        protocol: parts.protocol.clone(),
        data_centre: settings.data_centre.clone(),
        declared: beliefs.declared.clone(),
        leaving: beliefs.leaving.clone(),
        gate,
        metrics: beliefs.metrics.clone(),
    });
    let server =
        Server { address: settings.listen.callers, closing: closing.clone(), open: open.clone() };
    let beliefs = beliefs.clone();
    let limits = move || {
        let limits = beliefs.caller_limits();
        ConnectionLimits { head_bytes: limits.head_bytes, idle_time: limits.idle_timeout }
    };
    let handler = move |req: Request<Incoming>| {
        let forward = forward.clone();
        async move {
            let response: Response<AnswerBody> = forward.serve(clock::now(), req).await;
            response
        }
    };
    tokio::spawn(watched("callers", server.run(limits, handler)));
}

fn serve_metrics(settings: &Settings, beliefs: &Arc<Beliefs>, closing: &watch::Receiver<bool>) {
    let server =
        Server { address: settings.listen.metrics, closing: closing.clone(), open: Arc::default() };
    let beliefs = beliefs.clone();
    let handler = move |_: Request<Incoming>| {
        let counts = beliefs.host.counts();
        let text = beliefs.metrics.text(clock::now(), &counts);
        let mut response = Response::new(Full::<Bytes>::default());
        match text {
            Ok(text) => *response.body_mut() = Full::new(Bytes::from(text)),
            Err(e) => {
                error!(error:% = e; "The metrics can't be written.");
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
        async move { response }
    };
    tokio::spawn(watched("metrics", server.run(small_requests, handler)));
}

/// Bounds of connections that bring small questions.
fn small_requests() -> ConnectionLimits {
    let limits = CallerLimits::default();
    ConnectionLimits { head_bytes: limits.head_bytes, idle_time: limits.idle_timeout }
}

/// Tells of a server that ends.
async fn watched<F>(name: &'static str, server: F)
where
    F: Future<Output = io::Result<()>>,
{
    if let Err(e) = server.await {
        error!(server = name, error:% = e; "A server can't listen.");
    }
}
