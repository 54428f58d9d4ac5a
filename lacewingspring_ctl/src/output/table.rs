//! Text tables with aligned columns.

use std::fmt::{self, Display, Formatter};

/// Number of spaces between columns.
const COLUMN_GAP: usize = 2;

/// A table with an optional header row.
#[derive(Debug)]
pub struct Table {
    indent: usize,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row of these column titles.
    pub fn new(titles: &[&str]) -> Self {
        let header = titles.iter().map(|&title| title.to_owned()).collect();
        Self { indent: 0, rows: vec![header] }
    }

    /// Creates a table without a header row.
    pub const fn without_header() -> Self {
        Self { indent: 0, rows: Vec::new() }
    }

    /// Sets the indentation of each line, in columns.
    pub const fn indent(mut self, indent: usize) -> Self {
        self.indent = indent;
        self
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [&dyn Display; N]) {
        self.rows.push(cells.iter().map(|cell| cell_text(*cell)).collect());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell: &String| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = " ".repeat(self.indent);
            for (cell, width) in row.iter().zip(&widths) {
                line += &format!("{cell:<width$}", width = width + COLUMN_GAP);
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats a value, or `-` if it is unknown.
pub fn or_dash<T>(value: Option<T>) -> String
where
    T: Display,
{
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Returns the text of a cell on one line. An empty cell becomes `-`, so that it still counts as a
/// column.
fn cell_text(cell: &dyn Display) -> String {
    let text = cell.to_string().replace('\n', " ");
    if text.is_empty() { "-".to_owned() } else { text }
}
