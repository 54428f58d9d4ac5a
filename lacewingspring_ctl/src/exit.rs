//! Exit codes and their assignment to errors.

use std::process::ExitCode;

use lacewingspring_core::error::{ErrorKind, RunState};

use crate::{
    api::Problem,
    client::Effect,
    error::{Error, LostResponse},
};

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The declared state differs, or is not in force everywhere.
    Differs = 1,
    /// The command line, a file or a field of the request is invalid, or input or output failed.
    Usage = 2,
    /// A constraint or a size limit rejects the request.
    Refused = 3,
    /// The request conflicts with an earlier change or with an earlier request of its key.
    Conflict = 4,
    /// The credential is missing, unknown or lacks the permission.
    NotAuthorised = 5,
    /// Nothing has this name.
    NotFound = 6,
    /// Nothing was run; a later attempt may succeed.
    Unavailable = 7,
    /// The request may have run.
    MayHaveRun = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<&Error> for Exit {
    fn from(err: &Error) -> Self {
        match err {
            Error::NoAddress | Error::Token { .. } | Error::File(_) | Error::Io(_) => Self::Usage,
            Error::InvalidRequest(_) => Self::Usage,
            Error::Unreachable { .. } => Self::Unavailable,
            Error::Refused { problem, effect } => from_problem(problem, *effect),
            Error::LostResponse(LostResponse { effect, .. }) => from_lost_response(*effect),
            Error::Stream(_) | Error::OutcomeNotPrinted(_) => Self::MayHaveRun,
            Error::KeyMismatch { .. } => Self::MayHaveRun,
            Error::Service { status } => from_service(*status),
            // The change was accepted; it is only unknown whether it is in force everywhere.
            Error::WaitFailed { .. } => Self::Differs,
        }
    }
}

const fn from_lost_response(effect: Effect) -> Exit {
    match effect {
        Effect::Read => Exit::Unavailable,
        Effect::Write => Exit::MayHaveRun,
    }
}

fn from_problem(problem: &Problem, effect: Effect) -> Exit {
    if effect == Effect::Write && problem.run_state() != RunState::NotRun {
        return Exit::MayHaveRun;
    }
    match problem.kind {
        Some(kind) => from_kind(kind),
        None => from_status(problem.status),
    }
}

/// Returns the exit code of an error kind for a request that did not run.
const fn from_kind(kind: ErrorKind) -> Exit {
    match kind {
        // Retrying a voided key never succeeds; the request needs a new key.
        ErrorKind::Voided => Exit::Conflict,
        _ => from_status(kind.answer().status),
    }
}

/// Returns the exit code of a status that a plain service itself sent. Such a status never proves
/// that nothing ran, so it is never `Unavailable`.
const fn from_service(status: u16) -> Exit {
    match status {
        408 => Exit::MayHaveRun,
        429 => Exit::Refused,
        400..=499 => from_status(status),
        _ => Exit::MayHaveRun,
    }
}

const fn from_status(status: u16) -> Exit {
    match status {
        401 | 403 => Exit::NotAuthorised,
        404 => Exit::NotFound,
        408 | 429 => Exit::Unavailable,
        409 | 412 => Exit::Conflict,
        413 | 422 | 431 => Exit::Refused,
        400..=499 => Exit::Usage,
        _ => Exit::Unavailable,
    }
}
