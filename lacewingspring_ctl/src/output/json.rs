//! JSON output.

use std::io::{self, Write};

use serde::Serialize;

/// Writes a value as indented JSON, followed by a line feed.
pub fn write<T, W>(out: &mut W, value: &T) -> io::Result<()>
where
    T: Serialize,
    W: Write,
{
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}
