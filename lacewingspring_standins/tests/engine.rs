//! Tests of the simulated engine: replies, resumption, export, crashes, load orders and journal.

mod common;

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::timeout;

use common::{Event, StandInClient, answer_text, events, start};
use lacewingspring_standins::engine::{Settings, answer, block_hashes, serve};

async fn start_engine(settings: Settings) -> StandInClient {
    start(|listener| serve(listener, settings)).await
}

fn fast_settings() -> Settings {
    Settings { decode_ms: 2.0, report_lag_ms: 50, ..Settings::default() }
}

async fn stream_completion(client: &StandInClient, id: &str, body: Value) -> (Vec<Event>, bool) {
    let headers = [("x-request-id", id)];
    let reply =
        client.open("POST", "/v1/completions", &headers, &body).await.expect("reply received");
    assert_eq!(reply.status(), 200);
    events(reply).await
}

async fn resume_completion(client: &StandInClient, id: &str, last: &str) -> (Vec<Event>, bool) {
    let path = format!("/v1/completions/{id}");
    let headers = [("last-event-id", last)];
    let reply = client.open("GET", &path, &headers, &Value::Null).await.expect("reply received");
    events(reply).await
}

async fn entry(client: &StandInClient, id: &str) -> Value {
    let journal = client.ok("GET", "/journal", json!({})).await;
    let requests = journal["requests"].as_array().expect("array of requests");
    requests.iter().find(|entry| entry["id"] == id).cloned().unwrap_or_default()
}

fn body(prompt: &str, max_tokens: u64) -> Value {
    json!({ "model": "model", "prompt": prompt, "max_tokens": max_tokens, "stream": true })
}

#[tokio::test]
async fn streamed_and_full_replies_match_expected_answer() {
    let client = start_engine(fast_settings()).await;
    let prompt = "say something long";
    let (events, complete) = stream_completion(&client, "r1", body(prompt, 20)).await;
    assert!(complete);
    assert_eq!(answer_text(&events), answer(prompt, 20));
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    let expected: Vec<_> = (0..20).map(Some).chain([None]).collect();
    assert_eq!(ids, expected);
    assert_eq!(events[19].data["choices"][0]["finish_reason"], "length");
    assert_eq!(events[18].data["choices"][0]["finish_reason"], Value::Null);
    assert_eq!(events[19].data["usage"]["prompt_tokens"], 3);
    assert_eq!(events[19].data["id"], "r1");
    let mut unstreamed = body(prompt, 20);
    unstreamed["stream"] = json!(false);
    let reply = client.ok("POST", "/v1/completions", unstreamed).await;
    assert_eq!(reply["choices"][0]["text"], answer(prompt, 20));
}

#[tokio::test]
async fn aborted_stream_resumes_after_last_event_id() {
    let client = start_engine(fast_settings()).await;
    client.ok("PUT", "/faults", json!({ "cut_after_tokens": 5, "cut_streams": 1 })).await;
    let (before, complete) = stream_completion(&client, "r1", body("go on", 30)).await;
    assert!(!complete);
    assert_eq!(answer_text(&before), answer("go on", 5));
    let (after, complete) = resume_completion(&client, "r1", "4").await;
    assert!(complete);
    assert_eq!(after[0].id, Some(5));
    assert_eq!(answer_text(&before) + &answer_text(&after), answer("go on", 30));
    let unknown =
        client.call("GET", "/v1/completions/r2", json!({})).await.expect("reply received");
    assert_eq!(unknown.0, 404);
    let entry = entry(&client, "r1").await;
    assert_eq!(entry["dispatches"], 1);
    assert_eq!(entry["generated"], 30);
    assert_eq!(entry["prefilled_tokens"], 2);
    assert_eq!(entry["finished"], true);
}

#[tokio::test]
async fn importing_an_exported_run_skips_prefill() {
    let (from, to) = (start_engine(fast_settings()).await, start_engine(fast_settings()).await);
    let prompt = "word ".repeat(600);
    let first_run = tokio::spawn({
        let (from, body) = (from.clone(), body(&prompt, 2000));
        async move { stream_completion(&from, "r1", body).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let export = from.ok("POST", "/v1/completions/r1/export", json!({})).await;
    let k = export["generated"].as_u64().expect("number");
    assert!(k > 0 && k < 2000, "{k}");
    assert_eq!(export["kv_transfer_params"]["prompt_tokens"], 600);
    let (before, _) = first_run.await.expect("task completes");
    assert_eq!(answer_text(&before), answer(&prompt, k));
    let mut import = body(&prompt, k + 10);
    import["kv_transfer_params"] = json!({ "handle": export["kv_transfer_params"]["handle"] });
    import["resume_from"] = json!(k);
    let (after, _) = stream_completion(&to, "r1", import.clone()).await;
    assert_eq!(after[0].id, Some(k));
    assert_eq!(answer_text(&before) + &answer_text(&after), answer(&prompt, k + 10));
    let imported = entry(&to, "r1").await;
    assert_eq!(imported["prefilled_tokens"], 0);
    assert_eq!(imported["generated"], 10);
    assert_eq!(entry(&from, "r1").await["prefilled_tokens"], 600);
    import["prompt"] = json!("another prompt");
    let refused = to.call("POST", "/v1/completions", import).await.expect("reply received");
    assert_eq!(refused.0, 409);
}

#[tokio::test]
async fn importing_a_partial_prefill_computes_only_the_rest() {
    let slow = Settings { prefill_tokens_per_second: 5_000.0, ..fast_settings() };
    let (from, to) = (start_engine(slow.clone()).await, start_engine(slow).await);
    let prompt = "word ".repeat(5_000);
    let first_run = tokio::spawn({
        let (from, body) = (from.clone(), body(&prompt, 3));
        async move { stream_completion(&from, "r1", body).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let export = from.ok("POST", "/v1/completions/r1/export", json!({})).await;
    assert_eq!(export["generated"], 0);
    assert_eq!(answer_text(&first_run.await.expect("task completes").0), "");
    let mut import = body(&prompt, 3);
    import["kv_transfer_params"] = json!({ "handle": export["kv_transfer_params"]["handle"] });
    let (after, _) = stream_completion(&to, "r1", import).await;
    assert_eq!(answer_text(&after), answer(&prompt, 3));
    let imported = entry(&to, "r1").await;
    assert_eq!((&imported["resumptions"], &imported["dispatches"]), (&json!(1), &json!(1)));
    let rest = imported["prefilled_tokens"].as_u64().expect("number");
    assert!(rest > 0 && rest < 5_000, "{rest}");
    // The tokens of a step that is in progress at the export are prefilled twice.
    let first = entry(&from, "r1").await["prefilled_tokens"].as_u64().expect("number");
    assert!((5_000..=5_512).contains(&(first + rest)), "{first} and {rest}");
}

#[tokio::test]
async fn poison_prompt_crashes_engine_and_empties_its_cache() {
    let client = start_engine(fast_settings()).await;
    let prompt = "warm ".repeat(128);
    stream_completion(&client, "warm", body(&prompt, 2)).await;
    let (cached, _) = stream_completion(&client, "cached", body(&prompt, 2)).await;
    assert_eq!(cached[1].data["usage"]["prompt_tokens_details"]["cached_tokens"], 128);
    client.ok("PUT", "/faults", json!({ "poison": "venom", "restart_ms": 1000 })).await;
    let long_run = tokio::spawn({
        let client = client.clone();
        async move { stream_completion(&client, "bystander", body("a b", 5000)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let poisoned = body("some venom here", 5);
    let aborted = match client.open("POST", "/v1/completions", &[], &poisoned).await {
        Some(reply) => !events(reply).await.1,
        None => true,
    };
    assert!(aborted);
    assert!(!long_run.await.expect("task completes").1);
    assert_eq!(client.call("GET", "/journal", json!({})).await, None);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let journal = client.ok("GET", "/journal", json!({})).await;
    assert_eq!(journal["crashes"], 1);
    assert_eq!(entry(&client, "bystander").await["finished"], false);
    let lost = client.call("GET", "/v1/completions/warm", json!({})).await.expect("reply received");
    assert_eq!(lost.0, 404);
    let (cold, _) = stream_completion(&client, "cold", body(&prompt, 2)).await;
    assert_eq!(cold[1].data["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
}

// A request that arrives before a crash but is queued after it must be dropped: it would outlive
// the crash and, as its prompt is poisoned here, cause a second one. Concurrent requests provoke
// that order.
#[tokio::test(flavor = "multi_thread")]
async fn crash_aborts_concurrent_requests() {
    let client = start_engine(fast_settings()).await;
    client.ok("PUT", "/faults", json!({ "poison": "venom", "restart_ms": 500 })).await;
    for crashes in 1..=8 {
        let poisoned: Vec<_> = (0..16)
            .map(|i| {
                let client = client.clone();
                tokio::spawn(async move {
                    let id = format!("r{crashes}-{i}");
                    let headers = [("x-request-id", id.as_str())];
                    let body = body("some venom here", 5);
                    match client.open("POST", "/v1/completions", &headers, &body).await {
                        Some(reply) => events(reply).await.1,
                        None => false,
                    }
                })
            })
            .collect();
        for complete in poisoned {
            assert!(!complete.await.expect("task completes"));
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(client.ok("GET", "/journal", json!({})).await["crashes"], crashes);
    }
}

#[tokio::test]
async fn journal_records_dispatches_cache_hits_and_cancellation() {
    let client = start_engine(fast_settings()).await;
    let prompt = "w ".repeat(100);
    stream_completion(&client, "r1", body(&prompt, 3)).await;
    stream_completion(&client, "r1", body(&prompt, 3)).await;
    let twice = entry(&client, "r1").await;
    assert_eq!(twice["dispatches"], 2);
    assert_eq!(twice["prompt_tokens"], 100);
    assert_eq!(twice["prefilled_tokens"], 100 + 36);
    assert_eq!(twice["generated"], 6);
    let long_run = tokio::spawn({
        let client = client.clone();
        async move { stream_completion(&client, "r2", body("a b", 5000)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let reply = client.ok("DELETE", "/v1/completions/r2", json!({})).await;
    assert_eq!(reply["cancelled"], true);
    let reply = client.ok("DELETE", "/v1/completions/r2", json!({})).await;
    assert_eq!(reply["cancelled"], false);
    let (ended, complete) = long_run.await.expect("task completes");
    assert!(complete);
    assert_eq!(ended[ended.len() - 2].data["choices"][0]["finish_reason"], "abort");
    let cancelled = entry(&client, "r2").await;
    assert_eq!(cancelled["cancelled"], true);
    assert_eq!(cancelled["finished"], false);
    client.ok("DELETE", "/journal", json!({})).await;
    assert_eq!(entry(&client, "r1").await, Value::Null);
}

#[tokio::test]
async fn full_memory_evicts_youngest_run_without_losing_or_repeating_tokens() {
    let client = start_engine(Settings { kv_tokens: 50, ..Settings::default() }).await;
    let (first, second) = tokio::join!(
        stream_completion(&client, "r1", body("one two", 40)),
        stream_completion(&client, "r2", body("three four", 40)),
    );
    assert_eq!(answer_text(&first.0), answer("one two", 40));
    assert_eq!(answer_text(&second.0), answer("three four", 40));
    let journal = client.ok("GET", "/journal", json!({})).await;
    assert_eq!(journal["evictions"], 1);
    // Tokens generated before an eviction are prefilled again, not generated again.
    assert_eq!(entry(&client, "r1").await["generated"], 40);
    assert_eq!(entry(&client, "r2").await["generated"], 40);
}

#[tokio::test]
async fn stream_faults_truncate_duplicate_and_mislabel() {
    let client = start_engine(fast_settings()).await;
    stream_completion(&client, "r0", body("x", 2)).await;
    client.ok("PUT", "/faults", json!({ "truncate": 1 })).await;
    let (short, complete) = stream_completion(&client, "r1", body("x", 10)).await;
    assert!(complete);
    assert_eq!(answer_text(&short), answer("x", 5));
    assert!(short.iter().all(|event| event.data != Value::Null));
    client.ok("PUT", "/faults", json!({ "duplicate_events": 1 })).await;
    let (repeated, _) = stream_completion(&client, "r2", body("x", 10)).await;
    assert_eq!(repeated.len(), 12);
    assert_eq!(repeated[5], repeated[6]);
    client.ok("PUT", "/faults", json!({ "mislabel": 1 })).await;
    let (mislabelled, _) = stream_completion(&client, "r3", body("x", 2)).await;
    assert_eq!(mislabelled[0].data["id"], "r2");
}

#[tokio::test]
async fn load_orders_are_fenced_and_metrics_report_running_sequences() {
    let client =
        start_engine(Settings { checks_fencing: true, load_ms: 20, ..fast_settings() }).await;
    let order = |version: &str, fencing: u64| json!({ "model": "model", "version": version, "role": "decode", "fencing": fencing });
    let state = client.ok("PUT", "/v1/state", order("2", 5)).await;
    assert_eq!(state["version"], "2");
    let stale = client.call("PUT", "/v1/state", order("1", 4)).await.expect("reply received");
    assert_eq!(stale.0, 409);
    let bad = client.call("PUT", "/v1/state", order("bad", 6)).await.expect("reply received");
    assert_eq!(bad.0, 500);
    let state = client.ok("GET", "/v1/state", json!({})).await;
    assert_eq!((&state["version"], &state["fencing"]), (&json!("2"), &json!(6)));
    let long_run = tokio::spawn({
        let client = client.clone();
        async move { stream_completion(&client, "r1", body("a b", 5000)).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = client.open("GET", "/metrics", &[], &Value::Null).await.expect("reply received");
    let text = common::next_chunk(&mut { reply })
        .await
        .expect("body received")
        .expect("connection stays open");
    assert!(text.contains("vllm:num_requests_running{model_name=\"model\"} 1\n"), "{text}");
    client.ok("DELETE", "/v1/completions/r1", json!({})).await;
    long_run.await.expect("task completes");
}

#[tokio::test]
async fn resume_without_import_prefills_prompt_and_generated_tokens() {
    let client = start_engine(fast_settings()).await;
    let mut resuming = body("one two three", 12);
    resuming["resume_from"] = json!(7);
    let (events, _) = stream_completion(&client, "r1", resuming).await;
    assert_eq!(events[0].id, Some(7));
    assert_eq!(answer("one two three", 7) + &answer_text(&events), answer("one two three", 12));
    let entry = entry(&client, "r1").await;
    assert_eq!(entry["prefilled_tokens"], 10);
    assert_eq!(entry["generated"], 5);
}

#[tokio::test]
async fn cache_events_are_numbered_delayed_and_droppable() {
    let client =
        start_engine(Settings { cache_tokens: 128, report_lag_ms: 300, ..fast_settings() }).await;
    let (first, second) = ("a ".repeat(128), "b ".repeat(64));
    let mut reply =
        client.open("GET", "/kv_events", &[], &Value::Null).await.expect("reply received");
    stream_completion(&client, "r1", body(&first, 1)).await;
    stream_completion(&client, "r2", body(&second, 1)).await;
    let early = timeout(Duration::from_millis(100), common::next_chunk(&mut reply)).await;
    assert!(early.is_err());
    let mut seen = Vec::new();
    for _ in 0..3 {
        let chunk = common::next_chunk(&mut reply)
            .await
            .expect("event received")
            .expect("connection stays open");
        let data = chunk.lines().nth(1).and_then(|line| line.strip_prefix("data: "));
        seen.push(serde_json::from_str::<Value>(data.expect("data")).expect("JSON"));
    }
    assert_eq!(seen[0]["block_hashes"], json!(block_hashes(&first)));
    assert_eq!(seen[1]["block_hashes"], json!(block_hashes(&second)));
    // The last block of the least recently used chain is evicted first.
    let removed = json!({ "type": "BlockRemoved", "block_hashes": [block_hashes(&first)[1]] });
    assert_eq!(seen[2], removed);
    client.ok("PUT", "/faults", json!({ "drop_kv_events_every": 2 })).await;
    let mut reply =
        client.open("GET", "/kv_events", &[], &Value::Null).await.expect("reply received");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let chunk = common::next_chunk(&mut reply)
            .await
            .expect("event received")
            .expect("connection stays open");
        ids.push(chunk.lines().next().expect("line").to_owned());
    }
    assert_eq!(ids, ["id: 0", "id: 2"]);
}
