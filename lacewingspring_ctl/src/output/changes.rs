//! Changes of resources as text.

use std::fmt::{self, Formatter};

use crate::{
    api::{Action, FieldDiff, ResourceDiff, TransactionResult},
    output::{Render, table::Table, value::short},
};

/// Spaces before the fields of a resource.
const FIELD_INDENT: usize = 4;

impl Render for TransactionResult {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for diff in &self.diff {
            writeln!(f, "{} {}", mark(diff.action), diff.resource)?;
            write!(f, "{}", fields(diff))?;
        }
        writeln!(f, "{}, generation {}", counts(&self.diff), self.generation)
    }
}

const fn mark(action: Action) -> char {
    match action {
        Action::Create => '+',
        Action::Change => '~',
        Action::Delete => '-',
        Action::None => '=',
    }
}

fn fields(diff: &ResourceDiff) -> Table {
    let mut table = Table::untitled().indent(FIELD_INDENT);
    for FieldDiff { path, before, after } in &diff.fields {
        let (before, after) = (short(before), short(after));
        match diff.action {
            Action::Create => table.row([path, &after]),
            Action::Delete => table.row([path, &before]),
            Action::Change | Action::None => table.row([path, &before, &"->", &after]),
        }
    }
    table
}

fn counts(diffs: &[ResourceDiff]) -> String {
    let count = |action| diffs.iter().filter(|diff| diff.action == action).count();
    format!(
        "create {}, change {}, delete {}, same {}",
        count(Action::Create),
        count(Action::Change),
        count(Action::Delete),
        count(Action::None),
    )
}
