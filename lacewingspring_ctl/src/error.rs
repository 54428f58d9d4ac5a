//! Everything that can end a command early.

use std::{io, net::SocketAddr, path::PathBuf};

use lacewingspring_core::error::RunState;
use thiserror::Error;

use crate::{api::Problem, client::Effect, files::FileError};

/// Source of an error of another library.
pub type Source = Box<dyn std::error::Error + Send + Sync>;

/// Note on a request whose end is open.
const MAY_HAVE_RUN: &str = "\n  it may have run";

/// Ends a command.
#[derive(Debug, Error)]
pub enum Error {
    /// No address was given.
    #[error("no address: give --address IP:PORT or set LACEWINGSPRING_ADDRESSES")]
    NoAddress,
    /// The token file cannot be read.
    #[error("cannot read the token file {path}: {source}")]
    Token {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file of resources or a prompt cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// A header or path cannot be made from the arguments.
    #[error("an argument does not fit into a request: {0}")]
    Request(#[from] http::Error),
    /// No address took a connection; nothing was sent.
    #[error("cannot connect to {address}: {source}")]
    Unreachable {
        /// Last address that was tried.
        address: SocketAddr,
        /// What the connection reported.
        source: Source,
    },
    /// The server answered with a problem.
    #[error("{problem}{}", run_note(*effect, problem.said_run()))]
    Refused {
        /// The server's problem details.
        problem: Box<Problem>,
        /// What the request would have done.
        effect: Effect,
    },
    /// The request was sent and no usable answer came back.
    #[error(transparent)]
    Lost(#[from] Lost),
    /// The answer stream ended before its end.
    #[error("the answer is not whole: {0}{note}", note = MAY_HAVE_RUN)]
    Stream(#[from] StreamError),
    /// The answer is to another request.
    #[error("the answer is to the key {answered:?}, not to {asked:?}")]
    OtherKey {
        /// Key of the request.
        asked: String,
        /// Key of the answer.
        answered: String,
    },
    /// A plain service answered with an error of its own.
    #[error("the service answered with status {status}")]
    Service {
        /// HTTP status code.
        status: u16,
    },
    /// A change was made and the wait for it failed.
    #[error("the change is accepted as generation {generation}; the wait for it failed: {source}")]
    WaitFailed {
        /// Generation of the change.
        generation: u64,
        /// How the wait failed.
        source: Box<Error>,
    },
    /// The request ran and its outcome cannot be printed.
    #[error("the request ran; its outcome cannot be printed: {0}")]
    Unprinted(io::Error),
    /// Standard output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

/// A request that was sent and whose answer was lost.
#[derive(Debug, Error)]
#[error("{address}: {reason}{}", run_note(*effect, Some(RunState::MayHaveRun)))]
pub struct Lost {
    /// Address that the request was sent to.
    pub address: SocketAddr,
    /// What the request would have done.
    pub effect: Effect,
    /// How the answer was lost.
    pub reason: LostReason,
}

/// How an answer was lost.
#[derive(Debug, Error)]
pub enum LostReason {
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(Source),
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Why an answer stream is not whole.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The stream ended without its end mark.
    #[error("the stream ended without [DONE]")]
    EndMissing,
    /// The connection broke within the stream.
    #[error("the connection broke: {0}")]
    Broken(Source),
    /// Nothing arrived for the whole of the timeout.
    #[error("nothing more arrived in time")]
    TimedOut,
    /// A message of the stream cannot be read.
    #[error("a message cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The answer is not an event stream.
    #[error("the answer is not an event stream but {content_type:?}")]
    NotAStream {
        /// Content type of the answer.
        content_type: String,
    },
    /// A line of the stream is longer than the limit.
    #[error("a line of the stream is too long")]
    LineTooLong,
    /// The answer arrived and cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

/// Returns the line that says what became of a request; reads have none.
const fn run_note(effect: Effect, run: Option<RunState>) -> &'static str {
    match (effect, run) {
        (Effect::Read, _) | (_, None) => "",
        (Effect::Write, Some(RunState::NotRun)) => "\n  nothing was run",
        (Effect::Write, Some(RunState::Ran)) => "\n  it ran",
        (Effect::Write, Some(RunState::MayHaveRun)) => MAY_HAVE_RUN,
    }
}
