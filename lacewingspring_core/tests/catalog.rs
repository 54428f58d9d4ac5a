//! Parsing of credential digests in hexadecimal.

use lacewingspring_core::catalog::{digest_hex, parse_digest};
use quickcheck::{Gen, QuickCheck};

/// Standard integer parsing accepts a leading sign, so a pair such as `+f` would pass as a byte.
#[test]
fn rejects_other_characters_in_place_of_a_digit() {
    let valid = digest_hex(b"token");
    assert!(parse_digest(&valid).is_some());
    for pair in ["+f", "-f", " f", "f ", "0x", "f+"] {
        assert_eq!(parse_digest(&format!("{pair}{}", &valid[2..])), None, "{pair:?}");
    }
}

#[test]
fn parses_what_digest_hex_writes_and_rejects_other_digits() {
    fn property(token: Vec<u8>, at: usize, other: char) -> bool {
        let valid = digest_hex(&token);
        let Some(digest) = parse_digest(&valid) else { return false };
        let written: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let at = at % valid.len();
        let changed = format!("{}{other}{}", &valid[..at], &valid[at + 1..]);
        written == valid && parse_digest(&changed).is_some() == other.is_ascii_hexdigit()
    }
    let check: fn(Vec<u8>, usize, char) -> bool = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 7)).tests(2_000).quickcheck(check);
}
