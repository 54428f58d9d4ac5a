//! Streamed and plain answers: whole ones succeed, and no cut one does.

use crate::support::{Reply, Responder};

mod support;

const ASK: &[&str] = &["ask", "tutor", "Where?", "--key", "k1", "--timeout", "2"];
const PLAIN: &[&str] = &["ask", "booking", r#"{"seat":4}"#, "--key", "k1", "--plain", "/v1/seats"];
const FIRST: &str = "data: {\"choices\":[{\"text\":\"Left, \"}]}\n\n";
const SECOND: &str = "data: {\"choices\":[{\"text\":\"sous l’escalier\",\
                      \"finish_reason\":\"stop\"}]}\r\n\r\n";
const END: &str = "data: [DONE]\n\n";

fn ask(reply: Reply) -> (i32, String) {
    let run = Responder::start([reply]).run(ASK);
    (run.code, run.stdout)
}

#[test]
fn a_whole_stream_is_printed() {
    let body = format!(": comment\n\n{FIRST}{SECOND}{END}");
    let responder = Responder::start([Reply::stream(&body)]);
    let run = responder.run(ASK);
    assert_eq!((run.code, run.stdout.as_str()), (0, "Left, sous l’escalier\n"));
    assert_eq!(run.stderr, "key: k1\n");
    insta::assert_snapshot!(responder.request());
}

#[test]
fn json_output_waits_for_the_whole_answer() {
    let responder = Responder::start([Reply::stream(&format!("{FIRST}{SECOND}{END}"))]);
    let args = [ASK, &["-o", "json"]].concat();
    insta::assert_snapshot!(responder.run(&args).stdout);
}

#[test]
fn a_stream_without_its_end_is_an_error() {
    insta::assert_snapshot!(Responder::start([Reply::stream(FIRST)]).run(ASK).stderr);
    let piece = "Left, ".to_owned();
    assert_eq!(ask(Reply::stream(FIRST)), (8, piece.clone()));
    assert_eq!(ask(Reply::broken_stream(FIRST)), (8, piece.clone()));
    assert_eq!(ask(Reply::stream(&format!("{FIRST}data: [DONE]"))), (8, piece.clone()));
    assert_eq!(ask(Reply::stream(&format!("{FIRST}data: {{\n\n{END}"))), (8, piece));
    assert_eq!(ask(Reply::stream("")).0, 8);
    assert_eq!(ask(Reply::json(200, "{}")).0, 8);
    assert_eq!(ask(Reply::nothing()).0, 8);
}

#[test]
fn a_problem_within_the_stream_is_an_error() {
    let error = |fields: &str| format!("{FIRST}data: {{\"error\":{{{fields}}}}}\n\n{END}");
    assert_eq!(ask(Reply::stream(&error(r#""message":"engine gone""#))).0, 8);
    assert_eq!(ask(Reply::stream(&error(r#""kind":"overloaded","run":"not_run""#))).0, 7);
    let event = |kind: &str, run: &str| {
        let data = format!(r#"{{"error":"{kind}","run":"{run}"}}"#);
        ask(Reply::stream(&format!("{FIRST}event: error\ndata: {data}\n\n{END}"))).0
    };
    assert_eq!(event("answer_lost", "may_have_run"), 8);
    assert_eq!(event("deadline_exceeded", "not_run"), 7);
}

#[test]
fn a_refusal_says_that_nothing_was_run() {
    let reply = Reply::problem(503, r#""kind":"overloaded","run":"not_run","retry_after_ms":900"#);
    let run = Responder::start([reply]).run(ASK);
    assert_eq!((run.code, run.stdout.as_str()), (7, ""));
    insta::assert_snapshot!(run.stderr);
}

#[test]
fn keys_are_made_when_absent() {
    let responder = Responder::start([Reply::stream(END)]);
    let run = responder.run(&["ask", "tutor", "Where?"]);
    let key = run.stderr.strip_prefix("key: ").unwrap().trim_end();
    assert_eq!(key.len(), 32);
    assert!(responder.request().contains(&format!("idempotency-key: {key}\n")));
}

#[test]
fn plain_answers_pass_as_they_are() {
    let responder = Responder::start([Reply::json(200, r#"{"seat":4,"booked":true}"#)]);
    let run = responder.run(PLAIN);
    assert_eq!((run.code, run.stdout.as_str()), (0, r#"{"seat":4,"booked":true}"#));
    insta::assert_snapshot!(responder.request());
}

#[test]
fn plain_failures_keep_their_body_and_end_by_status() {
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
fn an_answer_to_another_request_is_not_printed() {
    for (args, body) in [(ASK, END), (PLAIN, "{}")] {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nidempotency-key: k2";
        let bytes = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let run = Responder::start([Reply::Bytes(bytes)]).run(args);
        assert_eq!((run.code, run.stdout.as_str()), (8, ""));
    }
}

#[test]
fn a_cut_plain_answer_is_an_error() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"seat\"";
    assert_eq!(Responder::start([Reply::Bytes(cut.to_owned())]).run(PLAIN).code, 8);
}
