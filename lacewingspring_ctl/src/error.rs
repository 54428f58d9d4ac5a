//! Errors that end a command.

use std::{io, net::SocketAddr, path::PathBuf};

use lacewingspring_core::error::RunState;
use thiserror::Error;

use crate::{api::Problem, client::Effect, files::FileError};

/// Error of another library, boxed.
pub type Source = Box<dyn std::error::Error + Send + Sync>;

/// Note on a request whose outcome is unknown.
const MAY_HAVE_RUN: &str = "\n  the request may have run";

/// Error that ends a command; [`Exit`](crate::exit::Exit) has its exit code.
#[derive(Debug, Error)]
pub enum Error {
    /// No address was given.
    #[error("no address given: use --address IP:PORT or set LACEWINGSPRING_ADDRESSES")]
    NoAddress,
    /// The token file cannot be read.
    #[error("failed to read token file {path}: {source}")]
    Token {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A resource file, a prompt or a JSON body cannot be read or parsed.
    #[error(transparent)]
    File(#[from] FileError),
    /// An argument or the bearer token contains characters that are invalid in a header or path.
    #[error("an argument or the token cannot be sent in an HTTP request: {0}")]
    InvalidRequest(#[from] http::Error),
    /// The connection to the last address failed; nothing was sent.
    #[error("failed to connect to {address}: {source}")]
    Unreachable {
        /// Last address that was tried.
        address: SocketAddr,
        /// Error of the connection attempt.
        source: Source,
    },
    /// The server refused the request with problem details.
    #[error("{problem}{}", run_note(*effect, problem.reported_run_state()))]
    Refused {
        /// The server's problem details.
        problem: Box<Problem>,
        /// Whether the request may have changed anything.
        effect: Effect,
    },
    /// The request was sent, but no usable response was received.
    #[error(transparent)]
    LostResponse(#[from] LostResponse),
    /// The response stream is incomplete or cannot be processed.
    #[error("failed to process the response: {0}{note}", note = MAY_HAVE_RUN)]
    Stream(#[from] StreamError),
    /// The response names another idempotency key than the request.
    #[error("response is for idempotency key {received:?}, expected {sent:?}")]
    KeyMismatch {
        /// Key that was sent.
        sent: String,
        /// Key that the response names.
        received: String,
    },
    /// A plain service responded with an error status of its own.
    #[error("the service responded with status {status}")]
    Service {
        /// HTTP status code.
        status: u16,
    },
    /// A change was accepted, but waiting for it to take effect failed.
    #[error("change accepted as generation {generation}, but waiting for it failed: {source}")]
    WaitFailed {
        /// Generation of the change.
        generation: u64,
        /// Error of the wait.
        source: Box<Error>,
    },
    /// The request ran, but its outcome cannot be written to standard output.
    #[error("the request ran, but its outcome cannot be printed: {0}")]
    OutcomeNotPrinted(io::Error),
    /// Reading a log, writing to standard output or starting the runtime failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
}

/// A request that was sent but whose response was not received or cannot be read.
#[derive(Debug, Error)]
#[error("{address}: {reason}{}", run_note(*effect, Some(RunState::MayHaveRun)))]
pub struct LostResponse {
    /// Address that the request was sent to.
    pub address: SocketAddr,
    /// Whether the request may have changed anything.
    pub effect: Effect,
    /// Why there is no usable response.
    pub reason: LostReason,
}

/// Why a response is not usable.
#[derive(Debug, Error)]
pub enum LostReason {
    /// No response, or only a part of it, arrived within the timeout.
    #[error("no complete response within the timeout")]
    TimedOut,
    /// The connection failed before the response was complete, or its body exceeds the length
    /// limit.
    #[error("failed to receive the response: {0}")]
    Incomplete(Source),
    /// The body is not JSON of the expected form.
    #[error("response cannot be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Why reading a response stream or printing it failed.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The stream ended without its end marker.
    #[error("the stream ended without [DONE]")]
    EndMarkerMissing,
    /// The connection failed before the end of the stream.
    #[error("connection lost: {0}")]
    ConnectionLost(Source),
    /// No data arrived within the idle timeout.
    #[error("no data arrived within the timeout")]
    TimedOut,
    /// An event of the stream is not JSON of the expected form.
    #[error("an event cannot be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The response is not an event stream.
    #[error("expected content type text/event-stream, got {content_type:?}")]
    NotEventStream {
        /// Content type of the response.
        content_type: String,
    },
    /// A line of the stream is longer than the limit.
    #[error("a line of the stream exceeds the length limit")]
    LineTooLong,
    /// The response cannot be written to standard output.
    #[error("failed to write output: {0}")]
    Output(#[from] io::Error),
}

/// Returns the line that states whether a request ran; empty for reads and if the server does not
/// say.
const fn run_note(effect: Effect, run: Option<RunState>) -> &'static str {
    match (effect, run) {
        (Effect::Read, _) | (_, None) => "",
        (Effect::Write, Some(RunState::NotRun)) => "\n  nothing was run",
        (Effect::Write, Some(RunState::Ran)) => "\n  the request ran",
        (Effect::Write, Some(RunState::MayHaveRun)) => MAY_HAVE_RUN,
    }
}
