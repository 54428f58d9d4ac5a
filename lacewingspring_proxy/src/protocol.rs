//! Seam to the protocol that callers and upstreams speak beside plain HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::HeaderMap;
use lacewingspring_core::{
    dispatch::Work,
    names::{DataCentreName, UpstreamName, WorkspaceName},
};

/// What the head of a request tells beside method, host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerHead {
    /// Identity of the request; a repeat by the caller has another.
    pub id: Arc<str>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Credential of the caller.
    pub credential: Option<Arc<str>>,
    /// Tokens that count against the workspace's limit; none when the request names none.
    pub charge_tokens: Option<u64>,
    /// What the upstream has to do.
    pub work: Work,
    /// Last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
}

/// What is added to a request when it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Upstream that must run it.
    pub upstream: &'a UpstreamName,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// Time left.
    pub time_left: Duration,
    /// Event after which the answer is to go on.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer tells beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Identity of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream did not run the request.
    pub is_declined: bool,
    /// Whether another upstream answers at the address.
    pub is_misdirected: bool,
}

/// A question which addresses callers are to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Data centre of the caller.
    pub data_centre: Option<DataCentreName>,
}

/// What callers and upstreams speak beside plain HTTP.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the head of a request.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Returns the headers for an upstream.
    fn upstream_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of an answer that callers are given.
    fn response_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Reads a question for addresses; none when the path is another.
    fn address_query(&self, path: &str, query: &str) -> Option<AddressQuery>;

    /// Returns the body of an answer with addresses.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Returns whether a path asks if the instance is ready.
    fn is_readiness_path(&self, path: &str) -> bool;
}
