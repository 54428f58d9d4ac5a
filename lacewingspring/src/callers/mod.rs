//! HTTP server for callers and operators.

use std::{io, sync::Arc, thread, time::Duration};

use bytes::{Bytes, BytesMut};
use http::Method;
use lacewingspring_core::error::ErrorKind;
use tokio::time::timeout;
use xitca_web::{
    App,
    body::{BodyExt, RequestBody},
    handler::{body::Body, handler_service, state::StateRef},
    http::{WebRequest, WebResponse},
};

use self::reply::Reply;
use crate::{daemon::Node, entry::Refusal};

mod addresses;
mod auth;
mod completion_request;
mod completions;
mod keys;
mod operators;
mod plain;
mod reply;

/// Maximum length of a request body, in bytes.
const MAX_BODY_LEN: usize = 1024 * 1024;

/// Maximum length of a request head, in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Maximum size of the write buffer of a connection, in bytes.
const WRITE_BUF_LEN: usize = 64 * 1024;

/// Number of threads that serve callers.
const WORKERS: usize = 2;

/// Path prefix of calls to plain services.
const SERVICES_PATH: &str = "/services/";

/// Path prefix of status queries of a key.
const REQUESTS_PATH: &str = "/v1/requests/";

/// Path prefix of the operator interface.
const OPERATOR_PATH: &str = "/operator/v1/";

/// One HTTP request with its whole body.
#[derive(Debug)]
pub struct Call<'a> {
    /// Head of the request.
    pub head: &'a WebRequest<()>,
    /// Whole body.
    pub body: Bytes,
}

/// Starts the HTTP server in its own threads.
///
/// # Errors
///
/// Fails if the listen address cannot be bound or the thread cannot be started.
pub fn start(node: Arc<Node>) -> io::Result<()> {
    let address = node.settings.listen.callers;
    let read_timeout = Duration::from_millis(node.settings.timing.request_read_ms);
    let server = App::new()
        .with_state(node)
        .at("/{*path}", handler_service(handle))
        .serve()
        .worker_threads(WORKERS)
        .disable_signal()
        .request_head_timeout(read_timeout)
        .max_read_buf_size::<MAX_HEAD_LEN>()
        .max_write_buf_size::<WRITE_BUF_LEN>()
        .max_request_headers::<MAX_HEADERS>()
        .bind(address)?
        .run();
    thread::Builder::new().name("callers".into()).spawn(move || server.wait())?;
    Ok(())
}

async fn handle(
    StateRef(node): StateRef<'_, Arc<Node>>,
    head: &WebRequest<()>,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    let reply = match read_body(node, body).await {
        Ok(body) => route(node, Call { head, body }).await,
        Err(refusal) => Err(refusal),
    };
    reply.unwrap_or_else(|refusal| problem_reply(node, refusal)).into_response()
}

/// Converts a refusal to a reply. A leaving instance adds the addresses of those that stay.
fn problem_reply(node: &Node, refusal: Refusal) -> Reply {
    let mut addresses = Vec::new();
    if refusal.kind == ErrorKind::Leaving {
        let staying = node.fleet.addresses(&node.settings.data_centre);
        addresses.extend(staying.into_iter().map(|found| found.address));
    }
    Reply::problem(refusal, addresses)
}

/// Reads a body within the limits on its length and read time.
async fn read_body(node: &Node, body: RequestBody) -> Result<Bytes, Refusal> {
    let limit = Duration::from_millis(node.settings.timing.request_read_ms);
    let reading = timeout(limit, collect(body)).await;
    reading.map_err(|_| Refusal::permanent(ErrorKind::RequestTimeout))?
}

async fn collect(body: RequestBody) -> Result<Bytes, Refusal> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| Refusal::permanent(ErrorKind::Malformed))?;
        if buf.len() + data.len() > MAX_BODY_LEN {
            return Err(Refusal::permanent(ErrorKind::TooLarge));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

async fn route(node: &Arc<Node>, call: Call<'_>) -> Result<Reply, Refusal> {
    let path = call.head.uri().path();
    let method = call.head.method();
    match (path, method) {
        ("/v1/addresses", &Method::GET) => Ok(addresses::get(node, &call)),
        ("/v1/completions", &Method::POST) => completions::post(node, &call).await,
        ("/v1/addresses" | "/v1/completions", _) => {
            Err(Refusal::permanent(ErrorKind::MethodNotAllowed))
        }
        _ if path.starts_with(OPERATOR_PATH) => Ok(operators::call(node, &call).await),
        _ if path.starts_with(SERVICES_PATH) => plain::call(node, &call).await,
        _ if path.starts_with(REQUESTS_PATH) => keys::get(node, &call).await,
        _ => Err(Refusal::permanent(ErrorKind::NotFound)),
    }
}
