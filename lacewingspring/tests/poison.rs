//! Requests that crash the engines that run them, counted at the engines.

use std::time::Duration;

use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::support::{
    Fleet, FleetConfig, call,
    caller::{Reply, desk_credential, key_header, try_complete},
    history::CallerOutcome,
    http::Answer,
    operator_credential,
};

mod support;

/// Text that crashes an engine.
const POISON: &str = "xyzzy";

/// Times that the poisonous prompt is sent.
const SENT: usize = 12;

/// Innocent requests that run beside it.
const INNOCENT: usize = 8;

async fn start(switch_off: &'static [&'static str]) -> Fleet {
    let plan = FleetConfig { instances: 3, engines: 4, switch_off, ..FleetConfig::default() };
    let fleet = Fleet::start(plan).await;
    for engine in &fleet.engines {
        fleet.inject_faults(*engine, json!({ "poison": POISON, "restart_ms": 500 })).await;
    }
    fleet
}

/// Counts the crashes of each engine.
async fn crashes(fleet: &Fleet) -> Vec<u64> {
    let mut crashes = Vec::new();
    for engine in &fleet.engines {
        crashes.push(fleet.journal(*engine).await["crashes"].as_u64().expect("a count"));
    }
    crashes
}

async fn crash_count(fleet: &Fleet) -> u64 {
    crashes(fleet).await.iter().sum()
}

/// Prints what was decided about a request at the instance that was asked.
async fn print_steps(fleet: &Fleet, i: usize, request_key: &str) {
    let at = fleet.instances[i % fleet.instances.len()].caller_address;
    let path = format!("/operator/v1/explain?workspace=desk&key={request_key}");
    let answer = call(at, "GET", &path, &[operator_credential()], String::new()).await;
    println!("{request_key}: {}", answer.map(|answer| answer.body).unwrap_or_default());
}

/// Prints the crashes of each engine, and status, kind and steps of each request.
async fn print_course(fleet: &Fleet, answers: &[Answer], beside: &[Reply]) {
    println!("crashes of each engine {:?}", crashes(fleet).await);
    for (i, answer) in answers.iter().enumerate() {
        println!("poison {}: {} {}", i, answer.status, answer.json()["kind"]);
        print_steps(fleet, i, &format!("poison-{i}")).await;
    }
    for (i, reply) in beside.iter().enumerate() {
        println!("beside {i}: {reply:?}");
        print_steps(fleet, i, &format!("beside-{i}")).await;
    }
}

async fn send_poison(at: std::net::SocketAddr, request_key: String) -> Answer {
    let prompt = format!("a dossier with {POISON} in it");
    let body = json!({ "model": "lookup", "prompt": prompt, "max_tokens": 4 }).to_string();
    let headers = [desk_credential(), key_header(&request_key)];
    call(at, "POST", "/v1/completions", &headers, body).await.expect("an answer")
}

/// Sends the poisonous prompt under new keys to the instances in turn, two thirds at once.
async fn send_all(fleet: &Fleet) -> Vec<Answer> {
    let at = |i: usize| fleet.instances[i % fleet.instances.len()].caller_address;
    let together = SENT * 2 / 3;
    let sent: Vec<_> =
        (0..together).map(|i| tokio::spawn(send_poison(at(i), format!("poison-{i}")))).collect();
    let mut answers = Vec::new();
    for task in sent {
        answers.push(task.await.expect("an answer"));
    }
    for i in together..SENT {
        answers.push(send_poison(at(i), format!("poison-{i}")).await);
        sleep(Duration::from_millis(200)).await;
    }
    answers
}

fn innocent(fleet: &Fleet, name: &'static str) -> Vec<JoinHandle<Reply>> {
    let send = |i: usize| {
        let at = fleet.instances[i % fleet.instances.len()].caller_address;
        let (request_key, prompt) = (format!("{name}-{i}"), format!("innocent dossier {i}"));
        tokio::spawn(async move { try_complete(at, "lookup", &request_key, &prompt, 400).await })
    };
    (0..INNOCENT).map(send).collect()
}

async fn all_told(tasks: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await.expect("an answer"));
    }
    told
}

fn answered(told: &[Reply]) -> usize {
    told.iter().filter(|told| matches!(told.outcome, CallerOutcome::Answer(_))).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn takes_down_at_most_two_engines_and_blames_no_neighbour() {
    let fleet = start(&[]).await;
    let beside = innocent(&fleet, "beside");
    sleep(Duration::from_millis(100)).await;
    let answers = send_all(&fleet).await;
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    let beside = all_told(beside).await;
    print_course(&fleet, &answers, &beside).await;
    let crashes = crash_count(&fleet).await;
    println!("{crashes} crashes, answers {statuses:?}, {} beside answered", answered(&beside));
    assert!(crashes <= 2, "{crashes} crashes");
    assert!(statuses.iter().all(|status| *status != 200), "{statuses:?}");
    let last = answers.last().expect("an answer");
    assert_eq!((last.status, &last.json()["kind"]), (422, &json!("quarantined")));
    assert!(beside.iter().all(|reply| reply.outcome != CallerOutcome::NotRun), "{beside:?}");
    let again = all_told(innocent(&fleet, "again")).await;
    assert_eq!(answered(&again), INNOCENT, "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crashes_more_engines_without_the_watch() {
    let fleet = start(&["poison_watch"]).await;
    send_all(&fleet).await;
    let crashes = crash_count(&fleet).await;
    println!("{crashes} crashes without the watch");
    assert!(crashes > 2, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_fleet_still_knows() {
    let mut fleet = start(&[]).await;
    let answers = send_all(&fleet).await;
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
