//! Reads the state of engines (which weights they serve) and sends orders that change it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use lacewingspring_core::pool_control::{EngineState, OrderOutcome};
use tokio::time::timeout;

use super::{UpstreamError, exchange};

/// Path of an engine's state.
const STATE_PATH: &str = "/v1/state";

/// Timeout for reading an engine's state.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an order, which includes loading the weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1_800);

/// Largest accepted body of an engine's state, in bytes.
const MAX_STATE_BYTES: usize = 64 * 1024;

/// Reads an engine's state; `None` if the engine can't be reached or its response is invalid.
pub async fn read_state(address: SocketAddr) -> Option<EngineState> {
    let req = request(Method::GET, address, Bytes::new()).ok()?;
    let read = async {
        let response = exchange(address, req).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    timeout(READ_TIMEOUT, read).await.ok()?
}

/// Sends an order and waits until the engine has carried it out.
pub async fn send_order(address: SocketAddr, state: &EngineState) -> OrderOutcome {
    let body = serde_json::to_vec(state).unwrap_or_default();
    let Ok(req) = request(Method::PUT, address, body.into()) else { return OrderOutcome::NotSent };
    match timeout(LOAD_TIMEOUT, exchange(address, req)).await {
        Ok(Ok(response)) => outcome(response.status()),
        Ok(Err(UpstreamError::NotSent)) => OrderOutcome::NotSent,
        Ok(Err(_)) | Err(_) => OrderOutcome::NoReply,
    }
}

fn outcome(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::CONFLICT => OrderOutcome::Stale,
        StatusCode::SERVICE_UNAVAILABLE => OrderOutcome::Busy,
        status if status.is_success() => OrderOutcome::Applied,
        _ => OrderOutcome::Failed,
    }
}

fn request(
    method: Method,
    address: SocketAddr,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .method(method)
        .uri(STATE_PATH)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
}
