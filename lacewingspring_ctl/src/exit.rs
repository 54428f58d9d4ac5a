//! Exit codes and the table from error to exit code.

use std::process::ExitCode;

use lacewingspring_core::error::{ErrorKind, RunState};

use crate::{
    api::Problem,
    client::Effect,
    error::{Error, Lost},
};

/// How the tool ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command did what it says.
    Done = 0,
    /// The declared state differs, or is not in force everywhere.
    Differs = 1,
    /// The command line, a file or an answer field cannot be used.
    Usage = 2,
    /// A constraint or a limit of size forbids it.
    Refused = 3,
    /// Another change or another request came first.
    Conflict = 4,
    /// The credential is absent, unknown or not allowed to do this.
    NotAuthorised = 5,
    /// There is nothing by this name.
    NotFound = 6,
    /// Nothing was run and a later try may succeed.
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
            Error::NoAddress | Error::Token { .. } | Error::File(_) | Error::Output(_) => {
                Self::Usage
            }
            Error::Request(_) => Self::Usage,
            Error::Unreachable { .. } => Self::Unavailable,
            Error::Refused { problem, effect } => from_problem(problem, *effect),
            Error::Lost(Lost { effect, .. }) => from_lost(*effect),
            Error::Stream(_) | Error::Unprinted(_) => Self::MayHaveRun,
            Error::OtherKey { .. } => Self::MayHaveRun,
            Error::Service { status } => from_service(*status),
            // The change is made, so the failure of the wait says nothing about it.
            Error::WaitFailed { .. } => Self::Differs,
        }
    }
}

const fn from_lost(effect: Effect) -> Exit {
    match effect {
        Effect::Read => Exit::Unavailable,
        Effect::Write => Exit::MayHaveRun,
    }
}

fn from_problem(problem: &Problem, effect: Effect) -> Exit {
    if effect == Effect::Write && problem.run() != RunState::NotRun {
        return Exit::MayHaveRun;
    }
    match problem.kind {
        Some(kind) => from_kind(kind),
        None => from_status(problem.status),
    }
}

/// Returns the exit code of a kind whose request did not run.
const fn from_kind(kind: ErrorKind) -> Exit {
    match kind {
        // A voided key stays taken; only another key can run.
        ErrorKind::Voided => Exit::Conflict,
        _ => from_status(kind.answer().status),
    }
}

/// Returns the exit code of a plain service's own status, which never proves that nothing ran.
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
