//! Plain servers: one HTTP call, passed on as it is, answered whole.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use lacewingspring_core::{claim::StoredAnswer, request::Dispatch};

use super::{DispatchError, REQUEST_ID, ResponseChecks, UpstreamError, check_label, exchange};

/// Largest answer of a plain server, in bytes.
const MAX_ANSWER_LEN: usize = 512 * 1024;

/// One call to a plain server.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Address of the server.
    pub address: SocketAddr,
    /// Identifier of the call, echoed by the server.
    pub id: String,
    /// Idempotency key handed on to the server.
    pub key: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// What is checked of the answer.
    pub checks: ResponseChecks,
}

impl PlainCall {
    /// Hands the call to the server, once, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte went out; after any other error the call may have run.
    pub async fn dispatch(self, proof: Dispatch) -> Result<StoredAnswer, DispatchError> {
        log::debug!(key:% = proof.facts.key, upstream:% = proof.upstream; "Dispatches a call.");
        let sent = self.send().await;
        sent.map_err(|e| DispatchError::new(proof, e))
    }

    async fn send(self) -> Result<StoredAnswer, UpstreamError> {
        let req = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, self.content_type)
            .header(REQUEST_ID, &self.id)
            .header("idempotency-key", self.key)
            .body(Full::new(self.body))
            .map_err(|_| UpstreamError::NotSent)?;
        let response = exchange(self.address, req).await?;
        check_label(&response, &self.id, self.checks)?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        let body = Limited::new(response.into_body(), MAX_ANSWER_LEN).collect().await;
        let body = body.map_err(|_| UpstreamError::Interrupted)?.to_bytes();
        let body = String::from_utf8(body.to_vec());
        let body = body.map_err(|_| UpstreamError::Protocol("the answer is not UTF-8"))?;
        Ok(StoredAnswer { status, content_type, body })
    }
}
