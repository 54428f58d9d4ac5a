//! HTTP/1 server shared by the stand-ins: whole requests in, whole or streamed replies out.

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

/// Largest request body, in bytes.
const BODY_LIMIT_BYTES: usize = 8 << 20;
/// Pieces of a streamed body that may wait for the reader.
const STREAM_PIECES: usize = 64;

/// Reply of a stand-in.
pub type Reply = Response<ReplyBody>;

/// Why a connection is closed without a (whole) reply.
#[derive(Debug, thiserror::Error)]
pub enum CutError {
    /// A fault or a crash cuts the connection.
    #[error("connection cut by a fault")]
    Fault,
    /// The body of the request could not be read.
    #[error("request body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Request with its whole body.
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Call {
    /// Parses the body; an empty body counts as an empty object.
    pub fn json<T>(&self) -> serde_json::Result<T>
    where
        T: DeserializeOwned,
    {
        let body: &[u8] = if self.body.is_empty() { b"{}" } else { &self.body };
        serde_json::from_slice(body)
    }

    /// Text of a header field, if there is one.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Body of a reply.
pub enum ReplyBody {
    /// One piece known beforehand.
    Whole(Option<Bytes>),
    /// Pieces from a channel; an error cuts the connection.
    Stream {
        /// Pieces to come.
        rx: mpsc::Receiver<Result<Bytes, CutError>>,
        /// Length to declare, in bytes; chunked when none.
        declared: Option<u64>,
    },
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        match &mut *self {
            Self::Whole(piece) => Poll::Ready(piece.take().map(|p| Ok(Frame::data(p)))),
            Self::Stream { rx, .. } => {
                let piece = ready!(rx.poll_recv(cx));
                Poll::Ready(piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(piece) => SizeHint::with_exact(piece.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream { declared, .. } => {
                declared.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// Sending half of a streamed body.
pub type StreamSender = mpsc::Sender<Result<Bytes, CutError>>;

/// Makes a reply with a whole body.
pub fn whole<B>(status: u16, content_type: &str, body: B) -> Reply
where
    B: Into<Bytes>,
{
    reply(status, content_type, ReplyBody::Whole(Some(body.into())))
}

/// Makes a JSON reply.
pub fn json<T>(status: u16, body: &T) -> Reply
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).expect("replies are plain JSON values");
    whole(status, "application/json", body)
}

/// Makes a JSON reply that tells an error.
pub fn error(status: u16, message: &str) -> Reply {
    json(status, &serde_json::json!({ "error": { "message": message, "code": status } }))
}

/// Makes a streamed reply and the sender for its body.
pub fn stream(content_type: &str) -> (StreamSender, Reply) {
    let (tx, rx) = mpsc::channel(STREAM_PIECES);
    (tx, reply(200, content_type, ReplyBody::Stream { rx, declared: None }))
}

/// Halves a whole body and leaves its declared length; the connection closes early.
pub fn truncated(reply: Reply) -> Reply {
    let (head, body) = reply.into_parts();
    let ReplyBody::Whole(Some(body)) = body else { return Response::from_parts(head, body) };
    let (tx, rx) = mpsc::channel(STREAM_PIECES);
    let declared = Some(body.len() as u64);
    tokio::spawn(async move {
        send(&tx, body.slice(..body.len() / 2)).await;
        cut(&tx).await;
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

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Trips = watch::Receiver<Option<Instant>>;

/// Cuts all connections of one stand-in, as a crash of its process would.
pub struct Breaker {
    down_until: watch::Sender<Option<Instant>>,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { down_until: watch::Sender::new(None) }
    }
}

impl Breaker {
    /// Cuts all connections, and new ones at once for the given time in milliseconds.
    pub fn trip(&self, down_ms: u64) {
        let until = Instant::now() + Duration::from_millis(down_ms);
        self.down_until.send_replace(Some(until));
    }

    /// Tells whether new connections are cut.
    pub fn is_down(&self) -> bool {
        self.down_until.borrow().is_some_and(|until| Instant::now() < until)
    }
}

/// Accepts connections and answers their requests with `f` until the future is dropped.
pub async fn accept<F, Fut>(listener: TcpListener, breaker: Arc<Breaker>, f: F) -> io::Result<()>
where
    F: Fn(Call) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Reply, CutError>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await?;
        while connections.try_join_next().is_some() {}
        // Subscribed before the look, so that no trip goes unseen between them.
        let trips = breaker.down_until.subscribe();
        if !breaker.is_down() {
            connections.spawn(connection(stream, trips, f.clone()));
        }
    }
}

async fn connection<F, Fut>(stream: TcpStream, mut trips: Trips, f: F)
where
    F: Fn(Call) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Reply, CutError>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |req| whole_call(req, f.clone()));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error means that the peer or a fault closed the connection; there is nothing to do.
    tokio::select! {
        _ = served => {}
        _ = trips.changed() => {}
    }
}

async fn whole_call<F, Fut>(req: Request<Incoming>, f: F) -> Result<Reply, CutError>
where
    F: Fn(Call) -> Fut,
    Fut: Future<Output = Result<Reply, CutError>>,
{
    let (head, body) = req.into_parts();
    let body = Limited::new(body, BODY_LIMIT_BYTES).collect().await.map_err(CutError::Body)?;
    let path = head.uri.path().to_owned();
    f(Call { method: head.method, path, headers: head.headers, body: body.to_bytes() }).await
}

/// Sends a piece of a streamed body; returns false when the reader has gone.
pub async fn send<B>(tx: &StreamSender, piece: B) -> bool
where
    B: Into<Bytes>,
{
    tx.send(Ok(piece.into())).await.is_ok()
}

/// Cuts the connection of a streamed reply, after a pause in which its last piece is written.
pub async fn cut(tx: &StreamSender) {
    let _ = timeout(Duration::from_millis(5), tx.closed()).await;
    let _ = tx.send(Err(CutError::Fault)).await;
}
