//! HTTP/1 server of the stand-ins: buffers request bodies and sends full or streamed replies.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::JoinSet,
    time::timeout,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Capacity, in chunks, of the channel between the producer of a streamed body and its connection.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// HTTP response of a stand-in.
pub type Reply = Response<ReplyBody>;

/// Reason to close a connection without a complete reply.
#[derive(Debug, thiserror::Error)]
pub enum AbortError {
    /// An injected fault or a simulated crash.
    #[error("connection closed by an injected fault")]
    Fault,
    /// The request body could not be read, or exceeds the limit.
    #[error("failed to read the request body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Received request with its buffered body.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Request path, without the query.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

impl Call {
    /// Parses the body as JSON; an empty body is parsed as an empty object.
    pub fn json<T>(&self) -> serde_json::Result<T>
    where
        T: DeserializeOwned,
    {
        let body: &[u8] = if self.body.is_empty() { b"{}" } else { &self.body };
        serde_json::from_slice(body)
    }

    /// Value of a header; `None` if it is absent or is not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Response body.
pub enum ReplyBody {
    /// Complete body; `None` after it has been sent.
    Full(Option<Bytes>),
    /// Chunks from a channel; an error closes the connection.
    Stream {
        /// Receiver of the chunks.
        rx: mpsc::Receiver<Result<Bytes, AbortError>>,
        /// Value of `Content-Length`, in bytes; `None` for chunked transfer encoding.
        declared: Option<u64>,
    },
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = AbortError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortError>>> {
        match &mut *self {
            Self::Full(chunk) => Poll::Ready(chunk.take().map(|data| Ok(Frame::data(data)))),
            Self::Stream { rx, .. } => {
                let chunk = ready!(rx.poll_recv(cx));
                Poll::Ready(chunk.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(chunk) => SizeHint::with_exact(chunk.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream { declared, .. } => {
                declared.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// Sender of the chunks of a streamed body.
pub type StreamSender = mpsc::Sender<Result<Bytes, AbortError>>;

/// Creates a reply with a complete body.
pub fn full<B>(status: u16, content_type: &str, body: B) -> Reply
where
    B: Into<Bytes>,
{
    reply(status, content_type, ReplyBody::Full(Some(body.into())))
}

/// Creates a reply with a JSON body.
pub fn json<T>(status: u16, body: &T) -> Reply
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).expect("replies are plain JSON values");
    full(status, "application/json", body)
}

/// Creates a JSON error reply with the status and a message.
pub fn error(status: u16, message: &str) -> Reply {
    json(status, &serde_json::json!({ "error": { "message": message, "code": status } }))
}

/// Creates a streamed reply with status 200 and the sender of its body.
pub fn stream(content_type: &str) -> (StreamSender, Reply) {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
    (tx, reply(200, content_type, ReplyBody::Stream { rx, declared: None }))
}

/// Truncates a complete body to its first half but keeps the declared length, then closes the
/// connection.
pub fn truncated(reply: Reply) -> Reply {
    let (head, body) = reply.into_parts();
    let ReplyBody::Full(Some(body)) = body else { return Response::from_parts(head, body) };
    let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
    let declared = Some(body.len() as u64);
    tokio::spawn(async move {
        send(&tx, body.slice(..body.len() / 2)).await;
        abort_connection(&tx).await;
    });
    Response::from_parts(head, ReplyBody::Stream { rx, declared })
}

fn reply(status: u16, content_type: &str, body: ReplyBody) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body)
        .expect("status and content type are constants")
}

/// Locks a mutex, ignoring poisoning.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type CrashReceiver = watch::Receiver<Option<Instant>>;

/// Simulates a crash of one stand-in: closes all connections and rejects new ones during a
/// downtime.
pub struct CrashSimulator {
    down_until: watch::Sender<Option<Instant>>,
}

impl Default for CrashSimulator {
    fn default() -> Self {
        Self { down_until: watch::Sender::new(None) }
    }
}

impl CrashSimulator {
    /// Closes all connections, and each new connection on accept for `down_ms` milliseconds.
    pub fn crash(&self, down_ms: u64) {
        let until = Instant::now() + Duration::from_millis(down_ms);
        self.down_until.send_replace(Some(until));
    }

    /// Returns whether the downtime of a crash is still running.
    pub fn is_down(&self) -> bool {
        self.down_until.borrow().is_some_and(|until| Instant::now() < until)
    }
}

/// Accepts connections and handles their requests with `f` until the future is dropped.
pub async fn accept<F, Fut>(
    listener: TcpListener,
    crash_simulator: Arc<CrashSimulator>,
    f: F,
) -> io::Result<()>
where
    F: Fn(Call) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Reply, AbortError>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await?;
        while connections.try_join_next().is_some() {}
        // Subscribes before the check: a crash between the two would be missed otherwise.
        let crashes = crash_simulator.down_until.subscribe();
        if !crash_simulator.is_down() {
            connections.spawn(serve_connection(stream, crashes, f.clone()));
        }
    }
}

async fn serve_connection<F, Fut>(stream: TcpStream, mut crashes: CrashReceiver, f: F)
where
    F: Fn(Call) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Reply, AbortError>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |req| handle_request(req, f.clone()));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error means that the client or a fault closed the connection; both are expected.
    tokio::select! {
        _ = served => {}
        _ = crashes.changed() => {}
    }
}

async fn handle_request<F, Fut>(req: Request<Incoming>, f: F) -> Result<Reply, AbortError>
where
    F: Fn(Call) -> Fut,
    Fut: Future<Output = Result<Reply, AbortError>>,
{
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(AbortError::Body)?;
    let path = head.uri.path().to_owned();
    f(Call { method: head.method, path, headers: head.headers, body: body.to_bytes() }).await
}

/// Sends a chunk of a streamed body; returns false if the client has disconnected.
pub async fn send<B>(tx: &StreamSender, chunk: B) -> bool
where
    B: Into<Bytes>,
{
    tx.send(Ok(chunk.into())).await.is_ok()
}

/// Closes the connection of a streamed reply without ending its body. Waits up to 5 ms first so
/// that the last chunk is written.
pub async fn abort_connection(tx: &StreamSender) {
    let _ = timeout(Duration::from_millis(5), tx.closed()).await;
    let _ = tx.send(Err(AbortError::Fault)).await;
}
