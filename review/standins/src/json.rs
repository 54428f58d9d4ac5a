//! Base64, and the few JSON fields that the stand-ins read from messages of the system.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let number = u32::from(bits[0]) << 16 | u32::from(bits[1]) << 8 | u32::from(bits[2]);
        for index in 0..4 {
            let digit = ALPHABET[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

/// Decodes standard base64; leaves out what is no digit of it.
pub fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|known| *known == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let number =
            group.iter().fold(0, |number, digit| number << 6 | digit) << (6 * (4 - group.len()));
        bytes.extend_from_slice(&number.to_be_bytes()[1..group.len()]);
    }
    bytes
}

/// Returns the text after `"name":` up to the next comma or bracket, without quotes.
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => Some(&text[..text.find('"')?]),
        None => Some(rest[..rest.find([',', '}', ']'])?].trim()),
    }
}
