//! HTTP/1.1 servers of an instance, with a graceful shutdown.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::net;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest read buffer, in bytes, that hyper accepts for a connection.
const MIN_BUF_BYTES: usize = 8 * 1024;

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Time limit for the idle time before a request and the arrival of its head together.
    pub idle_timeout: Duration,
}

/// Count of a server's open connections.
#[derive(Debug, Default)]
pub struct OpenConnections(AtomicUsize);

impl OpenConnections {
    /// Returns how many connections are open.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// A server on one address.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Becomes true at shutdown: each connection is closed after its response in progress.
    pub closing: watch::Receiver<bool>,
    /// Count of open connections, kept up to date by the server.
    pub open: Arc<OpenConnections>,
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
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        L: Fn() -> ConnectionLimits,
    {
        let listener = TcpListener::bind(self.address).await?;
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = shutdown_requested(&mut closing) => return Ok(()),
            };
            match accepted {
                Ok((stream, _)) => {
                    let closing = self.closing.clone();
                    let open = self.open.clone();
                    let serving = serve(stream, limits(), closing, open, handler.clone());
                    tokio::spawn(serving);
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
    stream: TcpStream,
    limits: ConnectionLimits,
    mut closing: watch::Receiver<bool>,
    open: Arc<OpenConnections>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send,
    F: Future<Output = Response<B>> + Send,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(e) = net::set_socket_options(&stream) {
        debug!(error:% = e; "Setting the options of a connection failed; closing it.");
        return;
    }
    open.0.fetch_add(1, Ordering::Relaxed);
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
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
        () = shutdown_requested(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!(error:% = e; "A connection ended with an error.");
    }
    open.0.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until `closing` becomes true.
async fn shutdown_requested(closing: &mut watch::Receiver<bool>) {
    // The sender lives as long as the process. If it is dropped, no shutdown was requested.
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
