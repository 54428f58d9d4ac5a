//! `describe`: shows the declared and the reported state of a resource and why they differ.

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

/// Indentation of the lines of a section, in columns.
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
        write_differences(f, &self.status.conditions)?;
        write!(f, "\nEvents:\n{}", events(&self.events).indent(INDENT))
    }
}

/// Returns events as a table, in their order.
pub fn events(events: &[Event]) -> Table {
    let mut table = Table::new(&["AT", "REASON", "MESSAGE"]);
    for Event { at, reason, message } in events {
        table.row([at, reason, message]);
    }
    table
}

fn declared(detail: &ResourceDetail) -> Table {
    let mut table = Table::without_header().indent(INDENT);
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

fn write_differences(f: &mut Formatter<'_>, conditions: &[Condition]) -> fmt::Result {
    if conditions.is_empty() {
        return writeln!(f, "  The fleet has not reported a state yet.");
    }
    let mut differ =
        conditions.iter().filter(|condition| condition.status != ConditionStatus::True).peekable();
    if differ.peek().is_none() {
        return writeln!(f, "  They do not differ.");
    }
    for Condition { kind, status, reason, message } in differ {
        let why = if message.is_empty() { reason } else { message };
        writeln!(f, "  {kind} is {status}: {why}")?;
    }
    Ok(())
}
