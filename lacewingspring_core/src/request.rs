//! Life cycle of an accepted request as typestate.
//!
//! `Accepted` becomes `Claimed`, then `Permitted`; dispatching consumes the permitted request, so
//! a second dispatch of the same request does not compile.

use std::time::Duration;

use crate::{
    key_index::DispatchVerdict,
    names::{Fingerprint, RequestKey, ServiceName, UpstreamName, WorkspaceName},
};

/// Facts of a request that never change.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Workspace that sent it.
    pub workspace: WorkspaceName,
    /// Service it names.
    pub service: ServiceName,
    /// Idempotency key, the caller's or minted.
    pub key: RequestKey,
    /// Digest of service and body.
    pub fingerprint: Fingerprint,
    /// Time at which it is given up when still waiting.
    pub deadline: Duration,
}

/// State: accepted, not yet claimed.
#[derive(Debug)]
pub struct Accepted(());

/// State: claimed, or idempotent and registered under its key.
#[derive(Debug)]
pub struct Claimed(());

/// State: permitted to run on one upstream.
#[derive(Debug)]
pub struct Permitted {
    upstream: UpstreamName,
}

/// A request in one state of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    facts: RequestFacts,
    state: S,
}

/// Proof that a request may be sent, once, to one upstream.
#[derive(Debug)]
pub struct Dispatch {
    /// Facts of the request.
    pub facts: RequestFacts,
    /// Upstream that runs it.
    pub upstream: UpstreamName,
}

impl Dispatch {
    /// Returns to the claimed state when no byte went out.
    pub fn unsent(self) -> Request<Claimed> {
        Request { facts: self.facts, state: Claimed(()) }
    }
}

/// Proof that the key belongs to this attempt.
#[derive(Debug)]
pub struct ClaimProof(());

impl ClaimProof {
    /// The claim in the key-value service was won.
    pub fn won() -> Self {
        Self(())
    }

    /// The home of the key decided; only its leave to proceed is a proof.
    ///
    /// `Repeated` proves it too: the home answers the same runner again when its first answer was
    /// lost, and a runner asks only before it dispatches.
    pub fn from_home(verdict: &DispatchVerdict) -> Option<Self> {
        match verdict {
            DispatchVerdict::Proceed | DispatchVerdict::Repeated { .. } => Some(Self(())),
            _ => None,
        }
    }
}

impl<S> Request<S> {
    /// Returns the facts of the request.
    pub fn facts(&self) -> &RequestFacts {
        &self.facts
    }
}

impl Request<Accepted> {
    /// Accepts a request.
    pub fn accept(facts: RequestFacts) -> Self {
        Self { facts, state: Accepted(()) }
    }

    /// Moves on with the proof that the key belongs to this attempt.
    pub fn claimed(self, _proof: ClaimProof) -> Request<Claimed> {
        Request { facts: self.facts, state: Claimed(()) }
    }
}

impl Request<Claimed> {
    /// Returns to the accepted state once the claim was taken back.
    pub fn reopened(self) -> Request<Accepted> {
        Request::accept(self.facts)
    }

    /// Moves on with a permit for one upstream.
    pub fn permitted(self, upstream: UpstreamName) -> Request<Permitted> {
        Request { facts: self.facts, state: Permitted { upstream } }
    }
}

impl Request<Permitted> {
    /// Consumes the request; the result is handed to the upstream once.
    pub fn dispatch(self) -> Dispatch {
        Dispatch { facts: self.facts, upstream: self.state.upstream }
    }
}
