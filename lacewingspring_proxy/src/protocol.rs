//! Interface to the platform's headers, paths and bodies, which this crate does not know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::HeaderMap;
use lacewingspring_core::{
    dispatch::{UpstreamLoad, Work},
    names::{DataCentreName, UpstreamName, WorkspaceName},
};

/// What the headers of a caller's request state.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerHead {
    /// Id of the request; a retry by the caller has another one.
    pub id: Arc<str>,
    /// Time for which the caller waits for the complete response; `None` if it states none.
    pub timeout: Option<Duration>,
    /// Credential of the caller; `None` if the request has none.
    pub credential: Option<Arc<str>>,
    /// Tokens that count against the workspace's limit; `None` if the request states no number.
    pub charge_tokens: Option<u64>,
    /// Work that the request is for an upstream.
    pub work: Work,
    /// Last event that the caller received of an earlier response to the same request.
    pub last_event: Option<u64>,
    /// Id of the request whose response brought the first event of the stream that the caller takes
    /// up again; `None` if it names none.
    pub resumes: Option<Arc<str>>,
}

/// Values for the headers that are added to a request when it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Upstream that must run the request; any other one must decline it.
    pub upstream: &'a UpstreamName,
    /// Workspace of the caller; `None` if it is not known.
    pub workspace: Option<&'a WorkspaceName>,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Event after which the response is to be resumed.
    pub last_event: Option<u64>,
}

/// What a response states of the requests that its upstream takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The upstream names no limit.
    #[default]
    None,
    /// Requests a second that it takes from all instances together.
    PerSecond(f64),
    /// The value is not a number of requests.
    Invalid(Arc<str>),
}

/// What the status and headers of an upstream's response state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to; `None` if the upstream states none.
    pub id: Option<Arc<str>>,
    /// Whether the response carries an upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream declined the request, which it then has not run.
    pub is_declined: bool,
    /// Whether the upstream at the address is not the expected one.
    pub is_misdirected: bool,
    /// Whether the upstream says that it leaves and is to get no new requests.
    pub is_leaving: bool,
    /// Requests that the upstream takes.
    pub rate_limit: RateLimit,
    /// Requests in a second above which the upstream crashes if it must decline them for lack of
    /// room; `None` if it states none.
    pub max_declined: Option<u32>,
    /// Load that the upstream reports; `None` if it reports none.
    pub load: Option<UpstreamLoad>,
}

/// Query of a caller for the addresses of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Data centre of the caller; `None` if the query names none.
    pub data_centre: Option<DataCentreName>,
}

/// The platform's conventions for requests and responses on top of plain HTTP.
pub trait Protocol: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Returns the headers of a request to an upstream, from those of the caller.
    fn upstream_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;

    /// Returns the headers of a caller's request that is passed on to another instance, whose
    /// response must be complete within `time_left`.
    fn passed_on_headers(&self, caller: &HeaderMap, time_left: Duration) -> HeaderMap;

    /// Parses the status and headers of an upstream's response.
    fn response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of a response to a caller, from those of the upstream.
    fn response_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Parses a query for addresses; `None` if the path is not that of such queries.
    fn address_query(&self, path: &str, query: &str) -> Option<AddressQuery>;

    /// Returns the response body for a query for addresses, which callers may cache for `ttl`.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Returns whether a path is that of the readiness probe.
    fn is_readiness_path(&self, path: &str) -> bool;
}
