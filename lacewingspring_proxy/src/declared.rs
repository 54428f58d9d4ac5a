//! Configuration declared by the operators: routes, workspaces, services and limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lacewingspring_core::{
    dispatch::Quota,
    names::{ServiceName, WorkspaceName},
};
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Minimum time after which a caller is assumed to abandon a stream without a first event.
const MIN_FIRST_OUTPUT_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the target latency after which a caller is assumed to abandon a stream without a
/// first event.
const FIRST_OUTPUT_LATENCY_FACTOR: u32 = 4;

/// Multiple of the maximum gap between events after which a caller is assumed to abandon a stream
/// without a first event.
const FIRST_OUTPUT_GAP_FACTOR: u32 = 8;

/// Kind of a request: how often it may run, and whether its response is a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// May run once.
    NonIdempotent,
    /// May run once; the response is a stream of events.
    Stream,
    /// Stream that another upstream can continue after its last event.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Weight of its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Maximum gap between events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Services that it leads to; other instances are told the chosen one only.
    #[serde(skip)]
    pub targets: Vec<RouteTarget>,
    /// Maximum number of attempts at upstreams for one request; the first few that reach no
    /// upstream are not counted.
    pub max_attempts: u32,
    /// Whether its requests need no credential.
    pub is_public: bool,
}

impl Route {
    /// Returns how long a caller is assumed to wait for the first part of a response before it
    /// abandons the request.
    pub fn first_output_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let gap = self.max_event_gap.unwrap_or_default() * FIRST_OUTPUT_GAP_FACTOR;
        MIN_FIRST_OUTPUT_TIMEOUT
            .max(self.target_latency * FIRST_OUTPUT_LATENCY_FACTOR)
            .max(gap)
            .min(self.timeout)
    }

    /// Chooses a service at random by weight.
    pub fn choose(&self) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut remaining = rand::rng().random_range(0..total);
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        None
    }
}

/// Workspace with its rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority that overrides that of the route.
    pub rank: Option<u8>,
    /// Rate limit.
    pub quota: Quota,
    /// Whether the limit counts tokens; otherwise it counts requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that states none.
    pub default_tokens: u64,
}

/// Service with the properties of its engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Tokens that fit in the memory of one engine; `None` for a service without engines.
    pub memory_tokens: Option<u64>,
    /// Output tokens per event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive. Read from the configuration, but not enforced:
    /// connections are bounded by `idle_timeout` only.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle, including the arrival of the next request
    /// head.
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

/// Configuration of the operators at one version.
#[derive(Clone, Debug, Default)]
pub struct Declared {
    /// Version, which only increases.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    workspaces: Vec<Arc<Workspace>>,
    by_credential: HashMap<Arc<str>, Arc<Workspace>>,
    needs_credential: bool,
}

impl Declared {
    /// Creates a configuration without routes, services and workspaces.
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

    /// Returns the properties of a service; those of one without engines if it is not declared.
    pub fn service(&self, name: &ServiceName) -> Service {
        let undeclared =
            || Service { name: name.clone(), memory_tokens: None, tokens_per_event: 1 };
        self.services.get(name).cloned().unwrap_or_else(undeclared)
    }

    /// Requires a credential for all routes that are not public.
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

    /// Returns the route of a host with the longest prefix of the path.
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

    /// Returns whether requests to a route need a credential.
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
