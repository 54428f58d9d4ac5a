//! HTTP client of the fleet's operator and caller interfaces.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use lacewingspring_core::error::{ErrorKind, RunState};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    api::Problem,
    error::{Error, LostReason, LostResponse, Source},
};

/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the deadline for the dispatch of a request, in milliseconds.
pub const REQUEST_TIMEOUT: &str = "request-timeout-ms";

/// Upper bound of the time to connect to one address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of the body of a response that is not streamed, in bytes.
const MAX_RESPONSE_LEN: usize = 64 * 1024 * 1024;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Characters that are percent-encoded in a path segment or query value: all but the unreserved
/// ones of RFC 3986.
const PERCENT_ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Whether a request can change anything at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request only reads, so it is safe to repeat if its response is lost.
    Read,
    /// The request may change or run something; if its response is lost, the outcome is unknown.
    Write,
}

/// A request that any instance can serve.
#[derive(Debug)]
pub struct Call {
    request: Request<Bytes>,
    effect: Effect,
    timeout: Option<Duration>,
}

impl Call {
    /// Creates a GET request, which only reads.
    pub fn get(path: &str) -> Result<Self, Error> {
        let request = Request::builder().method(Method::GET).uri(path).body(Bytes::new())?;
        Ok(Self { request, effect: Effect::Read, timeout: None })
    }

    /// Creates a POST request with the message as its JSON body.
    pub fn post<T>(path: &str, effect: Effect, message: &T) -> Result<Self, Error>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(message).expect("messages have string keys");
        Self::post_bytes(path, effect, body.into())
    }

    /// Creates a POST request whose body is already JSON.
    pub fn post_bytes(path: &str, effect: Effect, body: Bytes) -> Result<Self, Error> {
        let builder = Request::builder().method(Method::POST).uri(path);
        let request = builder.header(CONTENT_TYPE, JSON).body(body)?;
        Ok(Self { request, effect, timeout: None })
    }

    /// Sets a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Result<Self, Error> {
        let value = HeaderValue::from_str(value).map_err(http::Error::from)?;
        self.request.headers_mut().insert(name, value);
        Ok(self)
    }

    /// Overrides the client's timeout for this request.
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct ServerResponse {
    /// Status, headers and body.
    pub http: Response<Incoming>,
    /// Address of the instance that sent the response.
    pub address: SocketAddr,
    /// Timeout for reading the whole body, or for each frame of a streamed one.
    pub timeout: Duration,
    effect: Effect,
}

impl ServerResponse {
    /// Reads the whole body and parses it as JSON.
    pub async fn json<T>(self) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let (address, effect) = (self.address, self.effect);
        let bytes = self.bytes().await?;
        let lost = |err| LostResponse { address, effect, reason: LostReason::Unreadable(err) };
        Ok(serde_json::from_slice(&bytes).map_err(lost)?)
    }

    /// Reads the whole body.
    async fn bytes(self) -> Result<Bytes, Error> {
        let (address, effect) = (self.address, self.effect);
        let body = Limited::new(self.http.into_body(), MAX_RESPONSE_LEN).collect();
        let reason = match timeout(self.timeout, body).await {
            Ok(Ok(body)) => return Ok(body.to_bytes()),
            Ok(Err(err)) => LostReason::Incomplete(err),
            Err(_) => LostReason::TimedOut,
        };
        Err(LostResponse { address, effect, reason }.into())
    }

    /// Reads the problem details, or derives them from the status if the body holds none.
    async fn problem(self) -> Result<Error, Error> {
        let (effect, status) = (self.effect, self.http.status().as_u16());
        let parsed = serde_json::from_slice(&self.bytes().await?);
        let mut problem: Problem = parsed.unwrap_or_else(|_| Problem::from_status(status));
        problem.status = status;
        Ok(Error::Refused { problem: Box::new(problem), effect })
    }

    /// Returns whether lacewingspring itself refused the request: its refusals have the content type
    /// of problem details.
    pub fn is_problem(&self) -> bool {
        self.content_type().starts_with("application/problem+json")
    }

    /// Returns the content type, or an empty string if the response has none.
    pub fn content_type(&self) -> &str {
        self.header(CONTENT_TYPE.as_str()).unwrap_or_default()
    }

    /// Fails if the response names another idempotency key than the one that was sent.
    pub fn check_key(&self, sent: &str) -> Result<(), Error> {
        match self.header(IDEMPOTENCY_KEY) {
            Some(received) if received != sent => {
                Err(Error::KeyMismatch { sent: sent.to_owned(), received: received.to_owned() })
            }
            _ => Ok(()),
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.http.headers().get(name)?.to_str().ok()
    }
}

/// Client that tries the addresses in order until an instance accepts the request.
#[derive(Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
}

impl Client {
    /// Creates a client for the instances at these addresses.
    pub fn new(
        addresses: Vec<SocketAddr>,
        token: Option<&str>,
        timeout: Duration,
    ) -> Result<Self, Error> {
        if addresses.is_empty() {
            return Err(Error::NoAddress);
        }
        let authorization = token.map(bearer).transpose()?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout / 2)));
        connector.set_nodelay(true);
        // Connections are not reused: the server may close an idle one while a request is being
        // sent, and that request would then count as sent with an unknown outcome.
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self { http, addresses, authorization, timeout })
    }

    /// Returns the default timeout of a request.
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Sends a request and parses the whole response as JSON.
    pub async fn fetch<T>(&self, call: Call) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.send(call).await?.json().await
    }

    /// Sends a request and returns its response; a status other than 2xx is an error.
    pub async fn send(&self, call: Call) -> Result<ServerResponse, Error> {
        self.send_accepting(call, |response| response.http.status().is_success()).await
    }

    /// Sends a request and returns its response, whatever its status; only problem details of
    /// lacewingspring itself are an error.
    pub async fn send_plain(&self, call: Call) -> Result<ServerResponse, Error> {
        self.send_accepting(call, |response| !response.is_problem()).await
    }

    async fn send_accepting<F>(&self, call: Call, accept: F) -> Result<ServerResponse, Error>
    where
        F: Fn(&ServerResponse) -> bool,
    {
        let mut last_error = Error::NoAddress;
        for &address in &self.addresses {
            let outcome = match self.send_to(address, &call).await {
                Ok(response) if accept(&response) => return Ok(response),
                Ok(response) => response.problem().await,
                Err(err) => Err(err),
            };
            last_error = outcome.unwrap_or_else(|err| err);
            if !should_try_next_address(&last_error) {
                break;
            }
        }
        Err(last_error)
    }

    async fn send_to(&self, address: SocketAddr, call: &Call) -> Result<ServerResponse, Error> {
        let wait = call.timeout.unwrap_or(self.timeout);
        let effect = call.effect;
        let lost = |reason| Error::from(LostResponse { address, effect, reason });
        let sending = timeout(wait, self.http.request(self.request(address, call)?));
        match sending.await {
            Ok(Ok(response)) => {
                Ok(ServerResponse { http: response, address, effect, timeout: wait })
            }
            Ok(Err(err)) if err.is_connect() => {
                Err(Error::Unreachable { address, source: root_cause(err) })
            }
            Ok(Err(err)) => Err(lost(LostReason::Incomplete(root_cause(err)))),
            // The connect timeout is shorter than this one, so the request may have been sent.
            Err(_) => Err(lost(LostReason::TimedOut)),
        }
    }

    fn request(&self, address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, Error> {
        let uri = format!("http://{address}{}", call.request.uri());
        let builder = Request::builder().method(call.request.method()).uri(uri);
        let mut req = builder.body(Full::new(call.request.body().clone()))?;
        req.headers_mut().extend(call.request.headers().clone());
        if let Some(authorization) = &self.authorization {
            req.headers_mut().insert(AUTHORIZATION, authorization.clone());
        }
        Ok(req)
    }
}

/// Percent-encodes a name for use in a path or query.
pub fn encode(name: &str) -> String {
    utf8_percent_encode(name, PERCENT_ENCODED).to_string()
}

fn bearer(token: &str) -> Result<HeaderValue, Error> {
    let text = format!("Bearer {}", token.trim());
    let mut value = HeaderValue::from_str(&text).map_err(http::Error::from)?;
    value.set_sensitive(true);
    Ok(value)
}

/// Returns whether the request certainly did not run and another instance may accept it: the
/// connection failed, or the instance is leaving.
fn should_try_next_address(err: &Error) -> bool {
    match err {
        Error::Unreachable { .. } => true,
        Error::Refused { problem, .. } => {
            problem.kind == Some(ErrorKind::Leaving)
                && problem.run_state() == RunState::NotRun
                && problem.status == StatusCode::SERVICE_UNAVAILABLE.as_u16()
        }
        _ => false,
    }
}

/// Returns the innermost error, which names the cause; the outer ones only say that sending failed.
fn root_cause(err: hyper_util::client::legacy::Error) -> Source {
    let mut source: &dyn std::error::Error = &err;
    while let Some(inner) = source.source() {
        source = inner;
    }
    source.to_string().into()
}
