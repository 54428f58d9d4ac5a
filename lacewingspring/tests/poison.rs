//! Requests that crash the engines that run them, counted at the engines.

use std::time::Duration;

use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::support::{
    Fleet, Plan, call,
    caller::{complete, desk, key},
    history::Told,
    http::Answer,
};

mod support;

/// Text that crashes an engine.
const POISON: &str = "xyzzy";

/// Times that the poisonous prompt is sent.
const SENT: usize = 12;

/// Innocent requests that run beside it.
const INNOCENT: usize = 8;

async fn start(poison_watch: bool) -> Fleet {
    let plan = Plan { instances: 3, engines: 4, poison_watch, ..Plan::default() };
    let fleet = Fleet::start(plan).await;
    for engine in &fleet.engines {
        fleet.fault(*engine, json!({ "poison": POISON, "restart_ms": 500 })).await;
    }
    fleet
}

async fn crashes(fleet: &Fleet) -> u64 {
    let mut crashes = 0;
    for engine in &fleet.engines {
        crashes += fleet.journal(*engine).await["crashes"].as_u64().expect("a count");
    }
    crashes
}

async fn send_poison(at: std::net::SocketAddr, request_key: String) -> Answer {
    let prompt = format!("a dossier with {POISON} in it");
    let body = json!({ "model": "lookup", "prompt": prompt, "max_tokens": 4 }).to_string();
    let headers = [desk(), key(&request_key)];
    call(at, "POST", "/v1/completions", &headers, body).await.expect("an answer")
}

/// Sends the poisonous prompt under new keys to the instances in turn, two thirds at once.
async fn send_all(fleet: &Fleet) -> Vec<Answer> {
    let at = |i: usize| fleet.instances[i % fleet.instances.len()].callers;
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

fn innocent(fleet: &Fleet, name: &'static str) -> Vec<JoinHandle<Told>> {
    let send = |i: usize| {
        let at = fleet.instances[i % fleet.instances.len()].callers;
        let (request_key, prompt) = (format!("{name}-{i}"), format!("innocent dossier {i}"));
        tokio::spawn(async move { complete(at, "lookup", &request_key, &prompt, 40).await })
    };
    (0..INNOCENT).map(send).collect()
}

async fn all_told(tasks: Vec<JoinHandle<Told>>) -> Vec<Told> {
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await.expect("an answer"));
    }
    told
}

fn answered(told: &[Told]) -> usize {
    told.iter().filter(|told| matches!(told, Told::Answer(_))).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn takes_down_at_most_two_engines_and_blames_no_neighbour() {
    let fleet = start(true).await;
    let beside = innocent(&fleet, "beside");
    sleep(Duration::from_millis(100)).await;
    let answers = send_all(&fleet).await;
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    let beside = all_told(beside).await;
    let crashes = crashes(&fleet).await;
    println!("{crashes} crashes, answers {statuses:?}, {} beside answered", answered(&beside));
    assert!(crashes <= 2, "{crashes} crashes");
    assert!(statuses.iter().all(|status| *status != 200), "{statuses:?}");
    let last = answers.last().expect("an answer");
    assert_eq!((last.status, &last.json()["kind"]), (422, &json!("quarantined")));
    assert!(beside.iter().all(|told| *told != Told::NotRun), "{beside:?}");
    let again = all_told(innocent(&fleet, "again")).await;
    assert_eq!(answered(&again), INNOCENT, "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crashes_more_engines_without_the_watch() {
    let fleet = start(false).await;
    send_all(&fleet).await;
    let crashes = crashes(&fleet).await;
    println!("{crashes} crashes without the watch");
    assert!(crashes > 2, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_fleet_still_knows() {
    let mut fleet = start(true).await;
    let answers = send_all(&fleet).await;
    assert_eq!(answers.last().expect("an answer").status, 422);
    let before = crashes(&fleet).await;
    for instance in &mut fleet.instances {
        instance.process.kill();
    }
    for index in 0..fleet.instances.len() {
        fleet.restart(index);
    }
    fleet.wait_until_ready(3).await;
    for i in 0..fleet.instances.len() {
        let answer = send_poison(fleet.instances[i].callers, format!("after-{i}")).await;
        assert_eq!(answer.json()["kind"], "quarantined", "{}", answer.body);
    }
    assert_eq!(crashes(&fleet).await, before);
}
