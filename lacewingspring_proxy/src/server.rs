//! HTTP/1.1 servers of an instance, with a graceful shutdown.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use socket2::SockRef;
use tokio::{net::TcpListener, sync::watch, task::yield_now, time::sleep};

use crate::{
    clock,
    connections::{Connections, InProgress, OpenConnection},
    net,
    reader_timeout::ReaderTimeout,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest read buffer, in bytes, that hyper accepts for a connection.
const MIN_BUF_BYTES: usize = 8 * 1024;

/// Send and receive buffer of the system for each connection, in bytes, where connections are
/// bounded. It does not slow down a link of 10 Mbit/s with a round trip of up to 100 ms; by itself
/// the system uses some megabytes for a peer that does not read.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Time limit for the idle time before a request and the arrival of its head together.
    pub idle_timeout: Duration,
}

/// A server on one address.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Becomes true at shutdown: each connection is closed after its response in progress.
    pub closing: watch::Receiver<bool>,
    /// Open connections, kept up to date by the server, and their bounds.
    pub open: Arc<Connections>,
}

impl Server {
    /// Serves until `closing` becomes true; `limits` is called for each new connection.
    ///
    /// At shutdown the listener is closed, so that callers connect to another address at once.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen on the address.
    pub async fn run<H, F, B, L>(self, limits: L, handler: H) -> io::Result<()>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + Unpin + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        L: Fn() -> ConnectionLimits,
    {
        let listener = TcpListener::bind(self.address).await?;
        if self.open.is_bounded() {
            // Accepted connections inherit the sizes.
            let socket = SockRef::from(&listener);
            socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
            socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        }
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = shutdown_requested(&mut closing) => return Ok(()),
            };
            match accepted {
                Ok((stream, peer)) => {
                    let admitted = self.open.admit(clock::now(), peer.ip());
                    let Some((connection, has_closed)) = admitted else {
                        drop(stream);
                        continue;
                    };
                    let is_limited = self.open.is_bounded();
                    let stream = ReaderTimeout::new(stream, is_limited);
                    let accepted = Accepted { stream, connection };
                    let closing = self.closing.clone();
                    let serving = serve(accepted, limits(), closing, handler.clone());
                    tokio::spawn(serving);
                    if has_closed {
                        // The task of the closed connection ends before another one is accepted.
                        yield_now().await;
                    }
                }
                Err(e) => {
                    warn!(error:% = e; "Accepting a connection failed; retrying after a delay.");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn serve<H, F, B>(
    accepted: Accepted,
    limits: ConnectionLimits,
    mut closing: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send,
    F: Future<Output = Response<B>> + Send,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Accepted { stream, connection: open_connection } = accepted;
    if let Err(e) = net::set_socket_options(stream.get_ref()) {
        debug!(error:% = e; "Setting the options of a connection failed; closing it.");
        return;
    }
    let requests = open_connection.requests();
    let service = service_fn(move |req| {
        let in_progress = requests.begin();
        let response = handler(req);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(
                response.map(|inner| TrackedBody { inner, _in_progress: in_progress }),
            )
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUF_BYTES))
        .preserve_header_case(true)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = open_connection.must_close() => Ok(()),
        () = shutdown_requested(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!(error:% = e; "A connection ended with an error.");
    }
}

/// A connection that was accepted.
struct Accepted {
    stream: ReaderTimeout,
    connection: OpenConnection,
}

/// Body of a response, whose request is in progress until it is dropped.
struct TrackedBody<B> {
    inner: B,
    _in_progress: InProgress,
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Waits until `closing` becomes true.
async fn shutdown_requested(closing: &mut watch::Receiver<bool>) {
    // The sender lives as long as the process. If it is dropped, no shutdown was requested.
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
