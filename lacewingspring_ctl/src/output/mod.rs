//! Output of answers and errors.

use std::{
    fmt::{self, Display, Formatter},
    io::{self, Write},
};

use serde::Serialize;

use crate::{cli::Format, error::Error};

pub mod changes;
pub mod json;
pub mod table;
pub mod time;
pub mod value;

/// An answer that can be shown as text for people.
pub trait Render: Serialize {
    /// Writes the text, each line with its line feed.
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result;
}

/// Prints an answer to standard output.
pub fn print<T>(format: Format, answer: &T) -> Result<(), Error>
where
    T: Render,
{
    Ok(write(format, answer)?)
}

/// Prints the outcome of a request that ran, which a failure to print must not hide.
pub fn print_outcome<T>(format: Format, outcome: &T) -> Result<(), Error>
where
    T: Render,
{
    write(format, outcome).map_err(Error::Unprinted)
}

fn write<T>(format: Format, answer: &T) -> io::Result<()>
where
    T: Render,
{
    let mut out = io::stdout().lock();
    match format {
        Format::Table => write!(out, "{}", Text(answer))?,
        Format::Json => json::write(&mut out, answer)?,
    }
    out.flush()
}

/// Prints an error to standard error; a problem of the server stays JSON for scripts.
pub fn print_error(format: Format, err: &Error) {
    let mut out = io::stderr().lock();
    let written = match (format, err) {
        (Format::Json, Error::Refused { problem, .. }) => json::write(&mut out, problem),
        _ => writeln!(out, "lacewingspring_ctl: {err}"),
    };
    // There is no place left to report to; the exit code still tells.
    drop(written);
}

struct Text<'a, T>(&'a T);

impl<T> Display for Text<'_, T>
where
    T: Render,
{
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.render(f)
    }
}
