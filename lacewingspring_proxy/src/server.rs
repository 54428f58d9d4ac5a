//! HTTP/1.1 servers of an instance.

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

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest buffer of a connection that the library takes, in bytes.
const MIN_BUF_LEN: usize = 8 * 1024;

/// Bounds of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Longest time for which a connection is idle or a head arrives.
    pub idle_time: Duration,
}

/// Connections of a server that are open.
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
    /// Becomes true when connections are to be closed behind their answers.
    pub closing: watch::Receiver<bool>,
    /// Connections that are open.
    pub open: Arc<OpenConnections>,
}

impl Server {
    /// Serves until connections are to be closed; `limits` are read for each connection.
    ///
    /// Then no connection is accepted any more, so that callers turn to another address at once.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
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
                () = closed(&mut closing) => return Ok(()),
            };
            match accepted {
                Ok((stream, _)) => {
                    let closing = self.closing.clone();
                    let open = self.open.clone();
                    let served = serve(stream, limits(), closing, open, handler.clone());
                    tokio::spawn(served);
                }
                Err(e) => {
                    warn!(error:% = e; "A connection was not accepted.");
                    sleep(ACCEPT_PAUSE).await;
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
        debug!(error:% = e; "A connection was not set up.");
        return;
    }
    open.0.fetch_add(1, Ordering::Relaxed);
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUF_LEN))
        .preserve_header_case(true)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!(error:% = e; "A connection ended early.");
    }
    open.0.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until connections are to be closed.
async fn closed(closing: &mut watch::Receiver<bool>) {
    // The sender lives as long as the process; without it nothing closes.
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
