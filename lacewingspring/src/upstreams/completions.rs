//! Model engines: OpenAI completions with server-sent events.
//!
//! Besides the OpenAI call, an engine offers to resume a stream (`GET` with `Last-Event-ID`), to
//! cancel a run (`DELETE`) and to export its KV cache (`POST` to `/export`).

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lacewingspring_core::request::Dispatch;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{
    DispatchError, REQUEST_ID, ResponseChecks, UpstreamError, check_label, exchange,
    sampling::Sampling, sse::EventParser,
};

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Header with the id of the last event that the client received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Path that the liveness probe requests.
const MODELS_PATH: &str = "/v1/models";

/// Timeout of the liveness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Body of a completions call to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionCall {
    /// Model that the engine serves.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Always true: the response is streamed.
    pub stream: bool,
    /// Sampling parameters.
    #[serde(flatten)]
    pub sampling: Sampling,
    /// Exported KV cache to import, if the run was parked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransfer>,
    /// Index of the first token to stream, if the run was parked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<u64>,
}

/// Reference to an exported KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Handle by which an engine imports the cache.
    pub handle: String,
}

/// Response to an export.
#[derive(Clone, Debug, Deserialize)]
pub struct Exported {
    /// Reference to the exported KV cache.
    pub kv_transfer_params: KvTransfer,
    /// Tokens generated before the export.
    pub generated: u64,
}

/// One part of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Text of one token.
    Token {
        /// Index of the token in the output, from 0.
        index: u64,
        /// Text of the token.
        text: String,
        /// Why the engine stopped; `None` except on the last token.
        finish_reason: Option<String>,
        /// Token counts of the run; sent with the last token.
        usage: Option<Usage>,
    },
    /// The end marker of the stream.
    Done,
}

/// Token counts of a finished run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Prompt tokens taken from the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

/// Streamed response whose events are validated as they arrive.
#[derive(Debug)]
pub struct TokenStream {
    id: String,
    body: Incoming,
    parser: EventParser,
    next: u64,
    finished: bool,
    checks: ResponseChecks,
}

impl TokenStream {
    /// Returns the next part in token order; skips repeated tokens.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends without its end marker, skips a token, or carries the id of
    /// another request.
    pub async fn next(&mut self) -> Result<Part, UpstreamError> {
        loop {
            let event = self.parser.next_event();
            let event = event.map_err(|_| {
                UpstreamError::Protocol("event is longer than 256 KiB or not UTF-8")
            })?;
            if let Some(event) = event {
                if let Some(part) = self.accept(event.id, &event.data)? {
                    return Ok(part);
                }
                continue;
            }
            let Some(frame) = self.body.frame().await else { return self.end() };
            let frame = frame.map_err(|_| UpstreamError::Interrupted)?;
            if let Some(bytes) = frame.data_ref() {
                self.parser.push(bytes);
            }
        }
    }

    /// Handles a connection that closed before the end marker.
    fn end(&self) -> Result<Part, UpstreamError> {
        if self.checks.end_marker { Err(UpstreamError::Interrupted) } else { Ok(Part::Done) }
    }

    fn accept(&mut self, index: Option<u64>, data: &str) -> Result<Option<Part>, UpstreamError> {
        if data == DONE {
            let end =
                if self.finished { Ok(Some(Part::Done)) } else { Err(UpstreamError::Interrupted) };
            return end;
        }
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|_| UpstreamError::Protocol("event is not a completion chunk"))?;
        if chunk.id != self.id && self.checks.label {
            return Err(UpstreamError::Mislabelled);
        }
        let index = index.ok_or(UpstreamError::Protocol("event has no id"))?;
        if index < self.next {
            return Ok(None);
        }
        if index > self.next || self.finished {
            return Err(UpstreamError::Protocol("token is out of order"));
        }
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or(UpstreamError::Protocol("event has no choice"))?;
        self.next += 1;
        self.finished = choice.finish_reason.is_some();
        Ok(Some(Part::Token {
            index,
            text: choice.text,
            finish_reason: choice.finish_reason,
            usage: chunk.usage,
        }))
    }
}

/// One run on one engine.
#[derive(Clone, Debug)]
pub struct EngineRun {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Request id by which the engine knows the run.
    pub id: String,
    /// Checks of the engine's responses.
    pub checks: ResponseChecks,
}

impl EngineRun {
    /// Sends the request to the engine.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent; after any other error the engine may hold a run.
    pub async fn dispatch(
        &self,
        dispatch: Dispatch,
        call: &CompletionCall,
    ) -> Result<TokenStream, DispatchError> {
        log::debug!(
            key:% = dispatch.facts.key, upstream:% = dispatch.upstream;
            "Dispatches a request."
        );
        let sent = self.send(call).await;
        sent.map_err(|e| DispatchError::new(dispatch, e))
    }

    /// Continues a parked run on this engine by importing its exported KV cache.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't import the cache.
    pub async fn import(&self, call: &CompletionCall) -> Result<TokenStream, UpstreamError> {
        debug_assert!(call.kv_transfer_params.is_some(), "import without kv_transfer_params");
        self.send(call).await
    }

    async fn send(&self, call: &CompletionCall) -> Result<TokenStream, UpstreamError> {
        let body = serde_json::to_vec(call).map_err(|_| UpstreamError::NotSent)?;
        let req = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, &self.id)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| UpstreamError::NotSent)?;
        let opened = self.open(req, call.resume_from.unwrap_or(0)).await;
        opened.map_err(|e| match e {
            UpstreamError::Unknown => UpstreamError::Status(404),
            e => e,
        })
    }

    /// Resumes the stream at token index `from`.
    ///
    /// # Errors
    ///
    /// `Unknown` if the engine no longer has the run.
    pub async fn resume(&self, from: u64) -> Result<TokenStream, UpstreamError> {
        let mut req = Request::builder()
            .method(Method::GET)
            .uri(self.path())
            .header(header::HOST, self.address.to_string())
            .header(REQUEST_ID, &self.id);
        if let Some(last) = from.checked_sub(1) {
            req = req.header(LAST_EVENT_ID, last);
        }
        let req = req.body(Full::default()).map_err(|_| UpstreamError::NotSent)?;
        self.open(req, from).await
    }

    /// Sends a liveness probe; returns whether the engine answers with success in time.
    pub async fn is_up(&self) -> bool {
        let Ok(req) = self.request(Method::GET, MODELS_PATH.to_owned()) else { return false };
        let response = timeout(PROBE_TIMEOUT, exchange(self.address, req)).await;
        response.is_ok_and(|response| response.is_ok_and(|head| head.status().is_success()))
    }

    /// Cancels the run. Ignores failures: the run then goes on until the engine's own limit.
    pub async fn cancel(&self) {
        let Ok(req) = self.request(Method::DELETE, self.path()) else { return };
        let _ = exchange(self.address, req).await;
    }

    /// Stops the run and exports its KV cache.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't export the cache.
    pub async fn export(&self) -> Result<Exported, UpstreamError> {
        let req = self.request(Method::POST, format!("{}/export", self.path()))?;
        let response = exchange(self.address, req).await?;
        if !response.status().is_success() {
            return Err(UpstreamError::Status(response.status().as_u16()));
        }
        let body = response.into_body().collect().await.map_err(|_| UpstreamError::Interrupted)?;
        serde_json::from_slice(&body.to_bytes())
            .map_err(|_| UpstreamError::Protocol("export response could not be parsed"))
    }

    fn path(&self) -> String {
        format!("/v1/completions/{}", self.id)
    }

    fn request(&self, method: Method, path: String) -> Result<Request<Full<Bytes>>, UpstreamError> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .body(Full::default())
            .map_err(|_| UpstreamError::NotSent)
    }

    async fn open(
        &self,
        req: Request<Full<Bytes>>,
        from: u64,
    ) -> Result<TokenStream, UpstreamError> {
        let response = exchange(self.address, req).await?;
        match response.status().as_u16() {
            200 => {}
            404 => return Err(UpstreamError::Unknown),
            status => return Err(UpstreamError::Status(status)),
        }
        check_label(&response, &self.id, self.checks)?;
        Ok(TokenStream {
            id: self.id.clone(),
            body: response.into_body(),
            parser: EventParser::default(),
            next: from,
            finished: false,
            checks: self.checks,
        })
    }
}
