//! Entry: takes a request, holds it while it waits, dispatches it and streams the answer.

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
mod doubt;
mod drive;
mod follow;
mod idempotent;
mod invariant;
mod once;
mod permit;
mod plain;
mod retention;
mod run;
mod steps;
mod table;

/// When callers of a leaving instance are told to come back, at another address.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Length of the shortest prefix that is told apart, in tokens.
const FIRST_PREFIX_TOKENS: usize = 64;

/// A request that was given up, with when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: ErrorKind,
    /// Time until the caller may come back; zero when that is of no use.
    pub retry_after: Duration,
}

impl Refusal {
    /// Makes a refusal that says when to come back.
    pub const fn new(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }

    /// Makes a refusal as peers tell it, in milliseconds.
    pub const fn from_ms(kind: ErrorKind, retry_after_ms: u64) -> Self {
        Self::new(kind, Duration::from_millis(retry_after_ms))
    }

    /// Makes a refusal that is final.
    pub const fn last(kind: ErrorKind) -> Self {
        Self::new(kind, Duration::ZERO)
    }
}

/// What is to be run.
#[derive(Clone, Debug)]
pub enum Body {
    /// A completion.
    Completion {
        /// Prompt text.
        prompt: String,
        /// Longest answer, in tokens.
        max_tokens: u32,
        /// How tokens are chosen.
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
    /// Returns the digest that tells a repeat from another request.
    pub fn fingerprint(&self, service: &ServiceName) -> Fingerprint {
        let text = match self {
            Self::Completion { prompt, max_tokens, sampling } => {
                format!("{service}\0{max_tokens}{}\0{prompt}", digest_text(sampling))
            }
            Self::Plain { method, path, bytes, .. } => {
                format!("{service}\0{method}\0{path}\0{}", digest_hex(bytes))
            }
        };
        Fingerprint::from(digest_hex(text.as_bytes()))
    }

    /// Returns the leading parts of a prompt at doubling lengths, shortest first.
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

    /// Returns the work of the request; a token is about a word.
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

/// Returns a text of how tokens are chosen; empty when all is left to the engine.
fn digest_text(sampling: &Sampling) -> String {
    if *sampling == Sampling::default() {
        return String::new();
    }
    serde_json::to_string(sampling).unwrap_or_default()
}

/// A request as it was accepted, with the resources that govern it.
#[derive(Clone, Debug)]
pub struct Work {
    /// Name of the run.
    pub id: KeyId,
    /// Digest of service and body.
    pub fingerprint: Fingerprint,
    /// Name of the service.
    pub service_name: ServiceName,
    /// Service that was named.
    pub service: ServiceSpec,
    /// Tier of the service.
    pub tier: TierSpec,
    /// Pool that runs it.
    pub pool: EnginePoolSpec,
    /// Weight of the workspace.
    pub weight: u32,
    /// What is to be run.
    pub body: Body,
    /// Longest wait before dispatch.
    pub max_wait: Duration,
    /// Time within which the caller wants the whole answer.
    pub timeout: Option<Duration>,
    /// Whether the key was minted for this request.
    pub minted: bool,
    /// Whether the caller says that it has sent the request before.
    pub is_retry: bool,
}

impl Work {
    /// Returns the identifier of the run at upstreams; the same at every instance.
    pub fn upstream_id(&self) -> String {
        let text = format!("{}\0{}", self.id.workspace, self.id.key);
        digest_hex(text.as_bytes())[..32].to_owned()
    }

    /// Returns the series that the request is measured in.
    pub fn series(&self) -> Series {
        Series { workspace: self.id.workspace.clone(), tier: self.service.tier.clone() }
    }

    /// Returns the address of an upstream of the pool.
    fn address(&self, name: &UpstreamName) -> Option<std::net::SocketAddr> {
        let upstream = self.pool.upstreams.iter().find(|upstream| upstream.name == *name)?;
        upstream.address.parse().ok()
    }

    /// Returns the digest of the fields that identify the act, when the service declares them.
    fn act(&self) -> Option<String> {
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

/// Submits a request: joins the run that exists under its key, or starts one.
///
/// # Errors
///
/// Refuses at once when the key belongs to another request or the instance is leaving.
pub fn submit(node: &Arc<Node>, work: Work) -> Result<Follower, Refusal> {
    // A repeat may have run elsewhere, which its home tells; a minted key is new.
    if node.is_leaving() && work.minted {
        return Err(Refusal::new(ErrorKind::Leaving, LEAVING_RETRY_AFTER));
    }
    match node.runs.submit(work.id.clone(), work.fingerprint.clone()) {
        Submitted::Joined(run) => {
            run.note(Step::Joined);
            Ok(run.follow())
        }
        Submitted::Conflict => Err(Refusal::last(ErrorKind::KeyConflict)),
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
/// Refuses when the service is unknown.
pub fn work(
    catalog: &Catalog,
    id: KeyId,
    service_name: ServiceName,
    body: Body,
    timeout: Option<Duration>,
) -> Result<Work, Refusal> {
    let route = catalog.route(service_name.as_str());
    let route = route.ok_or(Refusal::last(ErrorKind::NotFound))?;
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
