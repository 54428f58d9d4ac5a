//! Exit code of each outcome, and when the next address is tried.

use crate::support::{REFUSING, Reply, Responder, run};

mod support;

const TIER: &str = r#"{"kind":"tier","name":"counter","spec":{"rank":0}}"#;
const TIER_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/tier.json");
const APPLY: &[&str] = &["apply", "-f", "-"];
const UNCHANGED_DIFF: &str =
    r#"{"generation":7,"diff":[{"resource":"tier/counter","action":"none"}]}"#;
const CHANGED_DIFF: &str =
    r#"{"generation":8,"diff":[{"resource":"tier/counter","action":"change"}]}"#;
const IN_FORCE: &str = r#"{"in_force":true,"generation":8}"#;
const LAGGING: &str = r#"{"in_force":false,"generation":8,"laggards":[{"instance":"b2"}]}"#;

fn apply_code(reply: Reply) -> i32 {
    Responder::start([reply]).run_stdin(APPLY, TIER).code
}

fn get_code(reply: Reply) -> i32 {
    Responder::start([reply]).run(&["get", "--timeout", "0.5"]).code
}

#[test]
fn diff_exit_code_shows_whether_states_differ() {
    for (answer, code) in [(UNCHANGED_DIFF, 0), (CHANGED_DIFF, 1)] {
        let responder = Responder::start([Reply::json(200, answer)]);
        assert_eq!(responder.run_stdin(&["diff", "-f", "-"], TIER).code, code);
        assert!(responder.request().contains(r#""dry_run":true"#));
    }
}

#[test]
fn apply_waits_until_the_change_is_in_force() {
    for (answer, code) in [(IN_FORCE, 0), (LAGGING, 1)] {
        let responder =
            Responder::start([Reply::json(200, CHANGED_DIFF), Reply::json(200, answer)]);
        assert_eq!(responder.run_stdin(&["apply", "-f", "-", "--wait"], TIER).code, code);
        responder.request();
        assert!(responder.request().starts_with("GET /operator/v1/wait?generation=8&"));
    }
}

#[test]
fn prints_the_change_even_if_the_wait_fails() {
    let responder = Responder::start([Reply::json(200, CHANGED_DIFF), Reply::closed()]);
    let run = responder.run_stdin(&["apply", "-f", "-", "--wait"], TIER);
    assert_eq!(run.code, 1);
    assert!(run.stdout.contains("~ tier/counter"), "{}", run.stdout);
}

#[test]
fn invalid_command_lines_and_files_exit_with_2() {
    let duplicate = format!("[{TIER},{TIER}]");
    let unknown = TIER.replace("rank", "rang");
    for stdin in ["", "{", "3", "[]", "{}", &duplicate, &unknown] {
        let run = Responder::start([]).run_stdin(APPLY, stdin);
        assert_eq!(run.code, 2, "{stdin}: {}", run.stderr);
    }
    for args in [
        &["get"][..],
        &["get", "engine"],
        &["--address", "localhost:1", "get"],
        &["--timeout", "0", "get"],
        &["--address", REFUSING, "--token-file", "/nonexistent", "get"],
        &["--address", REFUSING, "ask", "booking", "no json", "--plain", "seats"],
        &["--address", REFUSING, "apply", "-f", "/nonexistent"],
    ] {
        assert_eq!(run(args).code, 2, "{args:?}");
    }
}

#[test]
fn problem_kinds_map_to_exit_codes() {
    for (status, fields, code) in [
        (400, r#""kind":"malformed","run":"not_run""#, 2),
        (422, r#""kind":"invalid","run":"not_run""#, 3),
        (413, r#""kind":"too_large","run":"not_run""#, 3),
        (409, r#""kind":"change_conflict","run":"not_run""#, 4),
        (409, r#""kind":"voided","run":"not_run""#, 4),
        (401, r#""kind":"unauthenticated","run":"not_run""#, 5),
        (403, r#""kind":"forbidden","run":"not_run""#, 5),
        (404, r#""kind":"not_found","run":"not_run""#, 6),
        (429, r#""kind":"limit_reached","run":"not_run""#, 7),
        (503, r#""kind":"store_unavailable","run":"not_run""#, 7),
        (504, r#""kind":"deadline_exceeded","run":"not_run""#, 7),
        (503, r#""kind":"undecided","run":"may_have_run""#, 8),
        (409, r#""kind":"outcome_unknown""#, 8),
        (502, r#""kind":"answer_lost","run":"ran""#, 8),
        (503, r#""kind":"of a later version","run":"not_run""#, 7),
        (500, r#""kind":"internal","run":"may_have_run""#, 8),
    ] {
        assert_eq!(apply_code(Reply::problem(status, fields)), code, "{fields}");
    }
}

#[test]
fn request_states_map_to_exit_codes() {
    for (key, state, code) in [
        ("k/1", "not_run", 0),
        ("k/1", "ran", 0),
        ("k/1", "in_progress", 0),
        ("k/1", "may_have_run", 8),
        ("k%2F1", "not_run", 8),
    ] {
        let answer = format!(r#"{{"key":"{key}","state":"{state}"}}"#);
        let run = Responder::start([Reply::json(200, &answer)]).run(&["request", "k/1"]);
        assert_eq!(run.code, code, "{answer}");
    }
}

#[test]
fn a_lost_response_leaves_a_change_unknown_but_not_a_read() {
    assert_eq!(apply_code(Reply::closed()), 8);
    assert_eq!(get_code(Reply::closed()), 7);
    assert_eq!(apply_code(Reply::json(200, "{")), 8);
    assert_eq!(get_code(Reply::json(200, "{")), 7);
    assert_eq!(apply_code(Reply::json(500, "")), 8);
    assert_eq!(get_code(Reply::json(500, "")), 7);
    assert_eq!(get_code(Reply::NoResponse), 7);
    let silent = Responder::start([Reply::NoResponse]);
    assert_eq!(silent.run_stdin(&["apply", "-f", "-", "--timeout", "0.5"], TIER).code, 8);
}

#[test]
fn tries_the_next_address_if_nothing_was_run() {
    let leaving = Responder::start([Reply::problem(503, r#""kind":"leaving","run":"not_run""#)]);
    let live = Responder::start([Reply::json(200, CHANGED_DIFF)]);
    let addresses = format!("{REFUSING},{},{}", leaving.address, live.address);
    assert_eq!(run(&["apply", "--address", &addresses, "-f", TIER_FILE]).code, 0);
    assert_eq!(run(&["get", "--address", REFUSING]).code, 7);
}

#[test]
fn does_not_resend_a_change_to_the_next_address() {
    let closing = Responder::start([Reply::closed()]);
    let other = Responder::start([Reply::json(200, CHANGED_DIFF)]);
    let addresses = format!("{},{}", closing.address, other.address);
    assert_eq!(run(&["apply", "--address", &addresses, "-f", TIER_FILE]).code, 8);
}

#[test]
fn prints_violations_and_conflicts() {
    let fields = r#""kind":"invalid","run":"not_run","retry_after_ms":20,
        "violations":[{"resource":"service/lookup","field":"tier","rule":"must name a tier"}],
        "conflict":{"generation":9,"changed":["tier/counter"]}"#;
    let run = Responder::start([Reply::problem(422, fields)]).run_stdin(APPLY, TIER);
    insta::assert_snapshot!(run.stderr);
}

#[test]
fn completion_needs_no_server() {
    let run = run(&["completion", "bash"]);
    assert_eq!(run.code, 0);
    assert!(run.stdout.contains("_lacewingspring_ctl()"));
}
