//! Pages of the documentation against the code that they describe.

use std::{fs, path::PathBuf};

use lacewingspring_core::error::ErrorKind;
use serde::Serialize;

/// Columns of the table of errors that the code knows; the last one is advice.
const ERROR_COLUMNS: usize = 6;

/// Reads a page of the documentation.
fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Returns the text below a heading, up to the next heading of the same or a higher level.
fn section<'a>(text: &'a str, heading: &str) -> &'a str {
    let level = heading.chars().take_while(|c| *c == '#').count();
    let start = text.find(&format!("{heading}\n")).unwrap_or_else(|| panic!("no {heading:?}"));
    let body = &text[start + heading.len() + 1..];
    let ends = (1..=level).filter_map(|level| body.find(&format!("\n{} ", "#".repeat(level))));
    &body[..ends.min().unwrap_or(body.len())]
}

/// Returns the cells of each row of a section's tables, without heads and rules.
fn rows(section: &str) -> Vec<Vec<&str>> {
    let lines: Vec<&str> = section.lines().collect();
    let is_rule = |line: &str| line.starts_with("|---");
    let is_head = |i: usize| lines.get(i + 1).is_some_and(|next| is_rule(next));
    let rows = lines
        .iter()
        .enumerate()
        .filter(|(i, line)| line.starts_with('|') && !is_rule(line) && !is_head(*i));
    rows.map(|(_, line)| line.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// Returns a value as it is written in JSON, without quotes.
fn json_name<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_value(value).unwrap().as_str().unwrap().to_owned()
}

fn error_row(kind: ErrorKind) -> Vec<String> {
    let answer = kind.answer();
    vec![
        answer.status.to_string(),
        format!("`{}`", json_name(&kind)),
        format!("`{}`", answer.problem),
        answer.title.to_owned(),
        format!("`{}`", json_name(&answer.run)),
        if answer.retry { "yes" } else { "no" }.to_owned(),
    ]
}

#[test]
fn table_of_errors_equals_the_code() {
    let callers = page("CALLERS.md");
    let rows = rows(section(&callers, "## The table of errors"));
    let advice = rows.iter().all(|row| row.len() == ERROR_COLUMNS + 1 && !row[6].is_empty());
    assert!(advice, "a row lacks a column");
    let written: Vec<Vec<&str>> = rows.iter().map(|row| row[..ERROR_COLUMNS].to_vec()).collect();
    let expected: Vec<_> = ErrorKind::ALL.iter().map(|kind| error_row(*kind)).collect();
    assert_eq!(written, expected);
}
