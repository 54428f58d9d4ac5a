//! Requests that crash their engine (poison): the number of crashes, as counted at the engines,
//! stays bounded, and other requests are still answered.

use std::time::Duration;

use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::support::{
    Fleet, FleetConfig, call,
    caller::{Reply, desk_credential, key_header, try_complete},
    history::CallerOutcome,
    http::Response,
    operator_credential,
};

mod support;

/// Text in a prompt that makes an engine crash.
const POISON: &str = "xyzzy";

/// Number of times that the test sends the poisonous prompt.
const POISON_REQUESTS: usize = 12;

/// Number of harmless requests that run concurrently.
const HARMLESS_REQUESTS: usize = 8;

async fn start(switch_off: &'static [&'static str]) -> Fleet {
    let config = FleetConfig { instances: 3, engines: 4, switch_off, ..FleetConfig::default() };
    let fleet = Fleet::start(config).await;
    for engine in &fleet.engines {
        fleet.inject_faults(*engine, json!({ "poison": POISON, "restart_ms": 500 })).await;
    }
    fleet
}

/// Counts the crashes of each engine.
async fn crashes_per_engine(fleet: &Fleet) -> Vec<u64> {
    let mut crashes = Vec::new();
    for engine in &fleet.engines {
        crashes.push(fleet.journal(*engine).await["crashes"].as_u64().expect("a count"));
    }
    crashes
}

async fn crash_count(fleet: &Fleet) -> u64 {
    crashes_per_engine(fleet).await.iter().sum()
}

/// Prints the decisions about a request at the instance that received it.
async fn print_steps(fleet: &Fleet, i: usize, request_key: &str) {
    let at = fleet.instances[i % fleet.instances.len()].caller_address;
    let path = format!("/operator/v1/explain?workspace=desk&key={request_key}");
    let answer = call(at, "GET", &path, &[operator_credential()], String::new()).await;
    println!("{request_key}: {}", answer.map(|answer| answer.body).unwrap_or_default());
}

/// Prints the crashes of each engine, and the reply and the decisions of each request.
async fn print_diagnostics(fleet: &Fleet, answers: &[Response], harmless: &[Reply]) {
    println!("crashes of each engine {:?}", crashes_per_engine(fleet).await);
    for (i, answer) in answers.iter().enumerate() {
        println!("poison {}: {} {}", i, answer.status, answer.json()["kind"]);
        print_steps(fleet, i, &format!("poison-{i}")).await;
    }
    for (i, reply) in harmless.iter().enumerate() {
        println!("harmless {i}: {reply:?}");
        print_steps(fleet, i, &format!("beside-{i}")).await;
    }
}

async fn send_poison(at: std::net::SocketAddr, request_key: String) -> Response {
    let prompt = format!("a dossier with {POISON} in it");
    let body = json!({ "model": "lookup", "prompt": prompt, "max_tokens": 4 }).to_string();
    let headers = [desk_credential(), key_header(&request_key)];
    call(at, "POST", "/v1/completions", &headers, body).await.expect("an answer")
}

/// Sends the poisonous prompt under new keys, round-robin to the instances: two thirds of the
/// requests concurrently, the rest one by one.
async fn send_all_poison(fleet: &Fleet) -> Vec<Response> {
    let at = |i: usize| fleet.instances[i % fleet.instances.len()].caller_address;
    let concurrent = POISON_REQUESTS * 2 / 3;
    let sent: Vec<_> =
        (0..concurrent).map(|i| tokio::spawn(send_poison(at(i), format!("poison-{i}")))).collect();
    let mut answers = Vec::new();
    for task in sent {
        answers.push(task.await.expect("an answer"));
    }
    for i in concurrent..POISON_REQUESTS {
        answers.push(send_poison(at(i), format!("poison-{i}")).await);
        sleep(Duration::from_millis(200)).await;
    }
    answers
}

/// Starts harmless requests whose keys begin with `name`.
fn spawn_harmless(fleet: &Fleet, name: &'static str) -> Vec<JoinHandle<Reply>> {
    let send = |i: usize| {
        let at = fleet.instances[i % fleet.instances.len()].caller_address;
        let (request_key, prompt) = (format!("{name}-{i}"), format!("innocent dossier {i}"));
        tokio::spawn(async move { try_complete(at, "lookup", &request_key, &prompt, 400).await })
    };
    (0..HARMLESS_REQUESTS).map(send).collect()
}

async fn join_replies(tasks: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await.expect("an answer"));
    }
    replies
}

fn answer_count(replies: &[Reply]) -> usize {
    replies.iter().filter(|reply| matches!(reply.outcome, CallerOutcome::Answer(_))).count()
}

/// The first engine crashes before the prompt is a suspect, the second while it runs the prompt
/// alone.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_at_most_two_engines_and_refuses_no_concurrent_request() {
    let fleet = start(&[]).await;
    let harmless = spawn_harmless(&fleet, "beside");
    sleep(Duration::from_millis(100)).await;
    let answers = send_all_poison(&fleet).await;
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    let harmless = join_replies(harmless).await;
    print_diagnostics(&fleet, &answers, &harmless).await;
    let crashes = crash_count(&fleet).await;
    println!(
        "{crashes} crashes, answers {statuses:?}, {} harmless requests answered",
        answer_count(&harmless)
    );
    assert!(crashes <= 2, "{crashes} crashes");
    assert!(statuses.iter().all(|status| *status != 200), "{statuses:?}");
    let last = answers.last().expect("an answer");
    assert_eq!((last.status, &last.json()["kind"]), (422, &json!("quarantined")));
    assert!(harmless.iter().all(|reply| reply.outcome != CallerOutcome::NotRun), "{harmless:?}");
    let again = join_replies(spawn_harmless(&fleet, "again")).await;
    assert_eq!(answer_count(&again), HARMLESS_REQUESTS, "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_poison_detection_more_engines_crash() {
    let fleet = start(&["poison_watch"]).await;
    send_all_poison(&fleet).await;
    let crashes = crash_count(&fleet).await;
    println!("{crashes} crashes without poison detection");
    assert!(crashes > 2, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantine_survives_a_restart_of_all_instances() {
    let mut fleet = start(&[]).await;
    let answers = send_all_poison(&fleet).await;
    assert_eq!(answers.last().expect("an answer").status, 422);
    let before = crash_count(&fleet).await;
    for instance in &mut fleet.instances {
        instance.process.kill();
    }
    for index in 0..fleet.instances.len() {
        fleet.restart(index);
    }
    fleet.wait_until_ready(3).await;
    for i in 0..fleet.instances.len() {
        let answer = send_poison(fleet.instances[i].caller_address, format!("after-{i}")).await;
        assert_eq!(answer.json()["kind"], "quarantined", "{}", answer.body);
    }
    assert_eq!(crash_count(&fleet).await, before);
}
