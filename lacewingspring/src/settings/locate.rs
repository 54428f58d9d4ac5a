//! Finds the line of a key in the text of a settings file.

/// Returns the line, from 1, on which the last part of a dotted key stands; 1 when absent.
///
/// A part such as `operators[1]` names an item of a list of objects; the part below it is then the
/// key of that item, which stands in each item once.
pub fn line_of(text: &str, key: &str) -> usize {
    let mut offset = 0;
    let mut earlier = 0;
    for part in key.split('.') {
        let (name, item) = item_of(part);
        for _ in 0..=earlier {
            let Some(at) = key_at(&text[offset..], name) else { break };
            offset += at;
        }
        earlier = item;
    }
    text[..offset].matches('\n').count() + 1
}

/// Returns the name of a part and the number of the item that it names.
fn item_of(part: &str) -> (&str, usize) {
    let item = part.strip_suffix(']').and_then(|part| part.split_once('['));
    item.map_or((part, 0), |(name, item)| (name, item.parse().unwrap_or(0)))
}

/// Returns where the quoted name of a key ends; a value with the same text is passed over.
fn key_at(text: &str, name: &str) -> Option<usize> {
    let quoted = format!("\"{name}\"");
    let ends = text.match_indices(&quoted).map(|(at, _)| at + quoted.len());
    ends.into_iter().find(|&end| text[end..].trim_start().starts_with(':'))
}
