//! Reads the streamed responses of model services.

use std::{
    fmt::{self, Formatter},
    io::{self, Write},
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use lacewingspring_core::error::RunState;
use serde::Serialize;
use tokio::time::timeout;

use crate::{
    api::{CompletionChunk, Problem},
    cli::Format,
    client::{Call, Client, Effect},
    error::{Error, StreamError},
    exit::Exit,
    output::{self, Render},
    sse::{SseEvent, SseParser},
};

/// Data of the event that ends a complete stream.
const END_MARKER: &str = "[DONE]";

/// Name of the event that ends a stream with an error.
const ERROR_EVENT: &str = "error";

/// The output of a completed request.
#[derive(Debug, Default, Serialize)]
struct CompletionOutput {
    /// Idempotency key of the request.
    key: String,
    /// Generated text.
    text: String,
    /// Why text generation ended; `None` if the server does not say.
    finish_reason: Option<String>,
}

impl Render for CompletionOutput {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // The text itself was printed as it arrived.
        if self.text.ends_with('\n') { Ok(()) } else { writeln!(f) }
    }
}

/// Sends the request and prints the text as it arrives; in JSON format, only once it is complete.
pub async fn run(client: &Client, format: Format, call: Call, key: String) -> Result<Exit, Error> {
    let response = client.send(call).await?;
    response.check_key(&key)?;
    if !response.content_type().starts_with("text/event-stream") {
        let content_type = response.content_type().to_owned();
        return Err(StreamError::NotEventStream { content_type }.into());
    }
    let idle_timeout = response.timeout;
    let body = response.http.into_body();
    let mut stream = CompletionStream { body, parser: SseParser::default(), idle_timeout };
    let output = stream.read(format, key).await?;
    output::print_outcome(format, &output)?;
    Ok(Exit::Done)
}

struct CompletionStream {
    body: Incoming,
    parser: SseParser,
    idle_timeout: Duration,
}

impl CompletionStream {
    /// Reads up to the end marker; a stream without one is an error.
    async fn read(&mut self, format: Format, key: String) -> Result<CompletionOutput, Error> {
        let mut output = CompletionOutput { key, ..CompletionOutput::default() };
        while let Some(events) = self.next_events().await? {
            for event in events {
                if event.data == END_MARKER {
                    return Ok(output);
                }
                let start = output.text.len();
                append_event(&mut output, &event)?;
                if format == Format::Table {
                    write_text(&output.text[start..])?;
                }
            }
        }
        Err(StreamError::EndMarkerMissing.into())
    }

    /// Reads the next frame and returns the events that it completes; `None` at the end of the
    /// body.
    async fn next_events(&mut self) -> Result<Option<Vec<SseEvent>>, StreamError> {
        let frame = timeout(self.idle_timeout, self.body.frame()).await;
        let frame = frame.map_err(|_| StreamError::TimedOut)?;
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|err| StreamError::ConnectionLost(err.into()))?;
        let data = frame.into_data().unwrap_or_default();
        self.parser.feed(&data).map(Some)
    }
}

fn append_event(output: &mut CompletionOutput, event: &SseEvent) -> Result<(), Error> {
    if event.name == ERROR_EVENT {
        let problem = serde_json::from_str(&event.data).map_err(StreamError::from)?;
        return Err(refused(problem));
    }
    let chunk: CompletionChunk = serde_json::from_str(&event.data).map_err(StreamError::from)?;
    if let Some(problem) = chunk.error {
        return Err(refused(problem));
    }
    for choice in chunk.choices {
        output.text.push_str(&choice.text);
        output.finish_reason = choice.finish_reason.or(output.finish_reason.take());
    }
    Ok(())
}

/// Returns the error of a problem within a stream. Unless the server says otherwise, the request
/// may have run.
fn refused(mut problem: Problem) -> Error {
    problem.run.get_or_insert(RunState::MayHaveRun);
    Error::Refused { problem: Box::new(problem), effect: Effect::Write }
}

fn write_text(text: &str) -> Result<(), StreamError> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()?;
    Ok(())
}
