//! Digests of credentials are read as they are written, and nothing else is read as one.

use lacewingspring_core::catalog::{digest_hex, parse_digest};
use quickcheck::{Gen, QuickCheck};

#[test]
fn refuses_a_sign_in_place_of_a_digit() {
    let sound = digest_hex(b"token");
    assert!(parse_digest(&sound).is_some());
    for pair in ["+f", "-f", " f", "f ", "0x", "f+"] {
        assert_eq!(parse_digest(&format!("{pair}{}", &sound[2..])), None, "{pair:?}");
    }
}

#[test]
fn reads_back_what_was_written_and_no_changed_digit() {
    fn property(token: Vec<u8>, at: usize, other: char) -> bool {
        let sound = digest_hex(&token);
        let Some(digest) = parse_digest(&sound) else { return false };
        let written: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let at = at % sound.len();
        let changed = format!("{}{other}{}", &sound[..at], &sound[at + 1..]);
        written == sound && parse_digest(&changed).is_some() == other.is_ascii_hexdigit()
    }
    let check: fn(Vec<u8>, usize, char) -> bool = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 7)).tests(2_000).quickcheck(check);
}
