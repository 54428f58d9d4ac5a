//! HTTP/1 client of the load tool: one connection per request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a JSON exchange, connection included.
const JSON_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Data of the event that ends a stream.
const DONE_MARKER: &str = "[DONE]";

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// The connection failed before any byte of the request was sent.
    #[error("connection failed; the request was not sent")]
    NotSent,
    /// The exchange broke off after bytes of the request may have been sent, or an event of the
    /// response is not JSON.
    #[error("exchange interrupted; the request may have run")]
    Interrupted,
    /// The event stream reports that the request failed.
    #[error("the event stream reports that the request failed")]
    Failed,
}

/// HTTP request with a JSON body.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Header fields besides `host` and `content-type`.
    pub headers: Vec<(&'static str, String)>,
    /// Body as JSON text; may be empty.
    pub body: String,
}

impl OutgoingRequest {
    /// Creates a request without extra headers and body.
    pub fn new<P>(method: &'static str, path: P) -> Self
    where
        P: Into<String>,
    {
        Self { method, path: path.into(), headers: Vec::new(), body: String::new() }
    }
}

/// Response whose body has not been read yet.
pub struct IncomingResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields of the response.
    pub headers: HeaderMap,
    body: Incoming,
}

/// Response that was read to its end, with the arrival times of its tokens.
#[derive(Clone, Debug, Default)]
pub struct CompleteResponse {
    /// Text of the tokens, or the body of a plain response.
    pub text: String,
    /// Arrival of each token, or of the plain response.
    pub token_times: Vec<Instant>,
}

impl IncomingResponse {
    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes before the end of the body.
    pub async fn read_text(self) -> Result<String, ExchangeError> {
        let body = self.body.collect().await.map_err(|_| ExchangeError::Interrupted)?;
        Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
    }

    /// Reads a stream of completion events up to its end; calls `on_token` for each token.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks off, holds an event that is not JSON, or reports an error.
    pub async fn read_tokens<F>(mut self, on_token: F) -> Result<CompleteResponse, ExchangeError>
    where
        F: Fn(),
    {
        let mut complete = CompleteResponse::default();
        let mut buf = Vec::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| ExchangeError::Interrupted)?;
            buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            while let Some(end) = buf.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buf.drain(..end + 2).collect();
                match event_data(&event) {
                    Some(DONE_MARKER) => return Ok(complete),
                    Some(data) => append_token(&mut complete, data, &on_token)?,
                    None => {}
                }
            }
        }
        Err(ExchangeError::Interrupted)
    }
}

/// Sends a request and returns the response once its head has arrived.
///
/// # Errors
///
/// Fails if the request can't be sent or the connection closes before the response head.
pub async fn send_request(
    address: SocketAddr,
    request: &OutgoingRequest,
) -> Result<IncomingResponse, ExchangeError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream =
        connecting.map_err(|_| ExchangeError::NotSent)?.map_err(|_| ExchangeError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let mut req = Request::builder().method(request.method).uri(&request.path);
    req = req.header("host", address.to_string()).header("content-type", "application/json");
    for (name, value) in &request.headers {
        req = req.header(*name, value);
    }
    let body = Full::new(Bytes::from(request.body.clone()));
    let req = req.body(body).map_err(|_| ExchangeError::NotSent)?;
    let response = sender.send_request(req).await.map_err(|_| ExchangeError::Interrupted)?;
    let (head, body) = response.into_parts();
    Ok(IncomingResponse { status: head.status.as_u16(), headers: head.headers, body })
}

/// Sends a request and returns the JSON body of the response.
///
/// `None` if the exchange fails, times out, or has a status other than 200.
pub async fn exchange_json(address: SocketAddr, request: OutgoingRequest) -> Option<Value> {
    let exchange = async {
        let response = send_request(address, &request).await.ok()?;
        if response.status != 200 {
            return None;
        }
        serde_json::from_str(&response.read_text().await.ok()?).ok()
    };
    timeout(JSON_EXCHANGE_TIMEOUT, exchange).await.ok().flatten()
}

fn event_data(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("data: "))
}

fn append_token<F>(
    complete: &mut CompleteResponse,
    data: &str,
    on_token: F,
) -> Result<(), ExchangeError>
where
    F: Fn(),
{
    let chunk: Value = serde_json::from_str(data).map_err(|_| ExchangeError::Interrupted)?;
    let Some(text) = chunk["choices"][0]["text"].as_str() else {
        return Err(ExchangeError::Failed);
    };
    if !text.is_empty() {
        complete.text.push_str(text);
        complete.token_times.push(Instant::now());
        on_token();
    }
    Ok(())
}
