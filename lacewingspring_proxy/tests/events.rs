//! Boundaries of server-sent events in bytes that arrive in parts.

use lacewingspring_proxy::events::EventScanner;
use quickcheck::quickcheck;

/// Reads `text` in parts that end at the given places.
fn scan(text: &[u8], mut splits: Vec<usize>) -> EventScanner {
    splits.iter_mut().for_each(|split| *split %= text.len() + 1);
    splits.push(text.len());
    splits.sort_unstable();
    let mut scanner = EventScanner::default();
    let mut start = 0;
    for end in splits {
        scanner.push(&text[start..end]);
        start = end;
    }
    scanner
}

fn assert_scan(text: &str, complete: u32, is_inside_event: bool) {
    let scanner = scan(text.as_bytes(), Vec::new());
    assert_eq!(scanner.complete(), complete, "{text:?}");
    assert_eq!(scanner.is_inside_event(), is_inside_event, "{text:?}");
}

#[test]
fn counts_complete_events_for_each_kind_of_line_end() {
    assert_scan("", 0, false);
    assert_scan("id: 1\ndata: a\n\n", 1, false);
    assert_scan("id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", 2, false);
    assert_scan("id: 1\rdata: a\r\r", 1, false);
    assert_scan("data: a\n\n\n\ndata: b\n\n", 2, false);
}

#[test]
fn finds_a_stream_that_ends_inside_an_event() {
    assert_scan("d", 0, true);
    assert_scan("data: a\n\nid: 2", 1, true);
    assert_scan("data: a\n\nid: 2\n", 1, true);
    assert_scan("data: a\r\n", 0, true);
    assert_scan("data: a\n\n: comment", 1, true);
}

quickcheck! {
    fn finds_the_same_events_however_the_bytes_are_split(lines: Vec<u8>, splits: Vec<usize>) -> bool {
        let texts: [&[u8]; 5] = [b"data: a", b"\n", b"\r\n", b"\r", b":"];
        let text: Vec<u8> =
            lines.iter().flat_map(|line| texts[usize::from(*line) % texts.len()]).copied().collect();
        scan(&text, splits) == scan(&text, Vec::new())
    }
}
