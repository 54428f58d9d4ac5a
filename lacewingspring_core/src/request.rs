//! Life cycle of a request, encoded as typestate.
//!
//! `Accepted` becomes `Claimed`, then `Permitted`; dispatching consumes the permitted request, so
//! a second dispatch of the same request does not compile.

use std::time::Duration;

use crate::{
    key_index::DispatchVerdict,
    names::{Fingerprint, RequestKey, ServiceName, UpstreamName, WorkspaceName},
};

/// Properties of a request that stay the same over its life cycle.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Requested service.
    pub service: ServiceName,
    /// Idempotency key, sent by the caller or generated on acceptance.
    pub key: RequestKey,
    /// Digest of service and body.
    pub fingerprint: Fingerprint,
    /// Time at which the request fails if it is still waiting for its dispatch.
    pub deadline: Duration,
}

/// State of a request that is accepted but not claimed.
#[derive(Debug)]
pub struct Accepted(());

/// State of a request whose claim is held or whose dispatch the home of its key authorized.
#[derive(Debug)]
pub struct Claimed(());

/// State of a claimed request with a permit for one upstream.
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

/// Authorization to send a request to one upstream once.
#[derive(Debug)]
pub struct Dispatch {
    /// Properties of the request.
    pub facts: RequestFacts,
    /// Upstream to send the request to.
    pub upstream: UpstreamName,
}

impl Dispatch {
    /// Returns to the claimed state; only to be called if no byte of the request was sent.
    pub fn unsent(self) -> Request<Claimed> {
        Request { facts: self.facts, state: Claimed(()) }
    }
}

/// Proof that this attempt alone may dispatch the request of its key.
#[derive(Debug)]
pub struct ClaimProof(());

impl ClaimProof {
    /// Creates the proof for an attempt that won the claim in the key-value service.
    pub fn won() -> Self {
        Self(())
    }

    /// Creates the proof from the reply of the key's home; `None` if the home refused the dispatch.
    ///
    /// `Repeated` is a proof too: the home sends it to the same runner if its first reply was lost,
    /// and a runner requests a dispatch only before it dispatches.
    pub fn from_home(verdict: &DispatchVerdict) -> Option<Self> {
        match verdict {
            DispatchVerdict::Proceed | DispatchVerdict::Repeated { .. } => Some(Self(())),
            _ => None,
        }
    }
}

impl<S> Request<S> {
    /// Returns the properties of the request.
    pub fn facts(&self) -> &RequestFacts {
        &self.facts
    }
}

impl Request<Accepted> {
    /// Creates a request in the accepted state.
    pub fn accept(facts: RequestFacts) -> Self {
        Self { facts, state: Accepted(()) }
    }

    /// Moves to the claimed state.
    pub fn claimed(self, _proof: ClaimProof) -> Request<Claimed> {
        Request { facts: self.facts, state: Claimed(()) }
    }
}

impl Request<Claimed> {
    /// Returns to the accepted state; only to be called after the claim was released.
    pub fn reopened(self) -> Request<Accepted> {
        Request::accept(self.facts)
    }

    /// Moves to the permitted state with a permit for one upstream.
    pub fn permitted(self, upstream: UpstreamName) -> Request<Permitted> {
        Request { facts: self.facts, state: Permitted { upstream } }
    }
}

impl Request<Permitted> {
    /// Consumes the request and returns the authorization to send it once.
    pub fn dispatch(self) -> Dispatch {
        Dispatch { facts: self.facts, upstream: self.state.upstream }
    }
}
