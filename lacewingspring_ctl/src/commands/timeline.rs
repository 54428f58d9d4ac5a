//! `explain ID --log FILE`: shows the timeline of a request from the logs of instances.

use std::{
    fmt::{self, Formatter},
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{
    cli::Format,
    error::Error,
    exit::Exit,
    output::{self, Render},
};

/// File name that selects standard input.
const STDIN: &str = "-";

/// How long before the first line of a request the context starts, in milliseconds. The context is
/// the lines of the same log that belong to no request.
const CONTEXT_BEFORE_MS: u64 = 2_000;

/// Fields that are not printed as `name=value` pairs at the end of a line.
const HEAD_FIELDS: [&str; 5] = ["at_ms", "level", "part", "message", "id"];

/// Log lines about a request, with the context from the same logs: lines that belong to no request,
/// from `CONTEXT_BEFORE_MS` before the first line of the request to its last.
#[derive(Debug, Default, Serialize)]
pub struct RequestTimeline {
    id: String,
    lines: Vec<LogLine>,
    /// Number of lines that could not be parsed.
    unreadable: usize,
}

/// One line of a log.
#[derive(Clone, Debug, Serialize)]
struct LogLine {
    /// Milliseconds since the Unix epoch.
    at_ms: u64,
    /// Whether the line is about the request; otherwise it belongs to no request and shows the
    /// state of the instance at the time.
    is_own: bool,
    /// Module that wrote the line, without the name of its crate.
    part: String,
    message: String,
    fields: Map<String, Value>,
}

/// Runs the command.
pub fn run<P>(format: Format, id: &str, logs: &[P]) -> Result<Exit, Error>
where
    P: AsRef<Path>,
{
    let mut timeline = RequestTimeline { id: id.to_owned(), ..RequestTimeline::default() };
    for path in logs {
        let path = path.as_ref();
        let lines: Box<dyn BufRead> = if path == Path::new(STDIN) {
            Box::new(io::stdin().lock())
        } else {
            Box::new(BufReader::new(File::open(path)?))
        };
        timeline.read(lines)?;
    }
    timeline.lines.sort_by_key(|line| line.at_ms);
    let exit = if timeline.lines.is_empty() { Exit::NotFound } else { Exit::Done };
    output::print(format, &timeline)?;
    Ok(exit)
}

impl RequestTimeline {
    /// Adds the lines of the request in one instance's log, and their context.
    fn read<R>(&mut self, log: R) -> io::Result<()>
    where
        R: BufRead,
    {
        let mut lines = Vec::new();
        for text in log.lines() {
            match LogLine::parse(&text?, &self.id) {
                Some(line) => lines.extend(line),
                None => self.unreadable += 1,
            }
        }
        let own = || lines.iter().filter(|line| line.is_own).map(|line| line.at_ms);
        let (Some(first), Some(last)) = (own().min(), own().max()) else { return Ok(()) };
        let shown = first.saturating_sub(CONTEXT_BEFORE_MS)..=last;
        self.lines.extend(lines.into_iter().filter(|line| shown.contains(&line.at_ms)));
        Ok(())
    }
}

impl LogLine {
    /// Parses a line: `None` if it is unreadable, `Some(None)` if it belongs to another request.
    fn parse(text: &str, id: &str) -> Option<Option<Self>> {
        let mut fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let at_ms = fields.get("at_ms")?.as_u64()?;
        let own = fields.get("id").and_then(Value::as_str).map(|own| own == id);
        if own == Some(false) {
            return Some(None);
        }
        let text_field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let part = text_field("part")?;
        let message = text_field("message")?;
        fields.retain(|name, _| !HEAD_FIELDS.contains(&name.as_str()));
        Some(Some(Self { at_ms, is_own: own.is_some(), part, message, fields }))
    }
}

impl Render for RequestTimeline {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.iter().find(|line| line.is_own) else {
            return writeln!(f, "no log line found for request {}", self.id);
        };
        writeln!(f, "request {}, times in milliseconds since its first line\n", self.id)?;
        for line in &self.lines {
            let at = line.at_ms as i64 - first.at_ms as i64;
            let mark = if line.is_own { '>' } else { ' ' };
            write!(f, "{mark} {at:>6}  {}: {}", line.part, line.message)?;
            for (name, value) in &line.fields {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "\n{} unreadable lines skipped", self.unreadable)?;
        }
        Ok(())
    }
}
