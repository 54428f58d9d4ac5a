//! Reads documentation pages and their Markdown tables.

// Each test file that includes this module uses only some of its items.
#![allow(dead_code, unreachable_pub)]

use std::{fs, path::PathBuf};

/// Returns the path of a file, given relative to the root of the repository.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

/// Reads a file, given relative to the root of the repository.
pub fn read(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("cannot read {name}: {e}"))
}

/// Returns the text below a heading, up to the next heading of the same or a higher level.
pub fn section<'a>(text: &'a str, heading: &str) -> &'a str {
    let level = heading.chars().take_while(|c| *c == '#').count();
    let start = text
        .find(&format!("\n{heading}\n"))
        .unwrap_or_else(|| panic!("no heading {heading:?} in the page"));
    let body = &text[start + heading.len() + 2..];
    let ends = (1..=level).filter_map(|level| body.find(&format!("\n{} ", "#".repeat(level))));
    &body[..ends.min().unwrap_or(body.len())]
}

/// Returns the cells of each row of a section's tables, without header and delimiter rows.
pub fn rows(section: &str) -> Vec<Vec<&str>> {
    let lines: Vec<&str> = section.lines().collect();
    let is_delimiter = |line: &str| line.starts_with("|---");
    let is_header = |i: usize| lines.get(i + 1).is_some_and(|next| is_delimiter(next));
    let rows = lines.iter().enumerate();
    let rows =
        rows.filter(|(i, line)| line.starts_with('|') && !is_delimiter(line) && !is_header(*i));
    rows.map(|(_, line)| cells(line)).collect()
}

fn cells(line: &str) -> Vec<&str> {
    let line = line.strip_prefix('|').and_then(|line| line.strip_suffix('|')).unwrap_or(line);
    line.split('|').map(str::trim).collect()
}

/// Returns the texts between backticks.
pub fn quoted(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the accepted names that serde lists in its error about an unknown name.
pub fn expected_names(error: &str) -> Vec<String> {
    let (_, names) =
        error.split_once("expected").unwrap_or_else(|| panic!("no expected names in: {error}"));
    quoted(names)
}

/// Parses the lower and upper bound of a cell such as `10 to 60000`; `None` if it has no range.
pub fn range_bounds(cell: &str) -> Option<(u64, u64)> {
    let (low, high) = cell.split(',').next()?.split_once(" to ")?;
    Some((low.trim().parse().ok()?, high.trim().parse().ok()?))
}
