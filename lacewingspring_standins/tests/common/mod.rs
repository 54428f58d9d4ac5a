//! Starts stand-ins in the test process and provides a client for them.

// No test file uses all items of this module.
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

/// Maximum time that a test waits for a reply, a body or a chunk.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a stand-in on a free port and returns its client.
pub async fn start<F, Fut>(serve: F) -> StandInClient
where
    F: FnOnce(TcpListener) -> Fut,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound address");
    tokio::spawn(serve(listener));
    // Keeps no idle connections: a request on one that a crash has closed would fail.
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    StandInClient { addr, client }
}

/// HTTP client of one stand-in.
#[derive(Clone)]
pub struct StandInClient {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl StandInClient {
    /// Sends a request with headers and returns its reply, or `None` if the connection closed
    /// before the reply.
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
        let req = req.body(Full::from(body.to_string())).expect("valid request");
        timeout(REPLY_TIMEOUT, self.client.request(req))
            .await
            .expect("reply within the timeout")
            .ok()
    }

    /// Sends a request and returns the status and JSON body of its reply, or `None` if the
    /// connection closed before the end of the reply.
    pub async fn call(&self, method: &str, path: &str, body: Value) -> Option<(u16, Value)> {
        let reply = self.open(method, path, &[], &body).await?;
        let status = reply.status().as_u16();
        let bytes =
            timeout(REPLY_TIMEOUT, reply.collect()).await.expect("body within the timeout").ok()?;
        Some((status, serde_json::from_slice(&bytes.to_bytes()).expect("JSON body")))
    }

    /// Sends a request, asserts that its status is 200 and returns the JSON body of the reply.
    pub async fn ok(&self, method: &str, path: &str, body: Value) -> Value {
        let (status, body) = self.call(method, path, body).await.expect("complete reply");
        assert_eq!(status, 200, "{body}");
        body
    }
}

/// Returns the next chunk of a streamed body as text, `None` at its end, or an error if the
/// connection closed early.
pub async fn next_chunk(reply: &mut Response<Incoming>) -> Option<Result<String, ()>> {
    let frame = timeout(REPLY_TIMEOUT, reply.frame()).await.expect("chunk within the timeout")?;
    let Ok(frame) = frame else { return Some(Err(())) };
    let data = frame.into_data().expect("data frame");
    Some(Ok(String::from_utf8(data.to_vec()).expect("UTF-8 text")))
}

/// Reads a stream of events to its end. The flag is false if the connection closed early.
pub async fn events(mut reply: Response<Incoming>) -> (Vec<Event>, bool) {
    let mut text = String::new();
    let mut complete = true;
    while let Some(chunk) = next_chunk(&mut reply).await {
        let Ok(chunk) = chunk else {
            complete = false;
            break;
        };
        text += &chunk;
    }
    (text.split_terminator("\n\n").map(Event::parse).collect(), complete)
}

/// Server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Value of the field `id`, if any.
    pub id: Option<u64>,
    /// Field `data` parsed as JSON; null if it is not JSON, as in the end marker `[DONE]`.
    pub data: Value,
}

impl Event {
    fn parse(text: &str) -> Self {
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let id = field("id: ").map(|id| id.parse().expect("number"));
        let data = field("data: ").expect("data field");
        Self { id, data: serde_json::from_str(data).unwrap_or(Value::Null) }
    }

    /// Token text of the event; empty if it has none.
    pub fn text(&self) -> &str {
        self.data["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

/// Concatenates the token texts of events.
pub fn answer_text(events: &[Event]) -> String {
    events.iter().map(Event::text).collect()
}
