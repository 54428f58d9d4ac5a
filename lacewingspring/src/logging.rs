//! Log lines on standard error: time, level, part, a short sentence and key-value fields.

use std::{
    fmt::{self, Write},
    io,
};

use fern::{Dispatch, InitError};
use lacewingspring_proxy::logging;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::{
    clock,
    settings::{LogFormat, LogLevel, LogSettings},
};

/// Installs the global logger.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn start(cfg: &LogSettings) -> Result<(), InitError> {
    let format = cfg.format;
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("lacewingspring", level(cfg.level))
        .format(move |out, message, record| match format {
            LogFormat::Plain => out.finish(format_args!("{}", to_plain(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", logging::to_json(message, record))),
        })
        .chain(io::stderr())
        .apply()?;
    Ok(())
}

fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

fn to_plain(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = String::new();
    let at = clock::wall().as_millis();
    let _ = write!(line, "{at} {:5} {}: {message}", record.level(), logging::part(record));
    let _ = record.key_values().visit(&mut PlainFields(&mut line));
    line
}

struct PlainFields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PlainFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}
