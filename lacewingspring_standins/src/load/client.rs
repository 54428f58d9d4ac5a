//! HTTP/1 client of the load tool: one connection a request.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a control exchange.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(20);

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No byte was sent.
    #[error("not sent")]
    NotSent,
    /// The exchange was cut after bytes were sent.
    #[error("cut")]
    Cut,
    /// The answer says that the request failed.
    #[error("failed")]
    Failed,
}

/// Request to send.
#[derive(Clone, Debug)]
pub struct Send {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Header fields.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

impl Send {
    /// Makes a request without a body.
    pub fn new<P>(method: &'static str, path: P) -> Self
    where
        P: Into<String>,
    {
        Self { method, path: path.into(), headers: Vec::new(), body: String::new() }
    }
}

/// Answer as it arrives.
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    body: Incoming,
}

/// Answer that ended whole, with the times of its parts.
#[derive(Clone, Debug, Default)]
pub struct Whole {
    /// Text of the tokens, or the body of a plain answer.
    pub text: String,
    /// Arrival of each token, or of the plain answer.
    pub tokens: Vec<Instant>,
}

impl Answer {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut.
    pub async fn text(self) -> Result<String, ExchangeError> {
        let body = self.body.collect().await.map_err(|_| ExchangeError::Cut)?;
        Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
    }

    /// Reads a stream of completion events up to its end; calls `on_token` at each token.
    ///
    /// # Errors
    ///
    /// Fails when the stream is cut or carries an error.
    pub async fn tokens<F>(mut self, on_token: F) -> Result<Whole, ExchangeError>
    where
        F: Fn(),
    {
        let mut whole = Whole::default();
        let mut buf = Vec::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| ExchangeError::Cut)?;
            buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            while let Some(end) = buf.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buf.drain(..end + 2).collect();
                match data(&event) {
                    Some(DONE) => return Ok(whole),
                    Some(data) => token(&mut whole, data, &on_token)?,
                    None => {}
                }
            }
        }
        Err(ExchangeError::Cut)
    }
}

/// Sends a request and returns the head of the answer.
///
/// # Errors
///
/// Fails when the request can't be sent or the connection is cut.
pub async fn open(address: SocketAddr, send: &Send) -> Result<Answer, ExchangeError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream =
        connecting.map_err(|_| ExchangeError::NotSent)?.map_err(|_| ExchangeError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let mut req = Request::builder().method(send.method).uri(&send.path);
    req = req.header("host", address.to_string()).header("content-type", "application/json");
    for (name, value) in &send.headers {
        req = req.header(*name, value);
    }
    let body = Full::new(Bytes::from(send.body.clone()));
    let req = req.body(body).map_err(|_| ExchangeError::NotSent)?;
    let response = sender.send_request(req).await.map_err(|_| ExchangeError::Cut)?;
    let (head, body) = response.into_parts();
    Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
}

/// Makes a control exchange and returns its JSON body; none when it fails.
pub async fn control(address: SocketAddr, send: Send) -> Option<Value> {
    let exchange = async {
        let answer = open(address, &send).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        serde_json::from_str(&answer.text().await.ok()?).ok()
    };
    timeout(CONTROL_TIMEOUT, exchange).await.ok().flatten()
}

fn data(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("data: "))
}

fn token<F>(whole: &mut Whole, data: &str, on_token: F) -> Result<(), ExchangeError>
where
    F: Fn(),
{
    let chunk: Value = serde_json::from_str(data).map_err(|_| ExchangeError::Cut)?;
    let Some(text) = chunk["choices"][0]["text"].as_str() else {
        return Err(ExchangeError::Failed);
    };
    if !text.is_empty() {
        whole.text.push_str(text);
        whole.tokens.push(Instant::now());
        on_token();
    }
    Ok(())
}
