//! What operators declare: routes, workspaces, services and limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lacewingspring_core::{
    dispatch::Quota,
    names::{ServiceName, WorkspaceName},
};
use rand::RngExt;

/// Shortest time after which a caller leaves a stream that is silent.
const SHORTEST_PATIENCE: Duration = Duration::from_secs(2);

/// Multiple of the time to be on time after which a caller leaves a silent stream.
const PATIENT_AIMS: u32 = 4;

/// Multiple of the longest pause after which a caller leaves a silent stream.
const PATIENT_PAUSES: u32 = 8;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// Once.
    NonIdempotent,
    /// Once, with an answer that comes as a series of events.
    Stream,
    /// As a stream that can go on at another upstream after its last event.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route from a host and path to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target_latency: Duration,
    /// Longest pause between events of an answer that is on time.
    pub max_event_gap: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services that it leads to.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether it needs no credential.
    pub is_public: bool,
}

impl Route {
    /// Returns how long a caller waits for the first part of an answer before it leaves.
    pub fn first_output_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let pause = self.max_event_gap.unwrap_or_default() * PATIENT_PAUSES;
        SHORTEST_PATIENCE.max(self.target_latency * PATIENT_AIMS).max(pause).min(self.timeout)
    }

    /// Chooses a service by weight.
    pub fn choose(&self) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut drawn = rand::rng().random_range(0..total);
        for target in &self.targets {
            if drawn < target.weight {
                return Some(&target.service);
            }
            drawn -= target.weight;
        }
        None
    }
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Urgency that goes before the route's.
    pub rank: Option<u8>,
    /// Its limit.
    pub quota: Quota,
    /// Whether the limit counts tokens, else requests.
    pub counts_tokens: bool,
    /// Tokens of a request that names none.
    pub default_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Tokens that fit in an engine's memory; none for plain services.
    pub memory_tokens: Option<u64>,
    /// Output tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time in which a request head arrives.
    pub head_timeout: Duration,
    /// Longest time for which a connection is idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// All that is declared, at one version.
#[derive(Clone, Debug, Default)]
pub struct Declared {
    /// Version; it only grows.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    workspaces: Vec<Arc<Workspace>>,
    by_credential: HashMap<Arc<str>, Arc<Workspace>>,
    needs_credential: bool,
}

impl Declared {
    /// Creates a declared state without resources.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let host = self.routes.entry(route.host.clone()).or_default();
        host.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Makes requests need a credential.
    pub fn require_credential(&mut self) {
        self.needs_credential = true;
    }

    /// Adds a workspace with its credentials.
    pub fn add_workspace<I>(&mut self, workspace: Workspace, credentials: I)
    where
        I: IntoIterator<Item = Arc<str>>,
    {
        let workspace = Arc::new(workspace);
        for credential in credentials {
            self.by_credential.insert(credential, workspace.clone());
        }
        self.workspaces.push(workspace);
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns whether a route needs a credential.
    pub fn needs_credential(&self, route: &Route) -> bool {
        self.needs_credential && !route.is_public
    }

    /// Returns the workspace that holds a credential.
    pub fn workspace(&self, credential: &str) -> Option<&Arc<Workspace>> {
        self.by_credential.get(credential)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter().map(AsRef::as_ref)
    }
}
