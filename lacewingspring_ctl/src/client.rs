//! Client of the server's HTTP interface.

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
    error::{Error, Lost, LostReason, Source},
};

/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the deadline of a request, in milliseconds.
pub const REQUEST_TIMEOUT: &str = "request-timeout-ms";

/// Longest wait for a connection to one address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER_LEN: usize = 64 * 1024 * 1024;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Characters of a name that a path or query cannot hold as they are.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Whether a request changes anything at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It only reads; a lost answer changes nothing.
    Read,
    /// It may change or run something; a lost answer leaves that open.
    Write,
}

/// A request that can be sent to any of the addresses.
#[derive(Debug)]
pub struct Call {
    request: Request<Bytes>,
    effect: Effect,
    timeout: Option<Duration>,
}

impl Call {
    /// Creates a request that reads.
    pub fn get(path: &str) -> Result<Self, Error> {
        let request = Request::builder().method(Method::GET).uri(path).body(Bytes::new())?;
        Ok(Self { request, effect: Effect::Read, timeout: None })
    }

    /// Creates a request that sends a message.
    pub fn post<T>(path: &str, effect: Effect, message: &T) -> Result<Self, Error>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(message).expect("messages have string keys");
        Self::post_bytes(path, effect, body.into())
    }

    /// Creates a request that sends JSON text as it is.
    pub fn post_bytes(path: &str, effect: Effect, body: Bytes) -> Result<Self, Error> {
        let builder = Request::builder().method(Method::POST).uri(path);
        let request = builder.header(CONTENT_TYPE, JSON).body(body)?;
        Ok(Self { request, effect, timeout: None })
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Result<Self, Error> {
        let value = HeaderValue::from_str(value).map_err(http::Error::from)?;
        self.request.headers_mut().insert(name, value);
        Ok(self)
    }

    /// Replaces the client's timeout for this request.
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }
}

/// An answer whose body has not been read.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// Address that answered.
    pub address: SocketAddr,
    /// Longest wait for a part of the body.
    pub timeout: Duration,
    effect: Effect,
}

impl Answer {
    /// Reads the whole body as a message.
    pub async fn json<T>(self) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let (address, effect) = (self.address, self.effect);
        let bytes = self.bytes().await?;
        let lost = |err| Lost { address, effect, reason: LostReason::Unreadable(err) };
        Ok(serde_json::from_slice(&bytes).map_err(lost)?)
    }

    /// Reads the whole body.
    async fn bytes(self) -> Result<Bytes, Error> {
        let (address, effect) = (self.address, self.effect);
        let body = Limited::new(self.response.into_body(), MAX_ANSWER_LEN).collect();
        let reason = match timeout(self.timeout, body).await {
            Ok(Ok(body)) => return Ok(body.to_bytes()),
            Ok(Err(err)) => LostReason::Broken(err),
            Err(_) => LostReason::TimedOut,
        };
        Err(Lost { address, effect, reason }.into())
    }

    /// Reads a problem, or derives one from the status when the body holds none.
    async fn problem(self) -> Result<Error, Error> {
        let (effect, status) = (self.effect, self.response.status().as_u16());
        let parsed = serde_json::from_slice(&self.bytes().await?);
        let mut problem: Problem = parsed.unwrap_or_else(|_| Problem::from_status(status));
        problem.status = status;
        Ok(Error::Refused { problem: Box::new(problem), effect })
    }

    /// Returns whether the answer is a problem of lacewingspring itself.
    pub fn is_problem(&self) -> bool {
        self.content_type().starts_with("application/problem+json")
    }

    /// Returns the content type; empty for none.
    pub fn content_type(&self) -> &str {
        self.header(CONTENT_TYPE.as_str()).unwrap_or_default()
    }

    /// Checks that the answer is to the request of a key.
    pub fn check_key(&self, asked: &str) -> Result<(), Error> {
        match self.header(IDEMPOTENCY_KEY) {
            Some(answered) if answered != asked => {
                Err(Error::OtherKey { asked: asked.to_owned(), answered: answered.to_owned() })
            }
            _ => Ok(()),
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }
}

/// Sends requests to the first address that takes them.
#[derive(Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
}

impl Client {
    /// Creates a client of a fleet.
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
        // A reused connection may break under a request that then counts as sent.
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self { http, addresses, authorization, timeout })
    }

    /// Returns the time that a request may take.
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Sends a request and reads the answer as a message.
    pub async fn fetch<T>(&self, call: Call) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.send(call).await?.json().await
    }

    /// Sends a request and returns its answer; any problem is an error.
    pub async fn send(&self, call: Call) -> Result<Answer, Error> {
        self.send_if(call, |answer| answer.response.status().is_success()).await
    }

    /// Sends a request and returns its answer unless it is a problem of lacewingspring itself.
    pub async fn send_plain(&self, call: Call) -> Result<Answer, Error> {
        self.send_if(call, |answer| !answer.is_problem()).await
    }

    async fn send_if<F>(&self, call: Call, accept: F) -> Result<Answer, Error>
    where
        F: Fn(&Answer) -> bool,
    {
        let mut last = Error::NoAddress;
        for &address in &self.addresses {
            let outcome = match self.send_to(address, &call).await {
                Ok(answer) if accept(&answer) => return Ok(answer),
                Ok(answer) => answer.problem().await,
                Err(err) => Err(err),
            };
            last = outcome.unwrap_or_else(|err| err);
            if !goes_elsewhere(&last) {
                break;
            }
        }
        Err(last)
    }

    async fn send_to(&self, address: SocketAddr, call: &Call) -> Result<Answer, Error> {
        let wait = call.timeout.unwrap_or(self.timeout);
        let effect = call.effect;
        let lost = |reason| Error::from(Lost { address, effect, reason });
        let sent = timeout(wait, self.http.request(self.request(address, call)?));
        match sent.await {
            Ok(Ok(response)) => Ok(Answer { response, address, effect, timeout: wait }),
            Ok(Err(err)) if err.is_connect() => {
                Err(Error::Unreachable { address, source: root(err) })
            }
            Ok(Err(err)) => Err(lost(LostReason::Broken(root(err)))),
            // The connect timeout is shorter, so the request was on its way.
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

/// Encodes a name for use in a path or query.
pub fn encode(name: &str) -> String {
    utf8_percent_encode(name, ENCODED).to_string()
}

fn bearer(token: &str) -> Result<HeaderValue, Error> {
    let text = format!("Bearer {}", token.trim());
    let mut value = HeaderValue::from_str(&text).map_err(http::Error::from)?;
    value.set_sensitive(true);
    Ok(value)
}

/// Returns whether the request surely did not run here and another instance may take it.
fn goes_elsewhere(err: &Error) -> bool {
    match err {
        Error::Unreachable { .. } => true,
        Error::Refused { problem, .. } => {
            problem.kind == Some(ErrorKind::Leaving)
                && problem.run() == RunState::NotRun
                && problem.status == StatusCode::SERVICE_UNAVAILABLE.as_u16()
        }
        _ => false,
    }
}

/// Returns the innermost source, which names the cause.
fn root(err: hyper_util::client::legacy::Error) -> Source {
    let mut source: &dyn std::error::Error = &err;
    while let Some(inner) = source.source() {
        source = inner;
    }
    source.to_string().into()
}
