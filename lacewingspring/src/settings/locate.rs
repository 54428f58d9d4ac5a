//! Finds the line of a key in the text of a settings file.

/// Returns the line, from 1, that holds the last part of a dotted key.
///
/// Parts that the text does not have are skipped; the line is 1 if it has none of them.
///
/// A part such as `operators[1]` names an item in a list of objects. The part after it is a key of
/// that item, and each item must have that key exactly once.
pub fn line_of(text: &str, key: &str) -> usize {
    let mut offset = 0;
    let mut skipped_items = 0;
    for part in key.split('.') {
        let (name, item) = item_of(part);
        for _ in 0..=skipped_items {
            let Some(at) = key_end(&text[offset..], name) else { break };
            offset += at;
        }
        skipped_items = item;
    }
    text[..offset].matches('\n').count() + 1
}

/// Returns the name of a part and the index of the list item that it names, 0 if it names none.
fn item_of(part: &str) -> (&str, usize) {
    let item = part.strip_suffix(']').and_then(|part| part.split_once('['));
    item.map_or((part, 0), |(name, item)| (name, item.parse().unwrap_or(0)))
}

/// Returns the offset after the quoted name of a key, skipping values with the same text.
fn key_end(text: &str, name: &str) -> Option<usize> {
    let quoted = format!("\"{name}\"");
    let ends = text.match_indices(&quoted).map(|(at, _)| at + quoted.len());
    ends.into_iter().find(|&end| text[end..].trim_start().starts_with(':'))
}
