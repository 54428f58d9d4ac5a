//! Compares the documented errors and request paths with the code.

use std::{collections::BTreeSet, fs, path::Path};

use lacewingspring_core::error::ErrorKind;
use serde::Serialize;

use self::docs_common::{path, read, rows, section};

mod docs_common;

/// Number of columns of the error table that come from the code; one more column holds advice.
const ERROR_COLUMNS: usize = 6;

/// Returns the JSON string of an enum value, without quotes.
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
fn documented_error_table_matches_the_code() {
    let callers = read("docs/CALLERS.md");
    let rows = rows(section(&callers, "## The table of errors"));
    let is_complete = rows.iter().all(|row| row.len() == ERROR_COLUMNS + 1 && !row[6].is_empty());
    assert!(is_complete, "a row lacks a column or its advice");
    let documented: Vec<Vec<&str>> = rows.iter().map(|row| row[..ERROR_COLUMNS].to_vec()).collect();
    let expected: Vec<_> = ErrorKind::ALL.iter().map(|kind| error_row(*kind)).collect();
    assert_eq!(documented, expected);
}

#[test]
fn troubleshooting_lists_each_error_title() {
    let operating = read("docs/OPERATING.md");
    let rows = rows(section(&operating, "## Troubleshooting by the text of an error"));
    let documented: Vec<&str> = rows.iter().map(|row| row[0]).collect();
    let expected: Vec<_> = ErrorKind::ALL.iter().map(|kind| kind.answer().title).collect();
    assert_eq!(documented, expected);
}

/// Appends the text of all files in a folder and its subfolders.
fn add_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            add_sources(&path, text);
        } else {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the request paths in the sources, each up to its first variable part.
fn request_paths(sources: &str) -> BTreeSet<String> {
    let paths = ["/v1/", "/v3/"].iter().flat_map(|version| {
        let rest = sources.split(version).skip(1);
        rest.map(move |rest| format!("{version}{}", rest.split(['"', '{', '`']).next().unwrap()))
    });
    paths.collect()
}

#[test]
fn request_paths_to_platform_and_upstreams_are_documented() {
    let mut sources = String::new();
    for folder in ["platform", "upstreams"] {
        add_sources(&path("lacewingspring/src").join(folder), &mut sources);
    }
    let paths = request_paths(&sources);
    assert!(paths.len() >= 10, "{paths:?}");
    let adapters = read("docs/ADAPTERS.md");
    let undocumented: Vec<_> = paths.iter().filter(|path| !adapters.contains(*path)).collect();
    assert!(undocumented.is_empty(), "{undocumented:?}");
}
