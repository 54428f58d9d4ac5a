//! Completions API of an engine: streamed and full replies, resumption, cancellation and export.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use serde::Deserialize;
use serde_json::{Map, Value, json};
use tokio::sync::watch;

use super::{
    Engine,
    answer::{sha8, token},
    handles,
    run::{Progress, Request, RunEnd},
};
use crate::http::{
    AbortError, Call, Reply, StreamSender, abort_connection, error, json, lock, send, stream,
};

/// Counter for the identifiers of requests without `X-Request-Id`.
static NEXT_ANONYMOUS_ID: AtomicU64 = AtomicU64::new(0);

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    /// Name of the model.
    model: String,
    /// Prompt; its words count as tokens.
    prompt: String,
    /// Number of tokens of the complete answer; 0 counts as 1.
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    stream: bool,
    /// Exported key-value cache to import.
    kv_transfer_params: Option<TransferParams>,
    /// Index of the first token to generate, if another engine has generated the earlier ones.
    #[serde(default)]
    resume_from: u64,
    /// All other fields, such as sampling parameters. They are recorded in the journal and
    /// otherwise ignored.
    #[serde(flatten)]
    sampling: Map<String, Value>,
}

/// Reference to an exported key-value cache.
#[derive(Debug, Deserialize)]
struct TransferParams {
    /// Handle from the reply to the export.
    handle: String,
}

/// Faults that apply to one streamed reply.
#[derive(Clone, Copy, Debug, Default)]
struct StreamFaults {
    /// Ends the stream halfway, without a finish reason or `[DONE]`.
    truncate: bool,
    /// Repeats the event in the middle of the answer.
    duplicate: bool,
    /// Number of tokens after which the connection is closed.
    cut_after_tokens: Option<u64>,
}

/// Sends the answer of a run to one client.
struct ReplyWriter {
    engine: Arc<Engine>,
    req: Arc<Request>,
    progress: watch::Receiver<Progress>,
    /// Request identifier that the reply carries; a wrong one under the fault `mislabel`.
    request_id: String,
}

fn default_max_tokens() -> u64 {
    16
}

/// Handles `POST /v1/completions`.
pub async fn create(engine: Arc<Engine>, call: &Call) -> Result<Reply, AbortError> {
    let body: CompletionBody = match call.json() {
        Ok(body) => body,
        Err(e) => return Ok(error(400, &e.to_string())),
    };
    if let Some(refusal) = lock(&engine.state).refusal(&body.model) {
        return Ok(refusal);
    }
    let streamed = body.stream;
    let id = call.header("x-request-id").map_or_else(
        || format!("cmpl-{}", NEXT_ANONYMOUS_ID.fetch_add(1, Ordering::Relaxed)),
        str::to_owned,
    );
    let req = match build_request(&engine, id, body) {
        Ok(req) => Arc::new(req),
        Err(refusal) => return Ok(*refusal),
    };
    let progress = engine.enqueue(req.clone()).ok_or(AbortError::Fault)?;
    engine.run_queued.notify_one();
    let from = req.resume_from;
    let writer = ReplyWriter::new(engine, req, progress);
    if streamed { Ok(writer.stream(from)) } else { writer.full_reply().await }
}

/// Handles `GET /v1/completions/{id}`: streams the events after `Last-Event-ID`, or all without it.
pub fn resume(engine: Arc<Engine>, id: &str, call: &Call) -> Result<Reply, AbortError> {
    let last = call.header("last-event-id").and_then(|n| n.parse::<u64>().ok());
    let found = {
        let mut sim = lock(&engine.sim);
        sim.find(id).map(|run| (run.req.clone(), run.progress.subscribe()))
    };
    let Some((req, progress)) = found else { return Ok(error(404, "unknown request")) };
    Ok(ReplyWriter::new(engine, req, progress).stream(last.map_or(0, |n| n + 1)))
}

/// Handles `DELETE /v1/completions/{id}`.
pub fn cancel(engine: &Engine, id: &str) -> Reply {
    match lock(&engine.sim).cancel(id) {
        Some(cancelled) => json(200, &json!({ "id": id, "cancelled": cancelled })),
        None => error(404, "unknown request"),
    }
}

/// Handles `POST /v1/completions/{id}/export`.
pub fn export(engine: &Engine, id: &str) -> Reply {
    let mut sim = lock(&engine.sim);
    let Some(prompt_tokens) = sim.find(id).map(|run| run.req.prompt_tokens) else {
        return error(404, "unknown request");
    };
    match sim.export(id) {
        Some((name, handle)) => {
            let params = json!({ "handle": name, "prompt_tokens": prompt_tokens });
            json(200, &json!({ "kv_transfer_params": params, "generated": handle.generated }))
        }
        None => error(409, "the run has ended"),
    }
}

/// Validates a body and converts it to a request; the error is the reply to send.
fn build_request(engine: &Engine, id: String, body: CompletionBody) -> Result<Request, Box<Reply>> {
    let prompt_sha8 = sha8(&body.prompt);
    let prompt_tokens = body.prompt.split_whitespace().count() as u64;
    let max_tokens = body.max_tokens.max(1);
    if prompt_tokens + max_tokens > engine.settings.kv_tokens {
        return Err(Box::new(error(400, "the request exceeds the context length")));
    }
    if body.resume_from >= max_tokens {
        return Err(Box::new(error(400, "resume_from is beyond max_tokens")));
    }
    let mut import_prefill_left = None;
    if let Some(params) = &body.kv_transfer_params {
        let handle = handles::find(&params.handle).filter(|handle| {
            handle.prompt_sha8 == prompt_sha8 && handle.generated >= body.resume_from
        });
        let Some(handle) = handle else {
            return Err(Box::new(error(409, "the handle is unknown or of another prompt")));
        };
        import_prefill_left = handle.prefill_left;
    }
    Ok(Request {
        id,
        model: body.model,
        prompt: body.prompt,
        prompt_sha8,
        prompt_tokens,
        max_tokens,
        resume_from: body.resume_from,
        resumed: body.kv_transfer_params.is_some() || body.resume_from > 0,
        import_prefill_left,
        sampling: body.sampling,
    })
}

impl ReplyWriter {
    fn new(engine: Arc<Engine>, req: Arc<Request>, progress: watch::Receiver<Progress>) -> Self {
        let mislabel = engine.faults.consume(|f| &mut f.mislabel);
        let other = lock(&engine.sim).journal.latest_except(&req.id);
        let request_id = match other {
            _ if !mislabel => req.id.clone(),
            Some(other) => other,
            None => format!("other-{}", req.id),
        };
        Self { engine, req, progress, request_id }
    }

    /// Streams the answer, starting with the token at index `from`.
    fn stream(self, from: u64) -> Reply {
        let (tx, mut reply) = stream("text/event-stream");
        self.set_request_id(&mut reply);
        let faults = self.consume_faults();
        tokio::spawn(self.send_events(from, faults, tx));
        reply
    }

    /// Waits for the end of the run and replies with all its tokens.
    async fn full_reply(mut self) -> Result<Reply, AbortError> {
        let ended = self.progress.wait_for(|p| p.end.is_some()).await;
        let progress = *ended.map_err(|_| AbortError::Fault)?;
        if progress.end == Some(RunEnd::Lost) {
            return Err(AbortError::Fault);
        }
        let tokens = self.req.resume_from..progress.generated;
        let text: String = tokens.map(|i| token(i, &self.req.prompt_sha8)).collect();
        let mut body = self.event(&text, finish_reason(&progress));
        body["usage"] = self.usage(&progress);
        let mut reply = json(200, &body);
        self.set_request_id(&mut reply);
        Ok(reply)
    }

    async fn send_events(mut self, from: u64, faults: StreamFaults, tx: StreamSender) {
        let middle = self.req.max_tokens / 2;
        let mut next = from;
        loop {
            let progress = *self.progress.borrow_and_update();
            while next < progress.generated && faults.cut_after_tokens != Some(next - from) {
                if faults.truncate && next >= middle.max(from) {
                    return;
                }
                let event = self.token_event(next, &progress);
                let repeats = faults.duplicate && next == middle.max(from);
                if repeats && !send(&tx, event.clone()).await {
                    return;
                }
                if !send(&tx, event).await {
                    return;
                }
                next += 1;
            }
            if faults.cut_after_tokens == Some(next - from) {
                return abort_connection(&tx).await;
            }
            match progress.end {
                Some(RunEnd::Lost) => return abort_connection(&tx).await,
                Some(end) => return self.send_end_events(end, &progress, &tx).await,
                None => {}
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() {
                    return abort_connection(&tx).await
                },
                () = tx.closed() => return,
            }
        }
    }

    async fn send_end_events(&self, end: RunEnd, progress: &Progress, tx: &StreamSender) {
        if end != RunEnd::Finished {
            let event = self.event("", finish_reason(progress));
            send(tx, format!("data: {event}\n\n")).await;
        }
        send(tx, "data: [DONE]\n\n").await;
    }

    fn token_event(&self, i: u64, progress: &Progress) -> String {
        let last = i + 1 == self.req.max_tokens;
        let reason = if last { Some("length") } else { None };
        let mut event = self.event(&token(i, &self.req.prompt_sha8), reason);
        if last {
            event["usage"] = self.usage(progress);
        }
        format!("id: {i}\ndata: {event}\n\n")
    }

    fn event(&self, text: &str, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.request_id,
            "object": "text_completion",
            "model": self.req.model,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
        })
    }

    fn usage(&self, progress: &Progress) -> Value {
        json!({
            "prompt_tokens": self.req.prompt_tokens,
            "completion_tokens": progress.generated,
            "prompt_tokens_details": { "cached_tokens": progress.cached_tokens },
        })
    }

    fn set_request_id(&self, reply: &mut Reply) {
        if let Ok(value) = self.request_id.parse() {
            reply.headers_mut().insert("x-request-id", value);
        }
    }

    fn consume_faults(&self) -> StreamFaults {
        let faults = &self.engine.faults;
        let cut_after_tokens = faults.get().cut_after_tokens;
        StreamFaults {
            truncate: faults.consume(|f| &mut f.truncate),
            duplicate: faults.consume(|f| &mut f.duplicate_events),
            cut_after_tokens: faults.consume(|f| &mut f.cut_streams).then_some(cut_after_tokens),
        }
    }
}

fn finish_reason(progress: &Progress) -> Option<&'static str> {
    match progress.end? {
        RunEnd::Finished => Some("length"),
        RunEnd::Cancelled => Some("abort"),
        RunEnd::Exported => Some("export"),
        RunEnd::Lost => None,
    }
}
