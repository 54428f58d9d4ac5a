//! The operator API against a fleet of daemon processes.

use serde_json::{Value, json};

use crate::support::{
    Fleet, FleetConfig, call,
    caller::{complete, desk_credential},
    http::Response,
    operator_credential,
};

mod support;

async fn get_from_operator_api(fleet: &Fleet, path: &str) -> Response {
    let at = fleet.instances[0].caller_address;
    call(at, "GET", &format!("/operator/v1/{path}"), &[operator_credential()], String::new())
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn shows_metrics_and_explains_a_request() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let at = fleet.instances[0].caller_address;
    complete(at, "lookup", "explained/1", "plot seven", 5).await;
    let explained =
        get_from_operator_api(&fleet, "explain?workspace=desk&key=explained%2F1").await.json();
    let reasons: Vec<_> = explained["steps"].as_array().unwrap().iter().collect();
    let reasons: Vec<_> = reasons.iter().filter_map(|step| step["reason"].as_str()).collect();
    assert_eq!(reasons, ["accepted", "permitted", "answered"]);
    let metrics = get_from_operator_api(&fleet, "metrics").await.json();
    assert!(metrics["tiers"]["counter"]["answered"].as_u64().unwrap() >= 1, "{metrics}");
    let histograms = metrics["histograms"].as_array().unwrap();
    let is_first_token =
        |row: &&Value| row["metric"] == "first_token" && row["workspace"] == "desk";
    assert!(
        histograms.iter().find(is_first_token).is_some_and(|row| row["count"].as_u64() > Some(0))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_workspace_credentials_at_the_operator_api_and_the_reverse() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let at = fleet.instances[0].caller_address;
    for path in ["metrics", "explain?workspace=desk&key=a", "resources", "status"] {
        let path = format!("/operator/v1/{path}");
        for headers in [vec![], vec![desk_credential()]] {
            let answer = call(at, "GET", &path, &headers, String::new()).await.unwrap();
            assert_eq!(answer.status, 401, "{path}");
        }
    }
    let body = json!({ "model": "lookup", "prompt": "x" }).to_string();
    let answer = call(at, "POST", "/v1/completions", &[operator_credential()], body).await.unwrap();
    assert_eq!(answer.status, 401);
}
