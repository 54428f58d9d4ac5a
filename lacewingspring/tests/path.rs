//! End-to-end requests from a caller through two instances to the stand-ins.

use serde_json::json;

use crate::support::{DESK_TOKEN, Fleet, FleetConfig, call, get};

mod support;

fn bearer() -> (&'static str, String) {
    ("authorization", format!("Bearer {DESK_TOKEN}"))
}

fn key(key: &str) -> (&'static str, String) {
    ("idempotency-key", key.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn returns_the_complete_text_of_a_completion() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let addresses = get(fleet.instances[0].caller_address, "/v1/addresses").await.unwrap().json();
    assert_eq!(addresses["addresses"].as_array().unwrap().len(), 2);
    let prompt = "who owns plot seven";
    for instance in &fleet.instances {
        let body = json!({ "model": "lookup", "prompt": prompt, "max_tokens": 12, "stream": true });
        let headers = [bearer(), key(&format!("whole-{}", instance.name))];
        let answer =
            call(instance.caller_address, "POST", "/v1/completions", &headers, body.to_string());
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        let expected = lacewingspring_standins::engine::answer(prompt, 12);
        assert_eq!(answer.text(), Some(expected));
    }
    let journal = fleet.journal(fleet.engines[0]).await;
    for run in journal["requests"].as_array().unwrap() {
        assert_eq!(run["dispatches"], 1, "{run}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_a_booking_once_for_the_same_key_at_two_instances() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let body = json!({ "seat": 4, "client": "north" }).to_string();
    let headers = [bearer(), key("booking-1")];
    let mut answers = Vec::new();
    for instance in &fleet.instances {
        let answer = call(
            instance.caller_address,
            "POST",
            "/services/booking/seats",
            &headers,
            body.clone(),
        );
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        answers.push(answer.body);
    }
    assert_eq!(answers[0], answers[1]);
    let journal = fleet.journal(fleet.plain_upstreams[0]).await;
    assert_eq!(journal["calls"].as_array().unwrap().len(), 1);
}
