//! Log lines on standard error: a fixed prefix for each part, a short sentence, key-value fields.

use std::{
    fmt::{self, Write},
    io,
};

use fern::{Dispatch, InitError};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

use crate::{
    clock,
    settings::{LogFormat, LogLevel, LogSettings},
};

/// Starts logging.
///
/// # Errors
///
/// Fails when a logger was started before.
pub fn start(cfg: &LogSettings) -> Result<(), InitError> {
    let format = cfg.format;
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("lacewingspring", level(cfg.level))
        .format(move |out, message, record| match format {
            LogFormat::Plain => out.finish(format_args!("{}", plain(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json(message, record))),
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

/// Part of the program that a record came from: the module below the crate.
fn part<'a>(record: &'a Record<'_>) -> &'a str {
    let target = record.target();
    let below = target.strip_prefix("lacewingspring::").unwrap_or(target);
    below.split("::").next().unwrap_or(below)
}

fn plain(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = String::new();
    let at = clock::wall().as_millis();
    let _ = write!(line, "{at} {:5} {}: {message}", record.level(), part(record));
    let _ = record.key_values().visit(&mut PlainFields(&mut line));
    line
}

fn json(message: &fmt::Arguments<'_>, record: &Record<'_>) -> Json {
    let mut fields = Map::new();
    fields.insert("at_ms".into(), Json::from(clock::wall().as_millis() as u64));
    fields.insert("level".into(), Json::from(record.level().as_str()));
    fields.insert("part".into(), Json::from(part(record)));
    fields.insert("message".into(), Json::from(message.to_string()));
    let _ = record.key_values().visit(&mut JsonFields(&mut fields));
    Json::Object(fields)
}

struct PlainFields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PlainFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

struct JsonFields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), typed(&value));
        Ok(())
    }
}

/// Returns a field as JSON; what is neither a number nor a truth value is text.
fn typed(value: &Value<'_>) -> Json {
    let number = value.to_u64().map(Json::from).or_else(|| value.to_f64().map(Json::from));
    let typed = number.or_else(|| value.to_bool().map(Json::from));
    typed.unwrap_or_else(|| Json::from(value.to_string()))
}
