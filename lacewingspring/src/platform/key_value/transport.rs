//! HTTP transport to the key-value service.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use super::{
    calls::{CallCounters, CallCounts, CallKind, CallLabel},
    error::KeyValueError,
    wire::ErrorWire,
};

/// Largest accepted response, or line of a streamed response, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Idle time before the first TCP keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Idle time after which a pooled connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(60);

/// Connection pool to the service and the call counters.
#[derive(Debug)]
pub(super) struct Transport {
    endpoints: Vec<SocketAddr>,
    current: AtomicUsize,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    calls: CallCounters,
}

impl Transport {
    pub(super) fn new(endpoints: Vec<SocketAddr>, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The connect times out before the call does, so that a failed connect is reported as a
        // call that sent nothing.
        connector.set_connect_timeout(Some(timeout / 2));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_timer(TokioTimer::new())
            .build(connector);
        let calls = CallCounters::default();
        Self { endpoints, current: AtomicUsize::new(0), client, timeout, calls }
    }

    pub(super) fn timeout(&self) -> Duration {
        self.timeout
    }

    pub(super) fn calls(&self) -> CallCounts {
        self.calls.snapshot()
    }

    /// Makes one call and reads the whole response. Reads only one line of a keep-alive response,
    /// since its stream stays open.
    pub(super) async fn call<Q, R>(
        &self,
        label: CallLabel,
        path: &str,
        req: &Q,
    ) -> Result<R, KeyValueError>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let exchange = async {
            let body = self.send(label, path, req).await?.into_body();
            if label.kind == CallKind::KeepAlive {
                return LineStream::new(body).next().await.map(Bytes::from);
            }
            let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
            body.map(|body| body.to_bytes()).map_err(|err| KeyValueError::Unknown(err.to_string()))
        };
        let body = self.with_timeout(exchange).await?;
        parse(&body)
    }

    /// Sends a request and returns its streamed response.
    pub(super) async fn open<Q>(
        &self,
        label: CallLabel,
        path: &str,
        req: &Q,
    ) -> Result<LineStream, KeyValueError>
    where
        Q: Serialize,
    {
        let res = self.with_timeout(self.send(label, path, req)).await?;
        Ok(LineStream::new(res.into_body()))
    }

    /// Applies the call timeout. If the service is unavailable or the outcome unknown, the next call
    /// uses the next endpoint.
    async fn with_timeout<F, T>(&self, exchange: F) -> Result<T, KeyValueError>
    where
        F: Future<Output = Result<T, KeyValueError>>,
    {
        let endpoint = self.current.load(Ordering::Relaxed);
        let result = match time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(KeyValueError::Unknown("no answer in time".into())),
        };
        if matches!(result, Err(KeyValueError::Unavailable(_) | KeyValueError::Unknown(_))) {
            self.advance(endpoint);
        }
        result
    }

    /// Switches from a failed endpoint to the next one, only once if several calls failed on it.
    fn advance(&self, failed: usize) {
        let next = failed.wrapping_add(1);
        let order = Ordering::Relaxed;
        let _ = self.current.compare_exchange(failed, next, order, order);
    }

    async fn send<Q>(
        &self,
        label: CallLabel,
        path: &str,
        req: &Q,
    ) -> Result<Response<Incoming>, KeyValueError>
    where
        Q: Serialize,
    {
        let req = self.request(path, req)?;
        self.calls.record(label);
        let res = self.client.request(req).await.map_err(|err| {
            if err.is_connect() {
                KeyValueError::Unavailable(err.to_string())
            } else {
                KeyValueError::Unknown(err.to_string())
            }
        })?;
        if res.status() == StatusCode::OK { Ok(res) } else { Err(refusal(res).await) }
    }

    fn request<Q>(&self, path: &str, req: &Q) -> Result<Request<Full<Bytes>>, KeyValueError>
    where
        Q: Serialize,
    {
        if self.endpoints.is_empty() {
            return Err(KeyValueError::Unavailable("no endpoint is set".into()));
        }
        let endpoint = self.endpoints[self.current.load(Ordering::Relaxed) % self.endpoints.len()];
        let body = serde_json::to_vec(req).map_err(unsent)?;
        Request::post(format!("http://{endpoint}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(unsent)
    }
}

/// Error for a failure before anything was sent.
fn unsent<E>(err: E) -> KeyValueError
where
    E: ToString,
{
    KeyValueError::Unavailable(err.to_string())
}

/// Parses the JSON of a response.
pub(super) fn parse<R>(body: &[u8]) -> Result<R, KeyValueError>
where
    R: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|err| KeyValueError::Malformed(err.to_string()))
}

/// Converts an unsuccessful response into an error.
async fn refusal(res: Response<Incoming>) -> KeyValueError {
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_REPLY_BYTES).collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let err: ErrorWire = serde_json::from_slice(&body).unwrap_or_default();
    let text = format!("{status} {}", err.message);
    match status {
        // The rate limiter refuses a request before it reaches the store.
        StatusCode::TOO_MANY_REQUESTS => KeyValueError::Unavailable(text),
        status if status.is_client_error() => KeyValueError::Rejected(text),
        // An etcd member that timed out or lost its leader may have proposed the write already.
        _ => KeyValueError::Unknown(text),
    }
}

/// Lines of a streamed response.
#[derive(Debug)]
pub(super) struct LineStream {
    body: Incoming,
    buf: Vec<u8>,
}

impl LineStream {
    fn new(body: Incoming) -> Self {
        Self { body, buf: Vec::new() }
    }

    /// Returns the next line, or an error if the stream has ended. Cancel-safe.
    pub(super) async fn next(&mut self) -> Result<Vec<u8>, KeyValueError> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(line);
            }
            if self.buf.len() > MAX_REPLY_BYTES {
                return Err(KeyValueError::Malformed("line exceeds 64 MiB".into()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.buf.extend(frame.data_ref().into_iter().flatten()),
                Some(Err(err)) => return Err(KeyValueError::Unknown(err.to_string())),
                // Some versions of the gateway end the last line without a newline.
                None if !self.buf.is_empty() => return Ok(std::mem::take(&mut self.buf)),
                None => return Err(KeyValueError::Unknown("the stream ended".into())),
            }
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let rest = self.buf.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.buf, rest);
        line.truncate(end);
        Some(line)
    }
}
