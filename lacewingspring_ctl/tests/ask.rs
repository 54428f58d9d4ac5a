//! Responses of `ask`, streamed and plain: complete ones succeed, truncated ones never do.

use crate::support::{Reply, Responder};

mod support;

const ASK: &[&str] = &["ask", "tutor", "Where?", "--key", "k1", "--timeout", "2"];
const PLAIN: &[&str] = &["ask", "booking", r#"{"seat":4}"#, "--key", "k1", "--plain", "/v1/seats"];
const FIRST_EVENT: &str = "data: {\"choices\":[{\"text\":\"Left, \"}]}\n\n";
const LAST_EVENT: &str = "data: {\"choices\":[{\"text\":\"sous l’escalier\",\
                      \"finish_reason\":\"stop\"}]}\r\n\r\n";
const END_MARKER: &str = "data: [DONE]\n\n";

fn ask(reply: Reply) -> (i32, String) {
    let run = Responder::start([reply]).run(ASK);
    (run.code, run.stdout)
}

#[test]
fn prints_a_complete_stream() {
    let body = format!(": comment\n\n{FIRST_EVENT}{LAST_EVENT}{END_MARKER}");
    let responder = Responder::start([Reply::stream(&body)]);
    let run = responder.run(ASK);
    assert_eq!((run.code, run.stdout.as_str()), (0, "Left, sous l’escalier\n"));
    assert_eq!(run.stderr, "key: k1\n");
    insta::assert_snapshot!(responder.request());
}

#[test]
fn json_output_waits_for_the_complete_response() {
    let responder =
        Responder::start([Reply::stream(&format!("{FIRST_EVENT}{LAST_EVENT}{END_MARKER}"))]);
    let args = [ASK, &["-o", "json"]].concat();
    insta::assert_snapshot!(responder.run(&args).stdout);
}

#[test]
fn a_stream_without_its_end_marker_is_an_error() {
    insta::assert_snapshot!(Responder::start([Reply::stream(FIRST_EVENT)]).run(ASK).stderr);
    let text = "Left, ".to_owned();
    assert_eq!(ask(Reply::stream(FIRST_EVENT)), (8, text.clone()));
    assert_eq!(ask(Reply::broken_stream(FIRST_EVENT)), (8, text.clone()));
    assert_eq!(ask(Reply::stream(&format!("{FIRST_EVENT}data: [DONE]"))), (8, text.clone()));
    assert_eq!(ask(Reply::stream(&format!("{FIRST_EVENT}data: {{\n\n{END_MARKER}"))), (8, text));
    assert_eq!(ask(Reply::stream("")).0, 8);
    assert_eq!(ask(Reply::json(200, "{}")).0, 8);
    assert_eq!(ask(Reply::closed()).0, 8);
}

#[test]
fn a_problem_within_the_stream_is_an_error() {
    let error =
        |fields: &str| format!("{FIRST_EVENT}data: {{\"error\":{{{fields}}}}}\n\n{END_MARKER}");
    assert_eq!(ask(Reply::stream(&error(r#""message":"engine gone""#))).0, 8);
    assert_eq!(ask(Reply::stream(&error(r#""kind":"overloaded","run":"not_run""#))).0, 7);
    let event = |kind: &str, run: &str| {
        let data = format!(r#"{{"error":"{kind}","run":"{run}"}}"#);
        ask(Reply::stream(&format!("{FIRST_EVENT}event: error\ndata: {data}\n\n{END_MARKER}"))).0
    };
    assert_eq!(event("answer_lost", "may_have_run"), 8);
    assert_eq!(event("deadline_exceeded", "not_run"), 7);
}

#[test]
fn a_refusal_states_that_nothing_was_run() {
    let reply = Reply::problem(503, r#""kind":"overloaded","run":"not_run","retry_after_ms":900"#);
    let run = Responder::start([reply]).run(ASK);
    assert_eq!((run.code, run.stdout.as_str()), (7, ""));
    insta::assert_snapshot!(run.stderr);
}

#[test]
fn generates_a_key_if_none_is_given() {
    let responder = Responder::start([Reply::stream(END_MARKER)]);
    let run = responder.run(&["ask", "tutor", "Where?"]);
    let key = run.stderr.strip_prefix("key: ").unwrap().trim_end();
    assert_eq!(key.len(), 32);
    assert!(responder.request().contains(&format!("idempotency-key: {key}\n")));
}

#[test]
fn prints_plain_responses_unchanged() {
    let responder = Responder::start([Reply::json(200, r#"{"seat":4,"booked":true}"#)]);
    let run = responder.run(PLAIN);
    assert_eq!((run.code, run.stdout.as_str()), (0, r#"{"seat":4,"booked":true}"#));
    insta::assert_snapshot!(responder.request());
}

#[test]
fn plain_errors_print_their_body_and_map_status_to_exit_code() {
    for (status, code) in
        [(400, 2), (404, 6), (409, 4), (422, 3), (429, 3), (408, 8), (500, 8), (503, 8)]
    {
        let run = Responder::start([Reply::json(status, "\"taken\"")]).run(PLAIN);
        assert_eq!((run.code, run.stdout.as_str()), (code, "\"taken\""), "{status}");
        assert!(!run.stderr.contains("nothing was run"), "{}", run.stderr);
    }
    let refused = Reply::problem(503, r#""kind":"store_unavailable","run":"not_run""#);
    let run = Responder::start([refused]).run(PLAIN);
    assert_eq!((run.code, run.stdout.as_str()), (7, ""));
}

#[test]
fn does_not_print_a_response_for_another_key() {
    for (args, body) in [(ASK, END_MARKER), (PLAIN, "{}")] {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nidempotency-key: k2";
        let bytes = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let run = Responder::start([Reply::Bytes(bytes)]).run(args);
        assert_eq!((run.code, run.stdout.as_str()), (8, ""));
    }
}

#[test]
fn a_truncated_plain_response_is_an_error() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"seat\"";
    assert_eq!(Responder::start([Reply::Bytes(truncated.to_owned())]).run(PLAIN).code, 8);
}
