//! Flattens JSON values into pairs of path and value.

use serde::Serialize;
use serde_json::Value;

/// A scalar, empty object or empty array within a JSON value.
#[derive(Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Field names and array indices from the root, joined by full stops.
    pub path: String,
    /// Value as text, strings without quotes.
    pub text: String,
}

/// Returns the leaves of a value: fields sorted by name, array items in order.
pub fn leaves<T>(value: &T) -> Vec<Leaf>
where
    T: Serialize,
{
    let value = serde_json::to_value(value).expect("specs have string keys");
    let mut found = Vec::new();
    collect(String::new(), &value, &mut found);
    found
}

/// Formats a value on one line: strings without quotes, null as `-`, all else as compact JSON.
pub fn inline_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn collect(path: String, value: &Value, found: &mut Vec<Leaf>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                collect(join(&path, name), value, found);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (i, value) in items.iter().enumerate() {
                collect(join(&path, &i.to_string()), value, found);
            }
        }
        _ => found.push(Leaf { path, text: inline_text(value) }),
    }
}

fn join(path: &str, part: &str) -> String {
    if path.is_empty() { part.to_owned() } else { format!("{path}.{part}") }
}
