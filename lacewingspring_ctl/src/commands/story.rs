//! `explain ID --log FILE`: tells a request's story from the logs of instances.

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

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Time before the first line of a request from which lines of its instance are shown too.
const CONTEXT_MS: u64 = 2_000;

/// Fields that stand in front of a line.
const FRONT: [&str; 5] = ["at_ms", "level", "part", "message", "id"];

/// What logs tell of a request.
#[derive(Debug, Default, Serialize)]
pub struct Story {
    id: String,
    lines: Vec<Line>,
    /// Lines that could not be read.
    unreadable: usize,
}

/// One line of a log.
#[derive(Clone, Debug, Serialize)]
struct Line {
    /// Milliseconds since the Unix epoch.
    at_ms: u64,
    /// Whether it tells of the request itself, else of its instance at the time.
    is_own: bool,
    part: String,
    message: String,
    fields: Map<String, Value>,
}

/// Runs the command.
pub fn run<P>(format: Format, id: &str, logs: &[P]) -> Result<Exit, Error>
where
    P: AsRef<Path>,
{
    let mut story = Story { id: id.to_owned(), ..Story::default() };
    for path in logs {
        let path = path.as_ref();
        let lines: Box<dyn BufRead> = if path == Path::new(STANDARD_INPUT) {
            Box::new(io::stdin().lock())
        } else {
            Box::new(BufReader::new(File::open(path)?))
        };
        story.read(lines)?;
    }
    story.lines.sort_by_key(|line| line.at_ms);
    let exit = if story.lines.is_empty() { Exit::NotFound } else { Exit::Done };
    output::print(format, &story)?;
    Ok(exit)
}

impl Story {
    /// Takes the lines of one instance's log.
    fn read<R>(&mut self, log: R) -> io::Result<()>
    where
        R: BufRead,
    {
        let mut lines = Vec::new();
        for text in log.lines() {
            match Line::parse(&text?, &self.id) {
                Some(line) => lines.extend(line),
                None => self.unreadable += 1,
            }
        }
        let own = || lines.iter().filter(|line| line.is_own).map(|line| line.at_ms);
        let (Some(first), Some(last)) = (own().min(), own().max()) else { return Ok(()) };
        let told = first.saturating_sub(CONTEXT_MS)..=last;
        self.lines.extend(lines.into_iter().filter(|line| told.contains(&line.at_ms)));
        Ok(())
    }
}

impl Line {
    /// Reads a line; the inner value is none when it belongs to another request.
    fn parse(text: &str, id: &str) -> Option<Option<Self>> {
        let mut fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let at_ms = fields.get("at_ms")?.as_u64()?;
        let own = fields.get("id").and_then(Value::as_str).map(|own| own == id);
        if own == Some(false) {
            return Some(None);
        }
        let take = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let part = take("part")?;
        let message = take("message")?;
        fields.retain(|name, _| !FRONT.contains(&name.as_str()));
        Some(Some(Self { at_ms, is_own: own.is_some(), part, message, fields }))
    }
}

impl Render for Story {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.iter().find(|line| line.is_own) else {
            return writeln!(f, "no line tells of request {}", self.id);
        };
        writeln!(f, "request {}, milliseconds since its first line\n", self.id)?;
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
            writeln!(f, "\n{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}
