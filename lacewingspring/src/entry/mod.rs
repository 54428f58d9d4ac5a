//! Entry of requests: accepts a request, queues it, dispatches it and streams its answer.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use lacewingspring_core::{
    catalog::{Catalog, digest_hex},
    error::ErrorKind,
    gate::{Cost, Prefix},
    key_index::KeyId,
    names::{Fingerprint, ServiceName, UpstreamName},
    resources::{EnginePoolSpec, ServiceSpec, TierSpec},
};

pub use self::{
    claims::Claims,
    run::{Follower, Ownership, Run, serve_follow},
    steps::{Step, StepReport},
    table::{RunTable, Submitted},
};
use crate::{daemon::Node, metrics::Series, upstreams::sampling::Sampling};

mod begin;
mod claims;
mod completion;
mod drive;
mod follow;
mod idempotent;
mod invariant;
mod non_idempotent;
mod permit;
mod plain;
mod refusals;
mod retention;
mod run;
mod steps;
mod table;

/// Retry-after of a refusal by a leaving instance. The caller retries at another address.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Length of the shortest prefix that gets a hash, in tokens.
const FIRST_PREFIX_TOKENS: usize = 64;

/// A refused request, with the time until a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: ErrorKind,
    /// Time until the caller may retry; zero if a retry is of no use.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal that the caller may retry after a time.
    pub const fn new(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }

    /// Creates a refusal from a message of a peer, with the time in milliseconds.
    pub const fn from_ms(kind: ErrorKind, retry_after_ms: u64) -> Self {
        Self::new(kind, Duration::from_millis(retry_after_ms))
    }

    /// Creates a refusal without a time to retry.
    pub const fn permanent(kind: ErrorKind) -> Self {
        Self::new(kind, Duration::ZERO)
    }
}

/// Body of a request.
#[derive(Clone, Debug)]
pub enum Body {
    /// A completion.
    Completion {
        /// Prompt text.
        prompt: String,
        /// Maximum length of the answer, in tokens.
        max_tokens: u32,
        /// Sampling parameters.
        sampling: Sampling,
    },
    /// A plain call.
    Plain {
        /// HTTP method.
        method: Method,
        /// Path and query below the service.
        path: String,
        /// Media type of the body.
        content_type: String,
        /// Body.
        bytes: Bytes,
    },
}

impl Body {
    /// Returns the digest that distinguishes a repeat from another request under the same key.
    pub fn fingerprint(&self, service: &ServiceName) -> Fingerprint {
        let text = match self {
            Self::Completion { prompt, max_tokens, sampling } => {
                format!("{service}\0{max_tokens}{}\0{prompt}", sampling_text(sampling))
            }
            Self::Plain { method, path, bytes, .. } => {
                format!("{service}\0{method}\0{path}\0{}", digest_hex(bytes))
            }
        };
        Fingerprint::from(digest_hex(text.as_bytes()))
    }

    /// Returns the hashes of the prefixes of the prompt at doubling lengths, shortest first.
    pub fn prefixes(&self) -> Vec<Prefix> {
        let Self::Completion { prompt, .. } = self else { return Vec::new() };
        let mut hasher = DefaultHasher::new();
        let mut prefixes = Vec::new();
        let mut next = FIRST_PREFIX_TOKENS;
        for (i, word) in prompt.split_ascii_whitespace().enumerate() {
            word.hash(&mut hasher);
            if i + 1 == next {
                prefixes.push(Prefix { hash: hasher.finish(), tokens: next as u32 });
                next *= 2;
            }
        }
        prefixes
    }

    /// Returns the cost of the request. One word counts as one token.
    pub fn cost(&self, service: &ServiceSpec) -> Cost {
        match self {
            Self::Completion { prompt, max_tokens, .. } => Cost {
                prompt_tokens: prompt.split_ascii_whitespace().count() as u32,
                output_tokens: (*max_tokens).min(service.expected_tokens),
            },
            Self::Plain { .. } => Cost { prompt_tokens: 0, output_tokens: 1 },
        }
    }
}

/// Returns the sampling parameters as text for the digest; empty if all are left to the engine.
fn sampling_text(sampling: &Sampling) -> String {
    if *sampling == Sampling::default() {
        return String::new();
    }
    serde_json::to_string(sampling).unwrap_or_default()
}

/// An accepted request, with the resources that govern it.
#[derive(Clone, Debug)]
pub struct Work {
    /// Workspace and key of the request.
    pub id: KeyId,
    /// Digest of the service and the body.
    pub fingerprint: Fingerprint,
    /// Name of the service.
    pub service_name: ServiceName,
    /// Service that the request names.
    pub service: ServiceSpec,
    /// Tier of the service.
    pub tier: TierSpec,
    /// Engine pool that runs it.
    pub pool: EnginePoolSpec,
    /// Weight of the workspace.
    pub weight: u32,
    /// Body of the request.
    pub body: Body,
    /// Maximum wait before dispatch.
    pub max_wait: Duration,
    /// Time within which the caller wants the whole answer.
    pub timeout: Option<Duration>,
    /// Whether this instance minted the key because the caller sent none.
    pub minted: bool,
    /// Whether the caller says that it has sent the request before.
    pub is_retry: bool,
}

impl Work {
    /// Returns the identifier of the run at upstreams; it is the same from every instance.
    pub fn upstream_id(&self) -> String {
        let text = format!("{}\0{}", self.id.workspace, self.id.key);
        digest_hex(text.as_bytes())[..32].to_owned()
    }

    /// Returns the metrics series of the request.
    pub fn series(&self) -> Series {
        Series { workspace: self.id.workspace.clone(), tier: self.service.tier.clone() }
    }

    /// Returns the address of an upstream of the pool.
    fn address(&self, name: &UpstreamName) -> Option<std::net::SocketAddr> {
        let upstream = self.pool.upstreams.iter().find(|upstream| upstream.name == *name)?;
        upstream.address.parse().ok()
    }

    /// Returns the digest of the `act_fields` of the body. Requests of one workspace to one service
    /// with equal digests perform the same act, which must run at most once even under different
    /// keys. `None` if the service declares no such fields or the body lacks one.
    fn act_digest(&self) -> Option<String> {
        let Body::Plain { bytes, .. } = &self.body else { return None };
        if self.service.act_fields.is_empty() {
            return None;
        }
        let json: serde_json::Value = serde_json::from_slice(bytes).ok()?;
        let fields = self.service.act_fields.iter().map(|field| json.get(field));
        let fields: Option<Vec<_>> = fields.collect();
        Some(digest_hex(serde_json::to_string(&fields?).ok()?.as_bytes()))
    }
}

/// Submits a request: follows the existing run of its key, or starts one.
///
/// # Errors
///
/// Returns `KeyConflict` if the key belongs to another request, or `Leaving` if this instance is
/// leaving and the key is minted.
pub fn submit(node: &Arc<Node>, work: Work) -> Result<Follower, Refusal> {
    // A request with a caller's key may have run at another instance, which only its home knows; a
    // minted key is always new.
    if node.is_leaving() && work.minted {
        return Err(Refusal::new(ErrorKind::Leaving, LEAVING_RETRY_AFTER));
    }
    match node.runs.submit(work.id.clone(), work.fingerprint.clone()) {
        Submitted::Joined(run) => {
            run.record_step(Step::Joined);
            Ok(run.follow())
        }
        Submitted::Conflict => Err(Refusal::permanent(ErrorKind::KeyConflict)),
        Submitted::New(run) => {
            let follower = run.follow();
            drive::start(node.clone(), run, work);
            Ok(follower)
        }
    }
}

/// Builds the work of a request from the resources in force.
///
/// # Errors
///
/// Returns `NotFound` if the service is unknown.
pub fn build_work(
    catalog: &Catalog,
    id: KeyId,
    service_name: ServiceName,
    body: Body,
    timeout: Option<Duration>,
) -> Result<Work, Refusal> {
    let route = catalog.route(service_name.as_str());
    let route = route.ok_or(Refusal::permanent(ErrorKind::NotFound))?;
    let max_wait = timeout.unwrap_or(Duration::MAX).min(route.max_wait());
    let weight = catalog.workspaces.get(&id.workspace).map_or(1, |workspace| workspace.weight);
    Ok(Work {
        fingerprint: body.fingerprint(&service_name),
        service: route.service.clone(),
        tier: route.tier.clone(),
        pool: route.pool.clone(),
        id,
        service_name,
        weight,
        body,
        max_wait,
        timeout,
        minted: false,
        is_retry: false,
    })
}
