//! Completions of an engine: streams, whole answers, resumption, cancellation and export.

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
    run::{End, Progress, Request},
};
use crate::http::{Call, CutError, Reply, StreamSender, cut, error, json, lock, send, stream};

/// Requests that came without an identifier.
static UNNAMED: AtomicU64 = AtomicU64::new(0);

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    /// Model to run.
    model: String,
    /// Prompt.
    prompt: String,
    /// Tokens of the answer.
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    /// Whether the answer is streamed.
    #[serde(default)]
    stream: bool,
    /// Exported cache to import.
    kv_transfer_params: Option<TransferParams>,
    /// First token to generate, after an interruption elsewhere.
    #[serde(default)]
    resume_from: u64,
    /// All other fields: how tokens are sampled. They are journalled and change nothing.
    #[serde(flatten)]
    sampling: Map<String, Value>,
}

/// Names an exported cache.
#[derive(Debug, Deserialize)]
struct TransferParams {
    /// Handle from the export.
    handle: String,
}

/// Faults that one answer got.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerFaults {
    /// Ends early without a finish.
    truncate: bool,
    /// Repeats an event.
    duplicate: bool,
    /// Tokens after which the connection is cut.
    cut_after: Option<u64>,
}

/// Reader of a run.
struct Reader {
    engine: Arc<Engine>,
    req: Arc<Request>,
    progress: watch::Receiver<Progress>,
    /// Identifier that the answer carries.
    label: String,
}

fn default_max_tokens() -> u64 {
    16
}

/// Answers `POST /v1/completions`.
pub async fn create(engine: Arc<Engine>, call: &Call) -> Result<Reply, CutError> {
    let body: CompletionBody = match call.json() {
        Ok(body) => body,
        Err(e) => return Ok(error(400, &e.to_string())),
    };
    if let Some(refusal) = lock(&engine.state).refusal(&body.model) {
        return Ok(refusal);
    }
    let streamed = body.stream;
    let id = call
        .header("x-request-id")
        .map_or_else(|| format!("cmpl-{}", UNNAMED.fetch_add(1, Ordering::Relaxed)), str::to_owned);
    let req = match request(&engine, id, body) {
        Ok(req) => Arc::new(req),
        Err(refusal) => return Ok(*refusal),
    };
    let progress = engine.add(req.clone()).ok_or(CutError::Fault)?;
    engine.arrived.notify_one();
    let from = req.resume_from;
    let reader = Reader::new(engine, req, progress);
    if streamed { Ok(reader.stream(from)) } else { reader.whole().await }
}

/// Answers `GET /v1/completions/{id}` with the events after `Last-Event-ID`.
pub fn resume(engine: Arc<Engine>, id: &str, call: &Call) -> Result<Reply, CutError> {
    let last = call.header("last-event-id").and_then(|n| n.parse::<u64>().ok());
    let found = {
        let mut sim = lock(&engine.sim);
        sim.find(id).map(|run| (run.req.clone(), run.progress.subscribe()))
    };
    let Some((req, progress)) = found else { return Ok(error(404, "unknown request")) };
    Ok(Reader::new(engine, req, progress).stream(last.map_or(0, |n| n + 1)))
}

/// Answers `DELETE /v1/completions/{id}`.
pub fn cancel(engine: &Engine, id: &str) -> Reply {
    match lock(&engine.sim).cancel(id) {
        Some(cancelled) => json(200, &json!({ "id": id, "cancelled": cancelled })),
        None => error(404, "unknown request"),
    }
}

/// Answers `POST /v1/completions/{id}/export`.
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

/// Checks a body and makes the request to run.
fn request(engine: &Engine, id: String, body: CompletionBody) -> Result<Request, Box<Reply>> {
    let prompt_sha8 = sha8(&body.prompt);
    let prompt_tokens = body.prompt.split_whitespace().count() as u64;
    let max_tokens = body.max_tokens.max(1);
    if prompt_tokens + max_tokens > engine.settings.kv_tokens {
        return Err(Box::new(error(400, "the request exceeds the context length")));
    }
    if body.resume_from >= max_tokens {
        return Err(Box::new(error(400, "resume_from is beyond max_tokens")));
    }
    let mut import_left = None;
    if let Some(params) = &body.kv_transfer_params {
        let handle = handles::find(&params.handle).filter(|handle| {
            handle.prompt_sha8 == prompt_sha8 && handle.generated >= body.resume_from
        });
        let Some(handle) = handle else {
            return Err(Box::new(error(409, "the handle is unknown or of another prompt")));
        };
        import_left = handle.prefill_left;
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
        import_left,
        sampling: body.sampling,
    })
}

impl Reader {
    fn new(engine: Arc<Engine>, req: Arc<Request>, progress: watch::Receiver<Progress>) -> Self {
        let mislabel = engine.faults.take(|f| &mut f.mislabel);
        let other = lock(&engine.sim).journal.other_than(&req.id);
        let label = match other {
            _ if !mislabel => req.id.clone(),
            Some(other) => other,
            None => format!("other-{}", req.id),
        };
        Self { engine, req, progress, label }
    }

    /// Streams the answer from a token on.
    fn stream(self, from: u64) -> Reply {
        let (tx, mut reply) = stream("text/event-stream");
        self.label_reply(&mut reply);
        let faults = self.take_faults();
        tokio::spawn(self.send_events(from, faults, tx));
        reply
    }

    /// Waits for the whole answer.
    async fn whole(mut self) -> Result<Reply, CutError> {
        let ended = self.progress.wait_for(|p| p.end.is_some()).await;
        let progress = *ended.map_err(|_| CutError::Fault)?;
        if progress.end == Some(End::Lost) {
            return Err(CutError::Fault);
        }
        let tokens = self.req.resume_from..progress.generated;
        let text: String = tokens.map(|i| token(i, &self.req.prompt_sha8)).collect();
        let mut body = self.event(&text, finish_reason(&progress));
        body["usage"] = self.usage(&progress);
        let mut reply = json(200, &body);
        self.label_reply(&mut reply);
        Ok(reply)
    }

    async fn send_events(mut self, from: u64, faults: AnswerFaults, tx: StreamSender) {
        let middle = self.req.max_tokens / 2;
        let mut next = from;
        loop {
            let progress = *self.progress.borrow_and_update();
            while next < progress.generated && faults.cut_after != Some(next - from) {
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
            if faults.cut_after == Some(next - from) {
                return cut(&tx).await;
            }
            match progress.end {
                Some(End::Lost) => return cut(&tx).await,
                Some(end) => return self.send_end(end, &progress, &tx).await,
                None => {}
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() { return cut(&tx).await },
                () = tx.closed() => return,
            }
        }
    }

    async fn send_end(&self, end: End, progress: &Progress, tx: &StreamSender) {
        if end != End::Finished {
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
            "id": self.label,
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

    fn label_reply(&self, reply: &mut Reply) {
        if let Ok(value) = self.label.parse() {
            reply.headers_mut().insert("x-request-id", value);
        }
    }

    fn take_faults(&self) -> AnswerFaults {
        let faults = &self.engine.faults;
        let cut_after = faults.get().cut_after_tokens;
        AnswerFaults {
            truncate: faults.take(|f| &mut f.truncate),
            duplicate: faults.take(|f| &mut f.duplicate_events),
            cut_after: faults.take(|f| &mut f.cut_streams).then_some(cut_after),
        }
    }
}

fn finish_reason(progress: &Progress) -> Option<&'static str> {
    match progress.end? {
        End::Finished => Some("length"),
        End::Cancelled => Some("abort"),
        End::Exported => Some("export"),
        End::Lost => None,
    }
}
