//! Finds the line of a key in the text of a settings file.

/// Returns the line, from 1, on which the last part of a dotted key stands; 1 when absent.
pub fn line_of(text: &str, key: &str) -> usize {
    let mut rest = text;
    let mut offset = 0;
    for part in key.split('.') {
        let Some(at) = rest.find(&format!("\"{part}\"")) else { break };
        offset += at;
        rest = &text[offset..];
    }
    text[..offset].matches('\n').count() + 1
}
