//! Exchanges with upstreams. Each uses a connection of its own, so that no answer can cross.
//!
//! Dispatching takes a [`Dispatch`] by value: a request can't be sent twice.
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

/// Longest wait for a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Header that names the request to the upstream and is echoed by it.
pub const REQUEST_ID: &str = "x-request-id";

/// Why an exchange with an upstream failed.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No byte was handed to the upstream.
    #[error("the upstream can't be reached")]
    NotSent,
    /// The exchange was cut after bytes were handed over.
    #[error("the exchange was cut")]
    Interrupted,
    /// The answer belongs to another request.
    #[error("the answer is labelled with another request")]
    Mislabelled,
    /// The answer breaks its protocol.
    #[error("the answer breaks its protocol: {0}")]
    Protocol(&'static str),
    /// The upstream doesn't know the request.
    #[error("the upstream doesn't know the request")]
    Unknown,
    /// The upstream refused with a status.
    #[error("the upstream answered with status {0}")]
    Status(u16),
}

/// Why a dispatch failed.
#[derive(Debug, Error)]
pub enum DispatchError {
    /// No byte was handed to the upstream; the proof is given back.
    #[error("the upstream can't be reached")]
    NotSent(Dispatch),
    /// The upstream may have run the request.
    #[error(transparent)]
    Failed(UpstreamError),
}

impl DispatchError {
    fn new(proof: Dispatch, e: UpstreamError) -> Self {
        match e {
            UpstreamError::NotSent => Self::NotSent(proof),
            e => Self::Failed(e),
        }
    }
}

/// Sends one request on a connection of its own and returns the head of the answer.
///
/// # Errors
///
/// `NotSent` when the connection failed before any byte went out, else `Cut`.
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

/// What is checked of an answer; everything outside of tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseChecks {
    /// Whether the upstream must echo the id of the request.
    pub label: bool,
    /// Whether a stream must end with its end marker.
    pub end_marker: bool,
}

impl ResponseChecks {
    /// Returns the checks that the settings leave on.
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
