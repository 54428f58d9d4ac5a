//! HTTP exchanges with upstreams. Each exchange opens its own connection, so that a response can
//! never be read as the response to another request.
//!
//! Dispatching takes a [`Dispatch`] by value, so that a request can't be sent twice.
//!
//! [`Dispatch`]: lacewingspring_core::request::Dispatch

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use lacewingspring_core::request::Dispatch;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::settings::{Mechanism, TestSettings};

pub mod completions;
pub mod orders;
pub mod plain;
pub mod sampling;
pub mod sse;

/// Timeout for opening a TCP connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Header with the request id; the upstream echoes it in its response.
pub const REQUEST_ID: &str = "x-request-id";

/// Why an exchange with an upstream failed.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The connection could not be opened; no byte was sent.
    #[error("upstream unreachable; no byte was sent")]
    NotSent,
    /// The connection failed or the response ended early, after bytes were sent; the upstream may
    /// have run the request.
    #[error("upstream response ended before it was complete")]
    Interrupted,
    /// The response carries the id of another request, or none.
    #[error("response does not carry the id of the request")]
    Mislabelled,
    /// The response violates the protocol of the upstream.
    #[error("response violates the protocol: {0}")]
    Protocol(&'static str),
    /// The upstream has no run with the id of the request.
    #[error("upstream has no run with the id of the request")]
    Unknown,
    /// The upstream responded with an unexpected HTTP status.
    #[error("upstream responded with status {0}")]
    Status(u16),
}

/// Why a dispatch failed.
#[derive(Debug, Error)]
pub enum DispatchError {
    /// No byte was sent. Returns the [`Dispatch`], so that the request can go to another upstream.
    #[error("upstream unreachable; no byte was sent")]
    NotSent(Dispatch),
    /// The upstream may have run the request.
    #[error(transparent)]
    Failed(UpstreamError),
}

impl DispatchError {
    fn new(dispatch: Dispatch, e: UpstreamError) -> Self {
        match e {
            UpstreamError::NotSent => Self::NotSent(dispatch),
            e => Self::Failed(e),
        }
    }
}

/// Sends one request on a new connection and returns the response once its head has arrived.
///
/// # Errors
///
/// `NotSent` if the connection failed before any byte was sent, else `Interrupted`.
async fn exchange(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, UpstreamError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(UpstreamError::NotSent),
    };
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| UpstreamError::NotSent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender.send_request(req).await.map_err(|_| UpstreamError::Interrupted)
}

/// Checks of upstream responses. All are on, unless a test switches one off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseChecks {
    /// Whether the response must echo the id of the request.
    pub label: bool,
    /// Whether a stream must end with its end marker.
    pub end_marker: bool,
}

impl ResponseChecks {
    /// Returns the checks that the test settings don't switch off.
    pub fn new(test: &TestSettings) -> Self {
        let label = test.is_on(Mechanism::LabelCheck);
        Self { label, end_marker: test.is_on(Mechanism::EndMarker) }
    }
}

/// Checks that the upstream echoed the id of the request.
fn check_label(
    response: &Response<Incoming>,
    id: &str,
    checks: ResponseChecks,
) -> Result<(), UpstreamError> {
    if !checks.label {
        return Ok(());
    }
    let echoed = response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    if echoed == Some(id) { Ok(()) } else { Err(UpstreamError::Mislabelled) }
}
