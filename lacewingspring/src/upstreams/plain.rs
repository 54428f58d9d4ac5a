//! Plain HTTP upstreams: one call, forwarded unchanged, with an unstreamed response.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use lacewingspring_core::{claim::StoredAnswer, request::Dispatch};
use lacewingspring_proxy::framing::{BodyProgress, Framing, is_event_stream};

use super::{DispatchError, REQUEST_ID, ResponseChecks, UpstreamError, check_label, exchange};

/// Largest accepted response body of a plain upstream, in bytes.
const MAX_RESPONSE_BYTES: usize = 512 * 1024;

/// One call to a plain upstream.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Request id, which the upstream echoes.
    pub id: String,
    /// Idempotency key that the upstream receives.
    pub key: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the request.
    pub body: Bytes,
    /// Checks of the response.
    pub checks: ResponseChecks,
}

impl PlainCall {
    /// Sends the call to the upstream and reads the whole response.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent; after any other error the call may have run.
    pub async fn dispatch(self, dispatch: Dispatch) -> Result<StoredAnswer, DispatchError> {
        log::debug!(
            key:% = dispatch.facts.key, upstream:% = dispatch.upstream;
            "Dispatches a call."
        );
        let sent = self.send().await;
        sent.map_err(|e| DispatchError::new(dispatch, e))
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
        let framing = Framing::of(response.headers(), response.body());
        let mut progress = BodyProgress::new(framing, is_event_stream(response.headers(), false));
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| UpstreamError::Interrupted)?.to_bytes();
        progress.push(&body);
        if progress.is_truncated() {
            return Err(UpstreamError::Interrupted);
        }
        let body = String::from_utf8(body.to_vec());
        let body = body.map_err(|_| UpstreamError::Protocol("response body is not UTF-8"))?;
        Ok(StoredAnswer { status, content_type, body })
    }
}
