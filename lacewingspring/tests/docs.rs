//! Table of errors in the documentation against the one in the code.

use lacewingspring_core::error::ErrorKind;
use serde::Serialize;

use self::docs_common::{read, rows, section};

mod docs_common;

/// Columns of the table of errors that the code knows; the last one is advice.
const ERROR_COLUMNS: usize = 6;

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
    let callers = read("docs/CALLERS.md");
    let rows = rows(section(&callers, "## The table of errors"));
    let advice = rows.iter().all(|row| row.len() == ERROR_COLUMNS + 1 && !row[6].is_empty());
    assert!(advice, "a row lacks a column");
    let written: Vec<Vec<&str>> = rows.iter().map(|row| row[..ERROR_COLUMNS].to_vec()).collect();
    let expected: Vec<_> = ErrorKind::ALL.iter().map(|kind| error_row(*kind)).collect();
    assert_eq!(written, expected);
}

#[test]
fn troubleshooting_names_each_text() {
    let operating = read("docs/OPERATING.md");
    let rows = rows(section(&operating, "## Troubleshooting by the text of an error"));
    let written: Vec<&str> = rows.iter().map(|row| row[0]).collect();
    let expected: Vec<_> = ErrorKind::ALL.iter().map(|kind| kind.answer().title).collect();
    assert_eq!(written, expected);
}
