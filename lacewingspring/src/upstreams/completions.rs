//! Model engines: OpenAI completions with server-sent events.
//!
//! Beyond the published call, an engine resumes a stream (`GET` with `Last-Event-ID`), cancels it
//! (`DELETE`) and exports its KV cache.

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

/// Header that names the last event a reader has.
const LAST_EVENT_ID: &str = "last-event-id";

/// Path that a probe reads.
const MODELS_PATH: &str = "/v1/models";

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Body of a completions call to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionCall {
    /// Model that the engine serves.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Always true: the answer is streamed.
    pub stream: bool,
    /// How tokens are chosen.
    #[serde(flatten)]
    pub sampling: Sampling,
    /// KV cache to import, when the run was parked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransfer>,
    /// First token wanted, when the run was parked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<u64>,
}

/// Exported KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Handle of the exported cache.
    pub handle: String,
}

/// Answer to an export.
#[derive(Clone, Debug, Deserialize)]
pub struct Exported {
    /// Exported KV cache.
    pub kv_transfer_params: KvTransfer,
    /// Tokens generated before the export.
    pub generated: u64,
}

/// One part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Text of one token.
    Token {
        /// Position from 0.
        index: u64,
        /// Text.
        text: String,
        /// Why the engine stopped; none while it goes on.
        finish_reason: Option<String>,
        /// Token counts, on the last token.
        usage: Option<Usage>,
    },
    /// The end marker.
    Done,
}

/// Token counts of a finished run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// How the prompt tokens were computed.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// How prompt tokens were computed.
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

/// A streamed answer, checked event by event.
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
    /// Returns the next part in order; repeated events are dropped.
    ///
    /// # Errors
    ///
    /// Fails when the stream ends without its end marker, skips a token, or is labelled with
    /// another request.
    pub async fn next(&mut self) -> Result<Part, UpstreamError> {
        loop {
            let event = self.parser.next_event();
            let event = event.map_err(|_| UpstreamError::Protocol("an event is unsound"))?;
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

    /// Ends a stream whose bytes ended before its end marker.
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
            .map_err(|_| UpstreamError::Protocol("an event is not a completion chunk"))?;
        if chunk.id != self.id && self.checks.label {
            return Err(UpstreamError::Mislabelled);
        }
        let index = index.ok_or(UpstreamError::Protocol("an event has no id"))?;
        if index < self.next {
            return Ok(None);
        }
        if index > self.next || self.finished {
            return Err(UpstreamError::Protocol("a token is out of order"));
        }
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or(UpstreamError::Protocol("an event has no choice"))?;
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
    /// Identifier of the run at the engine.
    pub id: String,
    /// What is checked of its answers.
    pub checks: ResponseChecks,
}

impl EngineRun {
    /// Hands the request to the engine, once.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte went out; any other error may leave a run behind.
    pub async fn dispatch(
        &self,
        proof: Dispatch,
        call: &CompletionCall,
    ) -> Result<TokenStream, DispatchError> {
        log::debug!(key:% = proof.facts.key, upstream:% = proof.upstream; "Dispatches a request.");
        let sent = self.send(call).await;
        sent.map_err(|e| DispatchError::new(proof, e))
    }

    /// Goes on with a run whose KV cache was exported.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't import the cache.
    pub async fn import(&self, call: &CompletionCall) -> Result<TokenStream, UpstreamError> {
        debug_assert!(call.kv_transfer_params.is_some(), "an import without a cache");
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

    /// Resumes the stream from a token on.
    ///
    /// # Errors
    ///
    /// `Unknown` when the engine no longer has the run.
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

    /// Returns whether the engine answers, by a short probe.
    pub async fn is_up(&self) -> bool {
        let Ok(req) = self.order(Method::GET, MODELS_PATH.to_owned()) else { return false };
        let answer = timeout(PROBE_TIMEOUT, exchange(self.address, req)).await;
        answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
    }

    /// Cancels the run; a failure leaves it to the engine's own limit.
    pub async fn cancel(&self) {
        let Ok(req) = self.order(Method::DELETE, self.path()) else { return };
        let _ = exchange(self.address, req).await;
    }

    /// Stops the run and exports its KV cache.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't export.
    pub async fn export(&self) -> Result<Exported, UpstreamError> {
        let req = self.order(Method::POST, format!("{}/export", self.path()))?;
        let response = exchange(self.address, req).await?;
        if !response.status().is_success() {
            return Err(UpstreamError::Status(response.status().as_u16()));
        }
        let body = response.into_body().collect().await.map_err(|_| UpstreamError::Interrupted)?;
        serde_json::from_slice(&body.to_bytes())
            .map_err(|_| UpstreamError::Protocol("an export could not be read"))
    }

    fn path(&self) -> String {
        format!("/v1/completions/{}", self.id)
    }

    fn order(&self, method: Method, path: String) -> Result<Request<Full<Bytes>>, UpstreamError> {
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
