//! Reads pages of the documentation and their tables.

// Each test file uses a part of this.
#![allow(dead_code, unreachable_pub)]

use std::{fs, path::PathBuf};

/// Returns the path of a file of the repository.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

/// Reads a file of the repository.
pub fn read(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Returns the text below a heading, up to the next heading of the same or a higher level.
pub fn section<'a>(text: &'a str, heading: &str) -> &'a str {
    let level = heading.chars().take_while(|c| *c == '#').count();
    let start = text.find(&format!("\n{heading}\n")).unwrap_or_else(|| panic!("no {heading:?}"));
    let body = &text[start + heading.len() + 2..];
    let ends = (1..=level).filter_map(|level| body.find(&format!("\n{} ", "#".repeat(level))));
    &body[..ends.min().unwrap_or(body.len())]
}

/// Returns the cells of each row of a section's tables, without heads and rules.
pub fn rows(section: &str) -> Vec<Vec<&str>> {
    let lines: Vec<&str> = section.lines().collect();
    let is_rule = |line: &str| line.starts_with("|---");
    let is_head = |i: usize| lines.get(i + 1).is_some_and(|next| is_rule(next));
    let rows = lines.iter().enumerate();
    let rows = rows.filter(|(i, line)| line.starts_with('|') && !is_rule(line) && !is_head(*i));
    rows.map(|(_, line)| cells(line)).collect()
}

fn cells(line: &str) -> Vec<&str> {
    let line = line.strip_prefix('|').and_then(|line| line.strip_suffix('|')).unwrap_or(line);
    line.split('|').map(str::trim).collect()
}

/// Returns the words between backticks.
pub fn quoted(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the names that serde expects, from its error about an unknown one.
pub fn expected(error: &str) -> Vec<String> {
    let (_, names) = error.split_once("expected").unwrap_or_else(|| panic!("{error}"));
    quoted(names)
}

/// Returns the bounds of a cell such as `10 to 60000`.
pub fn bounds(cell: &str) -> Option<(u64, u64)> {
    let (low, high) = cell.split(',').next()?.split_once(" to ")?;
    Some((low.trim().parse().ok()?, high.trim().parse().ok()?))
}
