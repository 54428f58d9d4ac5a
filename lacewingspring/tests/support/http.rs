//! A minimal HTTP/1.1 client for tests, with one connection per request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

/// Longest wait for a connection, a response head or the next body frame.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The exchange failed or timed out before the response was complete.
#[derive(Debug)]
pub struct Failed;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body as text.
    pub body: String,
}

impl Response {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }

    /// Joins the text of a stream of completion chunks; `None` if the stream has no end marker.
    pub fn text(&self) -> Option<String> {
        let mut text = String::new();
        let mut done = false;
        for data in self.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).expect("a chunk");
            text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        }
        done.then_some(text)
    }
}

/// A response whose body is still arriving.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Stream {
    /// Returns the next bytes of the body; `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failed> {
        let frame = timeout(TIMEOUT, self.body.frame()).await.map_err(|_| Failed)?;
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|_| Failed)?;
        Ok(Some(frame.into_data().unwrap_or_default()))
    }

    /// Reads the rest of the body.
    pub async fn read_to_end(mut self) -> Result<Response, Failed> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next().await? {
            body.extend_from_slice(&bytes);
        }
        let body = String::from_utf8(body).map_err(|_| Failed)?;
        Ok(Response { status: self.status, headers: self.headers, body })
    }
}

/// Sends a request and returns once the response head has arrived.
pub async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: String,
) -> Result<Stream, Failed> {
    let stream = timeout(TIMEOUT, TcpStream::connect(address)).await.map_err(|_| Failed)?;
    let stream = stream.map_err(|_| Failed)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Failed)?;
    tokio::spawn(connection);
    let mut req = Request::builder().method(method).uri(path).header("host", address.to_string());
    for (name, value) in headers {
        req = req.header(*name, value);
    }
    let req = req.body(Full::new(Bytes::from(body))).map_err(|_| Failed)?;
    let response = timeout(TIMEOUT, sender.send_request(req)).await.map_err(|_| Failed)?;
    let (head, body) = response.map_err(|_| Failed)?.into_parts();
    Ok(Stream { status: head.status.as_u16(), headers: head.headers, body })
}

/// Sends a request and reads the complete response.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: String,
) -> Result<Response, Failed> {
    open(address, method, path, headers, body).await?.read_to_end().await
}

/// Sends a `GET` request without headers or body.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response, Failed> {
    call(address, "GET", path, &[], String::new()).await
}
