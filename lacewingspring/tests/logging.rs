//! Format of the daemon's log lines: plain text with the part as a prefix, or one JSON object a
//! line. The part is the module that logs.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use lacewingspring::peers::Authority;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::support::{Process, unique_loopback_ip};

mod support;

/// Longest wait for the next log line.
const LINE_TIMEOUT: Duration = Duration::from_secs(15);

/// Parts that log when a daemon starts without a reachable platform.
const PARTS: [&str; 3] = ["daemon", "declared", "membership"];

/// Starts a daemon without a reachable platform and stops it by a signal after all of `PARTS` have
/// logged; returns its log lines. `is_from` returns whether a line is from a part.
fn log_lines(format: &str, is_from: fn(&str, &str) -> bool) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    Authority::create().and_then(|authority| authority.write(folder.path())).unwrap();
    let ip = unique_loopback_ip();
    let settings = json!({
        "instance": "alone", "data_centre": "dc0",
        "listen": { "callers": format!("{ip}:7000"), "peers": format!("{ip}:7500") },
        "key_value": { "endpoints": [format!("{ip}:2379")] },
        "instance_list": { "endpoint": format!("{ip}:8500") },
        "authority": {
            "certificate": folder.path().join("authority.pem"),
            "key": folder.path().join("authority.key")
        },
        "log": { "format": format },
        "timing": { "address_ttl_ms": 50, "instance_list_ms": 50 }
    });
    let path = folder.path().join("settings.json");
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
    command.arg("--settings").arg(path).stderr(Stdio::piped());
    let mut process = Process(command.spawn().unwrap());
    let received = read_lines(&mut process);
    let mut lines = Vec::new();
    while !PARTS.iter().all(|part| lines.iter().any(|line: &String| is_from(line, part))) {
        lines
            .push(received.recv_timeout(LINE_TIMEOUT).expect("each part logs within the time-out"));
    }
    process.signal(Signal::INT);
    assert_eq!(process.0.wait().unwrap().code(), Some(0));
    lines.extend(received);
    lines
}

fn read_lines(process: &mut Process) -> Receiver<String> {
    let (tx, rx) = channel();
    let stderr = BufReader::new(process.0.stderr.take().unwrap());
    thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| tx.send(line)));
    rx
}

fn parse(line: &str) -> Value {
    serde_json::from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"))
}

/// Returns the line that contains a message; there must be exactly one.
fn only_line_with<'a>(lines: &'a [String], message: &str) -> &'a str {
    let mut found = lines.iter().filter(|line| line.contains(message));
    let first = found.next().unwrap_or_else(|| panic!("no line with {message:?}"));
    assert_eq!(found.next(), None);
    first
}

#[test]
fn json_lines_parse_and_have_part_and_fields() {
    let lines = log_lines("json", |line, part| parse(line)["part"] == part);
    for line in &lines {
        let fields = parse(line);
        assert!(fields["at_ms"].is_u64(), "{line}");
        assert!(["INFO", "WARN"].iter().any(|level| fields["level"] == *level), "{line}");
        assert!(fields["part"].is_string() && fields["message"].is_string(), "{line}");
    }
    let starts = parse(only_line_with(&lines, "Instance starts."));
    assert_eq!((&starts["part"], &starts["instance"]), (&json!("daemon"), &json!("alone")));
    assert_eq!(parse(only_line_with(&lines, "Instance leaves the fleet."))["open"], json!(0));
    let list_failures = lines.iter().map(|line| parse(line));
    let mut list_failures = list_failures
        .filter(|fields| fields["message"] == "Cannot read the instance list; keeps the old one.");
    assert!(list_failures.all(|fields| fields["reason"].is_string()));
}

#[test]
fn plain_lines_have_the_prefix_of_their_part() {
    let is_from = |line: &str, part: &str| line.contains(&format!(" {part}: "));
    let lines = log_lines("plain", is_from);
    for line in &lines {
        let (at_ms, rest) = line.split_once(' ').unwrap();
        assert!(at_ms.parse::<u64>().is_ok(), "{line}");
        // The level is padded to five columns and followed by a space.
        let (level, rest) = rest.split_at(6);
        assert!(["INFO  ", "WARN  "].contains(&level), "{line}");
        let (part, message) = rest.split_once(": ").unwrap_or_else(|| panic!("{line}"));
        assert!(!part.contains(' ') && message.contains('.'), "{line}");
    }
    assert!(
        only_line_with(&lines, "Instance starts.")
            .ends_with("INFO  daemon: Instance starts. instance=alone")
    );
    assert!(
        only_line_with(&lines, "Instance leaves the fleet.")
            .ends_with("INFO  daemon: Instance leaves the fleet. open=0")
    );
}
