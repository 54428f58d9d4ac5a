//! Streamed answers of model services.

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

/// Data that ends a whole stream.
const END: &str = "[DONE]";

/// Name of an event that ends a stream with a problem.
const ERROR_EVENT: &str = "error";

/// A whole answer.
#[derive(Debug, Default, Serialize)]
struct CompletionAnswer {
    /// Idempotency key of the request.
    key: String,
    /// Text of the answer.
    text: String,
    /// Why the answer ends; none when the server does not say.
    finish_reason: Option<String>,
}

impl Render for CompletionAnswer {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // The text was printed as it arrived.
        if self.text.ends_with('\n') { Ok(()) } else { writeln!(f) }
    }
}

/// Sends the request and prints the answer as it arrives; in JSON, once it is whole.
pub async fn run(client: &Client, format: Format, call: Call, key: String) -> Result<Exit, Error> {
    let answer = client.send(call).await?;
    answer.check_key(&key)?;
    if !answer.content_type().starts_with("text/event-stream") {
        let content_type = answer.content_type().to_owned();
        return Err(StreamError::NotAStream { content_type }.into());
    }
    let idle = answer.timeout;
    let body = answer.response.into_body();
    let mut stream = Stream { body, parser: SseParser::default(), idle };
    let whole = stream.read(format, key).await?;
    output::print_outcome(format, &whole)?;
    Ok(Exit::Done)
}

struct Stream {
    body: Incoming,
    parser: SseParser,
    idle: Duration,
}

impl Stream {
    /// Reads to the end mark; a stream without one is an error.
    async fn read(&mut self, format: Format, key: String) -> Result<CompletionAnswer, Error> {
        let mut answer = CompletionAnswer { key, ..CompletionAnswer::default() };
        while let Some(events) = self.next().await? {
            for event in events {
                if event.data == END {
                    return Ok(answer);
                }
                let start = answer.text.len();
                take(&mut answer, &event)?;
                if format == Format::Table {
                    write_piece(&answer.text[start..])?;
                }
            }
        }
        Err(StreamError::EndMissing.into())
    }

    /// Returns the next events; none at the end of the body.
    async fn next(&mut self) -> Result<Option<Vec<SseEvent>>, StreamError> {
        let frame = timeout(self.idle, self.body.frame()).await;
        let frame = frame.map_err(|_| StreamError::TimedOut)?;
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|err| StreamError::Broken(err.into()))?;
        let data = frame.into_data().unwrap_or_default();
        self.parser.feed(&data).map(Some)
    }
}

fn take(answer: &mut CompletionAnswer, event: &SseEvent) -> Result<(), Error> {
    if event.name == ERROR_EVENT {
        let problem = serde_json::from_str(&event.data).map_err(StreamError::from)?;
        return Err(refused(problem));
    }
    let chunk: CompletionChunk = serde_json::from_str(&event.data).map_err(StreamError::from)?;
    if let Some(problem) = chunk.error {
        return Err(refused(problem));
    }
    for choice in chunk.choices {
        answer.text.push_str(&choice.text);
        answer.finish_reason = choice.finish_reason.or(answer.finish_reason.take());
    }
    Ok(())
}

/// Returns the error of a problem within a stream, whose request ran unless the server denies it.
fn refused(mut problem: Problem) -> Error {
    problem.run.get_or_insert(RunState::MayHaveRun);
    Error::Refused { problem: Box::new(problem), effect: Effect::Write }
}

fn write_piece(text: &str) -> Result<(), StreamError> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()?;
    Ok(())
}
