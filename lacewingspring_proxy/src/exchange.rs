//! One request and its answer at an upstream, on a connection of its own.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::task::AbortHandle;

use crate::net;

/// Longest time to connect to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest head of an answer, in bytes.
const MAX_HEAD_LEN: usize = 64 * 1024;

/// Why an exchange gave no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be made; nothing was sent.
    #[error("no connection: {0}")]
    Unreachable(#[from] io::Error),
    /// The connection broke or the bytes were no answer; the request may have run.
    #[error("the exchange broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// Ends the connection of an exchange when dropped.
#[derive(Debug)]
pub struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
}

/// Connects to an upstream.
///
/// # Errors
///
/// Fails when there is no connection in time.
pub async fn connect(address: SocketAddr) -> Result<tokio::net::TcpStream, ExchangeError> {
    Ok(net::connect(address, CONNECT_TIMEOUT).await?)
}

/// Sends a request on a new connection and waits for the head of its answer.
///
/// # Errors
///
/// Fails when the connection breaks or the bytes are no answer.
pub async fn send(
    stream: tokio::net::TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<Answer, ExchangeError> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_LEN).preserve_header_case(true);
    let (mut sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        // What goes wrong on the connection is told by the answer or its body.
        let _ = connection.await;
    });
    let connection = Connection(task.abort_handle());
    let answer: Response<Incoming> = sender.send_request(req).await?;
    let (head, body) = answer.into_parts();
    Ok(Answer { head, body, connection })
}
