//! Text output of the result of a transaction.

use std::fmt::{self, Formatter};

use crate::{
    api::{Action, FieldDiff, ResourceDiff, TransactionResult},
    output::{Render, table::Table, value::inline_text},
};

/// Indentation of the fields of a resource, in columns.
const FIELD_INDENT: usize = 4;

impl Render for TransactionResult {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for diff in &self.diff {
            writeln!(f, "{} {}", action_symbol(diff.action), diff.resource)?;
            write!(f, "{}", field_table(diff))?;
        }
        writeln!(f, "{}, generation {}", summary(&self.diff), self.generation)
    }
}

const fn action_symbol(action: Action) -> char {
    match action {
        Action::Create => '+',
        Action::Change => '~',
        Action::Delete => '-',
        Action::None => '=',
    }
}

fn field_table(diff: &ResourceDiff) -> Table {
    let mut table = Table::without_header().indent(FIELD_INDENT);
    for FieldDiff { path, before, after } in &diff.fields {
        let (before, after) = (inline_text(before), inline_text(after));
        match diff.action {
            Action::Create => table.row([path, &after]),
            Action::Delete => table.row([path, &before]),
            Action::Change | Action::None => table.row([path, &before, &"->", &after]),
        }
    }
    table
}

fn summary(diffs: &[ResourceDiff]) -> String {
    let count = |action| diffs.iter().filter(|diff| diff.action == action).count();
    format!(
        "create {}, change {}, delete {}, same {}",
        count(Action::Create),
        count(Action::Change),
        count(Action::Delete),
        count(Action::None),
    )
}
