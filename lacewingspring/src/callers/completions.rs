//! OpenAI-compatible completions, with answers streamed as server-sent events.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use lacewingspring_core::{
    error::ErrorKind,
    key_index::KeyId,
    names::{RequestKey, ServiceName},
    resources::ServiceProtocol,
};
use serde::Serialize;

use super::{Call, auth, completion_request::CompletionRequest, reply::Reply};
use crate::{
    daemon::Node,
    entry::{self, Follower, Refusal, Work},
    peers::RunPart,
};

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a RequestKey,
    object: &'static str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

/// Submits a completion request and answers with a stream of events or with the whole answer.
///
/// # Errors
///
/// Returns the refusal of a request that is not accepted, or that ends before its first token.
pub async fn post(node: &Arc<Node>, call: &Call<'_>) -> Result<Reply, Refusal> {
    let catalog = node.catalog();
    let headers = call.head.headers();
    let workspace = auth::workspace(&catalog, headers)?;
    let req = match CompletionRequest::parse(&call.body) {
        Ok(req) => req,
        Err(detail) => return Ok(Reply::malformed(detail)),
    };
    let service = ServiceName::from(req.model.as_str());
    let key = auth::key(headers)?;
    check_service(&catalog, &service, ServiceProtocol::Completions, key.is_some())?;
    let minted = key.is_none();
    let id = KeyId { workspace, key: key.unwrap_or_else(auth::mint_key) };
    let stream = req.stream.unwrap_or(false);
    let work =
        entry::build_work(&catalog, id.clone(), service, req.into_body(), auth::timeout(headers)?)?;
    let is_retry = auth::is_retry(headers)?;
    let follower = entry::submit(node, Work { minted, is_retry, ..work })?;
    let reply = if stream { streamed(follower).await? } else { whole(follower).await? };
    Ok(reply.with_key(&id))
}

/// Checks that a service uses the protocol of the call and that the call has the key it needs.
///
/// # Errors
///
/// Returns `NotFound` for an unknown service or another protocol, and `KeyMissing` for a missing
/// key.
pub fn check_service(
    catalog: &lacewingspring_core::catalog::Catalog,
    service: &ServiceName,
    protocol: ServiceProtocol,
    has_key: bool,
) -> Result<(), Refusal> {
    let route = catalog.route(service.as_str());
    let route = route.ok_or(Refusal::permanent(ErrorKind::NotFound))?;
    if route.service.protocol != protocol {
        return Err(Refusal::permanent(ErrorKind::NotFound));
    }
    if !route.service.idempotent && !has_key {
        return Err(Refusal::permanent(ErrorKind::KeyMissing));
    }
    Ok(())
}

/// Starts the stream only once the first part is known, so that a refusal keeps its HTTP status.
async fn streamed(mut follower: Follower) -> Result<Reply, Refusal> {
    let first = follower.next().await.ok_or(Refusal::permanent(ErrorKind::Internal))?;
    if let RunPart::Failed { kind, retry_after_ms } = first {
        return Err(Refusal::from_ms(kind, retry_after_ms));
    }
    let state = Streaming { follower, ready: Some(first), index: 0 };
    Ok(Reply::events(unfold(state, Streaming::step)))
}

async fn whole(mut follower: Follower) -> Result<Reply, Refusal> {
    let key = follower.run().id.key.clone();
    let mut answer = String::new();
    while let Some(part) = follower.next().await {
        match part {
            RunPart::Text(text) => answer.push_str(&text),
            RunPart::Failed { kind, retry_after_ms } => {
                return Err(Refusal::from_ms(kind, retry_after_ms));
            }
            RunPart::End { finish_reason } => {
                return Ok(Reply::json(200, &chunk(&key, &answer, Some(&finish_reason))));
            }
            RunPart::Head { .. } => {}
        }
    }
    Err(Refusal::permanent(ErrorKind::Internal))
}

fn chunk<'a>(key: &'a RequestKey, text: &'a str, finish_reason: Option<&'a str>) -> Chunk<'a> {
    let choice = Choice { index: 0, text, finish_reason };
    Chunk { id: key, object: "text_completion", choices: [choice] }
}

/// State of a stream of events to a caller.
struct Streaming {
    follower: Follower,
    ready: Option<RunPart>,
    index: u64,
}

impl Streaming {
    async fn step(mut self) -> Option<(Bytes, Self)> {
        let part = match self.ready.take() {
            Some(part) => part,
            None => self.follower.next().await?,
        };
        let event = self.event(&part)?;
        self.index += 1;
        Some((event, self))
    }

    fn event(&self, part: &RunPart) -> Option<Bytes> {
        let key = &self.follower.run().id.key;
        let text = match part {
            RunPart::Text(text) => event(self.index, &chunk(key, text, None)),
            RunPart::End { finish_reason } => {
                let last = event(self.index, &chunk(key, "", Some(finish_reason)));
                format!("{last}data: [DONE]\n\n")
            }
            RunPart::Failed { kind, .. } => {
                let error = serde_json::json!({ "error": kind, "run": kind.answer().run });
                format!("event: error\ndata: {error}\n\n")
            }
            RunPart::Head { .. } => return None,
        };
        Some(text.into())
    }
}

fn event(index: u64, chunk: &Chunk<'_>) -> String {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    format!("id: {index}\ndata: {data}\n\n")
}
