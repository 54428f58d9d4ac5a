//! One HTTP/1.1 exchange with an upstream, on a connection of its own.

use std::{
    fmt::Debug,
    io,
    net::SocketAddr,
    ops::Range,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, client::conn::http1, ext::on_informational};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, sync::Notify, task::AbortHandle};

use crate::{framing::Framing, memory_budget::body::HeldMessage, net};

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Statuses of final responses (RFC 9110, section 15). Upgrades are not asked for, so 101 is none.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Largest number of informational responses (1xx) before a response.
const MAX_INFORMATIONAL: u32 = 16;

/// Why an exchange yielded no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed; nothing was sent.
    #[error("cannot connect to the upstream: {0}")]
    Unreachable(#[from] io::Error),
    /// The connection broke or the response was invalid; the request may have run.
    #[error("no valid response from the upstream: {0}")]
    Broken(#[from] hyper::Error),
    /// The upstream sent informational responses without end; the request may have run.
    #[error("more than {MAX_INFORMATIONAL} informational responses from the upstream")]
    Informational,
    /// The response has a status that no final response has; the request may have run.
    #[error("the upstream responded with the invalid status {0}")]
    InvalidStatus(StatusCode),
}

/// Closes the connection of an exchange when dropped.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response whose head was received and whose body is still to be read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// How the response delimits its body.
    pub framing: Framing,
    /// Body, read from the connection as it is polled.
    pub body: Incoming,
    /// Connection of the response; dropping it ends the body.
    pub connection: ConnectionGuard,
}

/// Result of opening a connection.
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>>;

/// Opens connections to upstreams.
pub trait Connect: Debug + Send + Sync {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// The future fails if the connection is refused or not accepted in time.
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct TcpConnector;

impl Connect for TcpConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_> {
        Box::pin(net::connect(address, CONNECT_TIMEOUT))
    }
}

/// Sends a request on a new connection and waits for the head of the response.
///
/// # Errors
///
/// Fails if the connection breaks, the response is not valid HTTP/1.1 or has an invalid status, or
/// too many informational responses come before it.
pub async fn send(
    stream: TcpStream,
    mut req: Request<HeldMessage>,
) -> Result<UpstreamResponse, ExchangeError> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES).preserve_header_case(true);
    let (mut sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        // A connection error is also returned by `send_request` or by the response body.
        let _ = connection.await;
    });
    let connection = ConnectionGuard(task.abort_handle());
    let has_too_many = notify_of_too_many_informational(&mut req);
    let response: Response<Incoming> = tokio::select! {
        response = sender.send_request(req) => response?,
        () = has_too_many.notified() => return Err(ExchangeError::Informational),
    };
    if !FINAL_STATUSES.contains(&response.status().as_u16()) {
        return Err(ExchangeError::InvalidStatus(response.status()));
    }
    let (head, body) = response.into_parts();
    let framing = Framing::of(&head.headers, &body);
    Ok(UpstreamResponse { head, framing, body, connection })
}

/// Counts the informational responses to a request; returns what is notified when there are more
/// than [`MAX_INFORMATIONAL`].
fn notify_of_too_many_informational(req: &mut Request<HeldMessage>) -> Arc<Notify> {
    let has_too_many = Arc::new(Notify::new());
    let notify = has_too_many.clone();
    let count = AtomicU32::new(0);
    on_informational(req, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    has_too_many
}
