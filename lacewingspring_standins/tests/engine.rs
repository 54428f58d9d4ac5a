//! Engine: answers, resumption, export, crashes and the journal.

mod common;

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::timeout;

use common::{Event, Peer, events, joined, start};
use lacewingspring_standins::engine::{Settings, answer, block_hashes, serve};

async fn engine(settings: Settings) -> Peer {
    start(|listener| serve(listener, settings)).await
}

fn fast() -> Settings {
    Settings { decode_ms: 2.0, report_lag_ms: 50, ..Settings::default() }
}

async fn streamed(peer: &Peer, id: &str, body: Value) -> (Vec<Event>, bool) {
    let headers = [("x-request-id", id)];
    let reply = peer.open("POST", "/v1/completions", &headers, &body).await.expect("a reply");
    assert_eq!(reply.status(), 200);
    events(reply).await
}

async fn resumed(peer: &Peer, id: &str, last: &str) -> (Vec<Event>, bool) {
    let path = format!("/v1/completions/{id}");
    let headers = [("last-event-id", last)];
    let reply = peer.open("GET", &path, &headers, &Value::Null).await.expect("a reply");
    events(reply).await
}

async fn entry(peer: &Peer, id: &str) -> Value {
    let journal = peer.ok("GET", "/journal", json!({})).await;
    let requests = journal["requests"].as_array().expect("requests");
    requests.iter().find(|entry| entry["id"] == id).cloned().unwrap_or_default()
}

fn body(prompt: &str, max_tokens: u64) -> Value {
    json!({ "model": "model", "prompt": prompt, "max_tokens": max_tokens, "stream": true })
}

#[tokio::test]
async fn whole_answer_equals_answer() {
    let peer = engine(fast()).await;
    let prompt = "say something long";
    let (events, whole) = streamed(&peer, "r1", body(prompt, 20)).await;
    assert!(whole);
    assert_eq!(joined(&events), answer(prompt, 20));
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    let expected: Vec<_> = (0..20).map(Some).chain([None]).collect();
    assert_eq!(ids, expected);
    assert_eq!(events[19].data["choices"][0]["finish_reason"], "length");
    assert_eq!(events[18].data["choices"][0]["finish_reason"], Value::Null);
    assert_eq!(events[19].data["usage"]["prompt_tokens"], 3);
    assert_eq!(events[19].data["id"], "r1");
    let mut unstreamed = body(prompt, 20);
    unstreamed["stream"] = json!(false);
    let reply = peer.ok("POST", "/v1/completions", unstreamed).await;
    assert_eq!(reply["choices"][0]["text"], answer(prompt, 20));
}

#[tokio::test]
async fn cut_stream_resumes_after_the_last_event() {
    let peer = engine(fast()).await;
    peer.ok("PUT", "/faults", json!({ "cut_after_tokens": 5, "cut_streams": 1 })).await;
    let (before, whole) = streamed(&peer, "r1", body("go on", 30)).await;
    assert!(!whole);
    assert_eq!(joined(&before), answer("go on", 5));
    let (after, whole) = resumed(&peer, "r1", "4").await;
    assert!(whole);
    assert_eq!(after[0].id, Some(5));
    assert_eq!(joined(&before) + &joined(&after), answer("go on", 30));
    let unknown = peer.call("GET", "/v1/completions/r2", json!({})).await.expect("a reply");
    assert_eq!(unknown.0, 404);
    let entry = entry(&peer, "r1").await;
    assert_eq!(entry["dispatches"], 1);
    assert_eq!(entry["generated"], 30);
    assert_eq!(entry["prefilled_tokens"], 2);
    assert_eq!(entry["finished"], true);
}

#[tokio::test]
async fn import_of_an_export_computes_no_prefill() {
    let (from, to) = (engine(fast()).await, engine(fast()).await);
    let prompt = "word ".repeat(600);
    let begun = tokio::spawn({
        let (from, body) = (from.clone(), body(&prompt, 2000));
        async move { streamed(&from, "r1", body).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let export = from.ok("POST", "/v1/completions/r1/export", json!({})).await;
    let k = export["generated"].as_u64().expect("a number");
    assert!(k > 0 && k < 2000, "{k}");
    assert_eq!(export["kv_transfer_params"]["prompt_tokens"], 600);
    let (before, _) = begun.await.expect("no panic");
    assert_eq!(joined(&before), answer(&prompt, k));
    let mut import = body(&prompt, k + 10);
    import["kv_transfer_params"] = json!({ "handle": export["kv_transfer_params"]["handle"] });
    import["resume_from"] = json!(k);
    let (after, _) = streamed(&to, "r1", import.clone()).await;
    assert_eq!(after[0].id, Some(k));
    assert_eq!(joined(&before) + &joined(&after), answer(&prompt, k + 10));
    let moved = entry(&to, "r1").await;
    assert_eq!(moved["prefilled_tokens"], 0);
    assert_eq!(moved["generated"], 10);
    assert_eq!(entry(&from, "r1").await["prefilled_tokens"], 600);
    import["prompt"] = json!("another prompt");
    let refused = to.call("POST", "/v1/completions", import).await.expect("a reply");
    assert_eq!(refused.0, 409);
}

#[tokio::test]
async fn import_of_an_unfinished_prefill_computes_the_rest() {
    let slow = Settings { prefill_tokens_per_second: 5_000.0, ..fast() };
    let (from, to) = (engine(slow.clone()).await, engine(slow).await);
    let prompt = "word ".repeat(5_000);
    let begun = tokio::spawn({
        let (from, body) = (from.clone(), body(&prompt, 3));
        async move { streamed(&from, "r1", body).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let export = from.ok("POST", "/v1/completions/r1/export", json!({})).await;
    assert_eq!(export["generated"], 0);
    assert_eq!(joined(&begun.await.expect("no panic").0), "");
    let mut import = body(&prompt, 3);
    import["kv_transfer_params"] = json!({ "handle": export["kv_transfer_params"]["handle"] });
    let (after, _) = streamed(&to, "r1", import).await;
    assert_eq!(joined(&after), answer(&prompt, 3));
    let moved = entry(&to, "r1").await;
    assert_eq!((&moved["resumptions"], &moved["dispatches"]), (&json!(1), &json!(1)));
    let rest = moved["prefilled_tokens"].as_u64().expect("a number");
    assert!(rest > 0 && rest < 5_000, "{rest}");
    // A chunk that was being computed at the export is lost.
    let first = entry(&from, "r1").await["prefilled_tokens"].as_u64().expect("a number");
    assert!((5_000..=5_512).contains(&(first + rest)), "{first} and {rest}");
}

#[tokio::test]
async fn poison_crashes_and_the_engine_comes_back_cold() {
    let peer = engine(fast()).await;
    let prompt = "warm ".repeat(128);
    streamed(&peer, "warm", body(&prompt, 2)).await;
    let (cached, _) = streamed(&peer, "cached", body(&prompt, 2)).await;
    assert_eq!(cached[1].data["usage"]["prompt_tokens_details"]["cached_tokens"], 128);
    peer.ok("PUT", "/faults", json!({ "poison": "venom", "restart_ms": 1000 })).await;
    let long = tokio::spawn({
        let peer = peer.clone();
        async move { streamed(&peer, "bystander", body("a b", 5000)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let poisoned = body("some venom here", 5);
    let cut = match peer.open("POST", "/v1/completions", &[], &poisoned).await {
        Some(reply) => !events(reply).await.1,
        None => true,
    };
    assert!(cut);
    assert!(!long.await.expect("no panic").1);
    assert_eq!(peer.call("GET", "/journal", json!({})).await, None);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let journal = peer.ok("GET", "/journal", json!({})).await;
    assert_eq!(journal["crashes"], 1);
    assert_eq!(entry(&peer, "bystander").await["finished"], false);
    let lost = peer.call("GET", "/v1/completions/warm", json!({})).await.expect("a reply");
    assert_eq!(lost.0, 404);
    let (cold, _) = streamed(&peer, "cold", body(&prompt, 2)).await;
    assert_eq!(cold[1].data["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_loses_what_arrives_beside_it() {
    let peer = engine(fast()).await;
    peer.ok("PUT", "/faults", json!({ "poison": "venom", "restart_ms": 500 })).await;
    for crashes in 1..=8 {
        let poisoned: Vec<_> = (0..16)
            .map(|i| {
                let peer = peer.clone();
                tokio::spawn(async move {
                    let id = format!("r{crashes}-{i}");
                    let headers = [("x-request-id", id.as_str())];
                    let body = body("some venom here", 5);
                    match peer.open("POST", "/v1/completions", &headers, &body).await {
                        Some(reply) => events(reply).await.1,
                        None => false,
                    }
                })
            })
            .collect();
        for whole in poisoned {
            assert!(!whole.await.expect("no panic"));
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(peer.ok("GET", "/journal", json!({})).await["crashes"], crashes);
    }
}

#[tokio::test]
async fn journal_counts_dispatches_cache_and_cancellation() {
    let peer = engine(fast()).await;
    let prompt = "w ".repeat(100);
    streamed(&peer, "r1", body(&prompt, 3)).await;
    streamed(&peer, "r1", body(&prompt, 3)).await;
    let twice = entry(&peer, "r1").await;
    assert_eq!(twice["dispatches"], 2);
    assert_eq!(twice["prompt_tokens"], 100);
    assert_eq!(twice["prefilled_tokens"], 100 + 36);
    assert_eq!(twice["generated"], 6);
    let long = tokio::spawn({
        let peer = peer.clone();
        async move { streamed(&peer, "r2", body("a b", 5000)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let reply = peer.ok("DELETE", "/v1/completions/r2", json!({})).await;
    assert_eq!(reply["cancelled"], true);
    let reply = peer.ok("DELETE", "/v1/completions/r2", json!({})).await;
    assert_eq!(reply["cancelled"], false);
    let (ended, whole) = long.await.expect("no panic");
    assert!(whole);
    assert_eq!(ended[ended.len() - 2].data["choices"][0]["finish_reason"], "abort");
    let cancelled = entry(&peer, "r2").await;
    assert_eq!(cancelled["cancelled"], true);
    assert_eq!(cancelled["finished"], false);
    peer.ok("DELETE", "/journal", json!({})).await;
    assert_eq!(entry(&peer, "r1").await, Value::Null);
}

#[tokio::test]
async fn overfull_memory_evicts_the_youngest_and_answers_stay_whole() {
    let peer = engine(Settings { kv_tokens: 50, ..Settings::default() }).await;
    let (first, second) = tokio::join!(
        streamed(&peer, "r1", body("one two", 40)),
        streamed(&peer, "r2", body("three four", 40)),
    );
    assert_eq!(joined(&first.0), answer("one two", 40));
    assert_eq!(joined(&second.0), answer("three four", 40));
    let journal = peer.ok("GET", "/journal", json!({})).await;
    assert_eq!(journal["evictions"], 1);
    // What was generated before an eviction is computed again and not generated again.
    assert_eq!(entry(&peer, "r1").await["generated"], 40);
    assert_eq!(entry(&peer, "r2").await["generated"], 40);
}

#[tokio::test]
async fn stream_faults_show_in_the_stream() {
    let peer = engine(fast()).await;
    streamed(&peer, "r0", body("x", 2)).await;
    peer.ok("PUT", "/faults", json!({ "truncate": 1 })).await;
    let (short, whole) = streamed(&peer, "r1", body("x", 10)).await;
    assert!(whole);
    assert_eq!(joined(&short), answer("x", 5));
    assert!(short.iter().all(|event| event.data != Value::Null));
    peer.ok("PUT", "/faults", json!({ "duplicate_events": 1 })).await;
    let (repeated, _) = streamed(&peer, "r2", body("x", 10)).await;
    assert_eq!(repeated.len(), 12);
    assert_eq!(repeated[5], repeated[6]);
    peer.ok("PUT", "/faults", json!({ "mislabel": 1 })).await;
    let (strange, _) = streamed(&peer, "r3", body("x", 2)).await;
    assert_eq!(strange[0].data["id"], "r2");
}

#[tokio::test]
async fn orders_are_fenced_and_reports_are_late() {
    let peer = engine(Settings { checks_fencing: true, load_ms: 20, ..fast() }).await;
    let order = |version: &str, fencing: u64| json!({ "model": "model", "version": version, "role": "decode", "fencing": fencing });
    let state = peer.ok("PUT", "/v1/state", order("2", 5)).await;
    assert_eq!(state["version"], "2");
    let stale = peer.call("PUT", "/v1/state", order("1", 4)).await.expect("a reply");
    assert_eq!(stale.0, 409);
    let bad = peer.call("PUT", "/v1/state", order("bad", 6)).await.expect("a reply");
    assert_eq!(bad.0, 500);
    let state = peer.ok("GET", "/v1/state", json!({})).await;
    assert_eq!((&state["version"], &state["fencing"]), (&json!("2"), &json!(6)));
    let long = tokio::spawn({
        let peer = peer.clone();
        async move { streamed(&peer, "r1", body("a b", 5000)).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = peer.open("GET", "/metrics", &[], &Value::Null).await.expect("a reply");
    let text = common::next_piece(&mut { reply }).await.expect("a body").expect("uncut");
    assert!(text.contains("vllm:num_requests_running{model_name=\"model\"} 1\n"), "{text}");
    peer.ok("DELETE", "/v1/completions/r1", json!({})).await;
    long.await.expect("no panic");
}

#[tokio::test]
async fn resume_from_without_a_handle_prefills_the_answer_too() {
    let peer = engine(fast()).await;
    let mut resuming = body("one two three", 12);
    resuming["resume_from"] = json!(7);
    let (events, _) = streamed(&peer, "r1", resuming).await;
    assert_eq!(events[0].id, Some(7));
    assert_eq!(answer("one two three", 7) + &joined(&events), answer("one two three", 12));
    let entry = entry(&peer, "r1").await;
    assert_eq!(entry["prefilled_tokens"], 10);
    assert_eq!(entry["generated"], 5);
}

#[tokio::test]
async fn cache_events_are_numbered_late_and_may_be_dropped() {
    let peer = engine(Settings { cache_tokens: 128, report_lag_ms: 300, ..fast() }).await;
    let (first, second) = ("a ".repeat(128), "b ".repeat(64));
    let mut reply = peer.open("GET", "/kv_events", &[], &Value::Null).await.expect("a reply");
    streamed(&peer, "r1", body(&first, 1)).await;
    streamed(&peer, "r2", body(&second, 1)).await;
    let early = timeout(Duration::from_millis(100), common::next_piece(&mut reply)).await;
    assert!(early.is_err());
    let mut seen = Vec::new();
    for _ in 0..3 {
        let piece = common::next_piece(&mut reply).await.expect("an event").expect("uncut");
        let data = piece.lines().nth(1).and_then(|line| line.strip_prefix("data: "));
        seen.push(serde_json::from_str::<Value>(data.expect("data")).expect("JSON"));
    }
    assert_eq!(seen[0]["block_hashes"], json!(block_hashes(&first)));
    assert_eq!(seen[1]["block_hashes"], json!(block_hashes(&second)));
    // The last block of the older chain goes first.
    let removed = json!({ "type": "BlockRemoved", "block_hashes": [block_hashes(&first)[1]] });
    assert_eq!(seen[2], removed);
    peer.ok("PUT", "/faults", json!({ "drop_kv_events_every": 2 })).await;
    let mut reply = peer.open("GET", "/kv_events", &[], &Value::Null).await.expect("a reply");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let piece = common::next_piece(&mut reply).await.expect("an event").expect("uncut");
        ids.push(piece.lines().next().expect("a line").to_owned());
    }
    assert_eq!(ids, ["id: 0", "id: 2"]);
}
