//! Log output: one JSON object per line on standard output, written by a thread of its own.
//!
//! Lines pass through a bounded queue. If it is full they are dropped and counted, so that a slow
//! reader of the output never blocks the code that logs.

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

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 2_048;

/// Time for which lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Size, in bytes, from which on no further line is added to a write.
const BATCH_BYTES: usize = 64 * 1024;

/// Number of lines that were dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that were dropped because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails if the thread can't be started or a logger is set already.
pub fn start(level: LevelFilter) -> Result<(), InitError> {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".into()).spawn(move || write(&rx, io::stdout()));
    writer.map_err(InitError::Io)?;
    let queue: Box<dyn Log> = Box::new(QueueLogger { tx });
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("lacewingspring_proxy", level)
        .level_for("lacewingspring_platform", level)
        .chain(queue)
        .apply()?;
    Ok(())
}

/// Logger that puts lines into the queue.
#[derive(Debug)]
struct QueueLogger {
    tx: SyncSender<String>,
}

impl Log for QueueLogger {
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

/// Writes lines from the queue in batches until the queue is closed, and reports dropped lines.
fn write<W>(rx: &Receiver<String>, mut out: W)
where
    W: Write,
{
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        thread::sleep(BATCH_INTERVAL);
        let mut buf = first;
        while buf.len() < BATCH_BYTES
            && let Ok(next) = rx.try_recv()
        {
            buf.push_str(&next);
        }
        let dropped = dropped();
        if dropped > reported {
            let at_ms = clock::wall().as_millis();
            let _ = writeln!(
                buf,
                r#"{{"at_ms":{at_ms},"level":"WARN","part":"logging","message":"Log lines were dropped because the queue was full.","dropped":{dropped}}}"#
            );
            reported = dropped;
        }
        // A write error can't be reported: this is the only log output.
        let _ = out.write_all(buf.as_bytes());
        let _ = out.flush();
    }
}

/// Formats a record as one line.
fn line(record: &Record<'_>) -> String {
    let mut line = to_json(record.args(), record).to_string();
    line.push('\n');
    line
}

/// Converts a record to a JSON object: time in Unix milliseconds, level, part, message and fields.
pub fn to_json(message: &fmt::Arguments<'_>, record: &Record<'_>) -> Json {
    let mut fields = Map::new();
    fields.insert("at_ms".into(), Json::from(clock::wall().as_millis() as u64));
    fields.insert("level".into(), Json::from(record.level().as_str()));
    fields.insert("part".into(), Json::from(part(record)));
    fields.insert("message".into(), Json::from(message.to_string()));
    // The visitor accepts every value and returns no error.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    Json::Object(fields)
}

/// Returns the part of the program that logged a record: the name of the module below the crate.
pub fn part<'a>(record: &'a Record<'_>) -> &'a str {
    let target = record.target();
    let path = target.split_once("::").map_or(target, |(_, path)| path);
    path.split("::").next().unwrap_or(path)
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), to_json_value(&value));
        Ok(())
    }
}

/// Converts a field to JSON: a number or a boolean if it is one, else a string.
fn to_json_value(value: &Value<'_>) -> Json {
    let number = value.to_u64().map(Json::from).or_else(|| value.to_f64().map(Json::from));
    let number_or_bool = number.or_else(|| value.to_bool().map(Json::from));
    number_or_bool.unwrap_or_else(|| Json::from(value.to_string()))
}
