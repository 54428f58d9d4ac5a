//! Log lines on standard output: one JSON object a line, written by a thread of its own.
//!
//! Lines wait in a queue of fixed size; when it is full they are dropped and counted, so that
//! nothing that logs ever waits for a reader.

use std::{
    fmt::{self, Write as _},
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use fern::{Dispatch, InitError};
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

use crate::clock;

/// Lines that wait for the reader at most.
const QUEUE_LINES: usize = 2_048;

/// Time that lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(250);

/// Bytes that are written at once at most.
const WRITE_LEN: usize = 64 * 1024;

/// Lines that were dropped as the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped as the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails when a logger was started before.
pub fn start(level: LevelFilter) -> Result<(), InitError> {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".into()).spawn(move || write(&rx, io::stdout()));
    writer.map_err(InitError::Io)?;
    let queue: Box<dyn Log> = Box::new(Queue { tx });
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("lacewingspring_proxy", level)
        .level_for("lacewingspring_platform", level)
        .chain(queue)
        .apply()?;
    Ok(())
}

/// Puts lines into the queue.
#[derive(Debug)]
struct Queue {
    tx: SyncSender<String>,
}

impl Log for Queue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if self.tx.try_send(line(record)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes lines from the queue until it is closed.
fn write<W>(rx: &Receiver<String>, mut out: W)
where
    W: Write,
{
    let mut told = 0;
    while let Ok(first) = rx.recv() {
        thread::sleep(GATHER);
        let mut buf = first;
        while buf.len() < WRITE_LEN
            && let Ok(next) = rx.try_recv()
        {
            buf.push_str(&next);
        }
        let dropped = dropped();
        if dropped > told {
            let at_ms = clock::wall().as_millis();
            let _ = writeln!(
                buf,
                r#"{{"at_ms":{at_ms},"level":"WARN","part":"logging","message":"Lines were dropped.","dropped":{dropped}}}"#
            );
            told = dropped;
        }
        // There is no other place to tell of a failure to write.
        let _ = out.write_all(buf.as_bytes());
        let _ = out.flush();
    }
}

/// Returns a record as one line.
fn line(record: &Record<'_>) -> String {
    let mut line = to_json(record.args(), record).to_string();
    line.push('\n');
    line
}

/// Returns a record as a JSON object.
pub fn to_json(message: &fmt::Arguments<'_>, record: &Record<'_>) -> Json {
    let mut fields = Map::new();
    fields.insert("at_ms".into(), Json::from(clock::wall().as_millis() as u64));
    fields.insert("level".into(), Json::from(record.level().as_str()));
    fields.insert("part".into(), Json::from(part(record)));
    fields.insert("message".into(), Json::from(message.to_string()));
    // The visitor takes any value, so that it can't fail.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    Json::Object(fields)
}

/// Returns the part of the program that a record came from: the module below the crate.
pub fn part<'a>(record: &'a Record<'_>) -> &'a str {
    let target = record.target();
    let below = target.split_once("::").map_or(target, |(_, below)| below);
    below.split("::").next().unwrap_or(below)
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
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
