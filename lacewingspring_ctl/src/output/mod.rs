//! Prints responses and errors as text or JSON.

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

/// A response that can be printed as human-readable text.
pub trait Render: Serialize {
    /// Writes the text; the last line ends with a line feed as well.
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result;
}

/// Prints a response to standard output.
pub fn print<T>(format: Format, response: &T) -> Result<(), Error>
where
    T: Render,
{
    Ok(write(format, response)?)
}

/// Prints the outcome of a request that ran. A failure to print has an error of its own, so that
/// the exit code still says that the request may have run.
pub fn print_outcome<T>(format: Format, outcome: &T) -> Result<(), Error>
where
    T: Render,
{
    write(format, outcome).map_err(Error::OutcomeNotPrinted)
}

fn write<T>(format: Format, response: &T) -> io::Result<()>
where
    T: Render,
{
    let mut out = io::stdout().lock();
    match format {
        Format::Table => write!(out, "{}", Rendered(response))?,
        Format::Json => json::write(&mut out, response)?,
    }
    out.flush()
}

/// Prints an error to standard error; in JSON format, problem details of the server are printed as
/// JSON.
pub fn print_error(format: Format, err: &Error) {
    let mut out = io::stderr().lock();
    let written = match (format, err) {
        (Format::Json, Error::Refused { problem, .. }) => json::write(&mut out, problem),
        _ => writeln!(out, "lacewingspring_ctl: {err}"),
    };
    // A failure to write to standard error cannot be reported; the exit code still shows the error.
    drop(written);
}

struct Rendered<'a, T>(&'a T);

impl<T> Display for Rendered<'_, T>
where
    T: Render,
{
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.render(f)
    }
}
