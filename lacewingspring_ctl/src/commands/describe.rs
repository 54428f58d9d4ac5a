//! `describe`: shows declared state, reported state and why they differ.

use std::fmt::{self, Formatter};

use crate::{
    api::{Condition, ConditionStatus, Event, ResourceDetail},
    cli::{Format, ResourceArgs},
    client::Client,
    commands::get,
    error::Error,
    exit::Exit,
    output::{
        self, Render,
        table::Table,
        value::{Leaf, leaves},
    },
};

/// Spaces before the lines of a section.
const INDENT: usize = 2;

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: &ResourceArgs) -> Result<Exit, Error> {
    let detail = get::fetch(client, args.kind.into(), &args.name).await?;
    output::print(format, &detail)?;
    Ok(Exit::Done)
}

impl Render for ResourceDetail {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, generation {}", self.resource.id(), self.generation)?;
        write!(f, "\nDeclared:\n{}", declared(self))?;
        write!(f, "\nReported:\n{}", reported(&self.status.conditions))?;
        writeln!(f, "\nWhy they differ:")?;
        differences(f, &self.status.conditions)?;
        write!(f, "\nEvents:\n{}", events(&self.events).indent(INDENT))
    }
}

/// Returns events as a table, oldest first.
pub fn events(events: &[Event]) -> Table {
    let mut table = Table::new(&["AT", "REASON", "MESSAGE"]);
    for Event { at, reason, message } in events {
        table.row([at, reason, message]);
    }
    table
}

fn declared(detail: &ResourceDetail) -> Table {
    let mut table = Table::untitled().indent(INDENT);
    let declared = serde_json::to_value(&detail.resource).unwrap_or_default();
    for Leaf { path, text } in leaves(&declared["spec"]) {
        table.row([&path, &text]);
    }
    table
}

fn reported(conditions: &[Condition]) -> Table {
    let mut table = Table::new(&["CONDITION", "STATUS", "REASON"]).indent(INDENT);
    for Condition { kind, status, reason, .. } in conditions {
        table.row([kind, status, reason]);
    }
    table
}

fn differences(f: &mut Formatter<'_>, conditions: &[Condition]) -> fmt::Result {
    if conditions.is_empty() {
        return writeln!(f, "  The fleet reports nothing about it yet.");
    }
    let mut differ = conditions.iter().filter(|it| it.status != ConditionStatus::True).peekable();
    if differ.peek().is_none() {
        return writeln!(f, "  They do not.");
    }
    for Condition { kind, status, reason, message } in differ {
        let why = if message.is_empty() { reason } else { message };
        writeln!(f, "  {kind} is {status}: {why}")?;
    }
    Ok(())
}
