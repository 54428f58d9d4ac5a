//! `explain ID --log FILE` shows the timeline of a request from the logs of instances.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

const LOG: &str = r#"{"at_ms":1000,"level":"INFO","part":"instance","message":"The instance starts."}
{"at_ms":9000,"level":"WARN","part":"follow","message":"The key-value service does not answer.","prefix":"members"}
{"at_ms":9500,"level":"INFO","part":"track","message":"The request is granted a slot at an upstream.","id":"other","upstream":"u2"}
{"at_ms":10000,"level":"INFO","part":"track","message":"The request is granted a slot at an upstream.","id":"r1","upstream":"u1","waited_ms":3}
no line of JSON
{"at_ms":10400,"level":"INFO","part":"track","message":"An attempt at an upstream fails.","id":"r1","upstream":"u1","reason":"500"}
{"at_ms":10410,"level":"INFO","part":"track","message":"The request is answered.","id":"r1","status":500}
{"at_ms":12000,"level":"INFO","part":"gate","message":"The gate is at this instance."}
"#;

fn explain(id: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lacewingspring_ctl"))
        .args(["explain", id, "--log", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("failed to start the tool");
    let mut stdin = child.stdin.take().expect("standard input is not piped");
    stdin.write_all(LOG.as_bytes()).expect("failed to write the log");
    drop(stdin);
    child.wait_with_output().expect("failed to wait for the tool")
}

#[test]
fn shows_the_lines_of_a_request_and_of_its_instance_shortly_before() {
    let output = explain("r1");
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout), @r#"
    request r1, times in milliseconds since its first line

       -1000  follow: The key-value service does not answer. prefix="members"
    >      0  track: The request is granted a slot at an upstream. upstream="u1" waited_ms=3
    >    400  track: An attempt at an upstream fails. reason="500" upstream="u1"
    >    410  track: The request is answered. status=500

    1 unreadable lines skipped
    "#);
}

#[test]
fn reports_a_request_that_has_no_log_line() {
    let output = explain("r9");
    assert_eq!(output.status.code(), Some(6));
    assert!(String::from_utf8_lossy(&output.stdout).contains("no log line found for request r9"));
}
