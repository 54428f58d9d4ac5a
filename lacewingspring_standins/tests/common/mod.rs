//! Client and in-process servers for the tests.

// Each test file uses a part of this.
#![allow(dead_code, unreachable_pub)]

use std::{future::Future, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::{net::TcpListener, time::timeout};

/// Longest time that a test waits for one thing.
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts a stand-in on a free port.
pub async fn start<F, Fut>(serve: F) -> Peer
where
    F: FnOnce(TcpListener) -> Fut,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(serve(listener));
    // Without idle connections, so that no request meets one that a crash has cut.
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    Peer { addr, client }
}

/// Client of one stand-in.
#[derive(Clone)]
pub struct Peer {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Peer {
    /// Sends a request with header fields and returns its reply, or none when it was cut.
    pub async fn open(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Response<Incoming>> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body.to_string())).expect("a proper request");
        timeout(PATIENCE, self.client.request(req)).await.expect("a reply in time").ok()
    }

    /// Sends a request and returns the status and body of its reply, or none when it was cut.
    pub async fn call(&self, method: &str, path: &str, body: Value) -> Option<(u16, Value)> {
        let reply = self.open(method, path, &[], &body).await?;
        let status = reply.status().as_u16();
        let bytes = timeout(PATIENCE, reply.collect()).await.expect("a body in time").ok()?;
        Some((status, serde_json::from_slice(&bytes.to_bytes()).expect("a JSON body")))
    }

    /// Sends a request that has to succeed and returns the body of its reply.
    pub async fn ok(&self, method: &str, path: &str, body: Value) -> Value {
        let (status, body) = self.call(method, path, body).await.expect("an uncut reply");
        assert_eq!(status, 200, "{body}");
        body
    }
}

/// Next piece of a streamed body as text; none at the end, an error when it was cut.
pub async fn next_piece(reply: &mut Response<Incoming>) -> Option<Result<String, ()>> {
    let frame = timeout(PATIENCE, reply.frame()).await.expect("a piece in time")?;
    let Ok(frame) = frame else { return Some(Err(())) };
    let data = frame.into_data().expect("a data frame");
    Some(Ok(String::from_utf8(data.to_vec()).expect("text")))
}

/// Streamed events up to the end; the flag tells whether the stream ended uncut.
pub async fn events(mut reply: Response<Incoming>) -> (Vec<Event>, bool) {
    let mut text = String::new();
    let mut whole = true;
    while let Some(piece) = next_piece(&mut reply).await {
        let Ok(piece) = piece else {
            whole = false;
            break;
        };
        text += &piece;
    }
    (text.split_terminator("\n\n").map(Event::parse).collect(), whole)
}

/// Server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Number of the event, if any.
    pub id: Option<u64>,
    /// Data, null for one that is no JSON.
    pub data: Value,
}

impl Event {
    fn parse(text: &str) -> Self {
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let id = field("id: ").map(|id| id.parse().expect("a number"));
        let data = field("data: ").expect("data");
        Self { id, data: serde_json::from_str(data).unwrap_or(Value::Null) }
    }

    /// Text of the token in the event, empty when there is none.
    pub fn text(&self) -> &str {
        self.data["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

/// Joined texts of events.
pub fn joined(events: &[Event]) -> String {
    events.iter().map(Event::text).collect()
}
