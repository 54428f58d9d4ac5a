//! Measures the time to first token that an instance adds to direct calls to the same engine.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::json;
use tokio::time::timeout;

use super::{
    caller::MODEL,
    client::{OutgoingRequest, send_request},
    deploy::completion_probe,
    scenario::Deployment,
    stats::{Percentiles, percentiles, record},
};

/// Warm-up requests on each path, which are not measured.
const WARM_UP_REQUESTS: usize = 50;

/// Words per prompt.
const PROMPT_WORDS: usize = 400;

/// Longest wait for one complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Alternates direct calls and calls through an instance, one at a time, and prints both times.
///
/// # Errors
///
/// Fails if the deployment lacks an engine, an instance or a completion service, or if a call isn't
/// answered completely.
pub async fn compare(deployment: &Deployment, requests: usize) -> io::Result<()> {
    let engine = deployment.engines().first().map(|engine| engine.address);
    let instance = deployment.instances().first().map(|instance| instance.address);
    let (Some(engine), Some(instance)) = (engine, instance) else {
        return Err(io::Error::other("the deployment has no engine or no instance"));
    };
    let mut direct_times = Histogram::new(3).expect("valid number of significant digits");
    let mut instance_times = direct_times.clone();
    for number in 0..WARM_UP_REQUESTS + requests {
        let prompt = prompt("direct", number);
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 1, "stream": true });
        let id = ("x-request-id", format!("direct-{number}"));
        let call = OutgoingRequest {
            headers: vec![id],
            body: body.to_string(),
            ..OutgoingRequest::new("POST", "/v1/completions")
        };
        let direct_time = time_to_first_token(engine, &call).await?;
        let call =
            completion_probe(deployment, &self::prompt("routed", number)).ok_or_else(|| {
                io::Error::other("the deployment has no completion service or no workspace")
            })?;
        let instance_time = time_to_first_token(instance, &call).await?;
        if number >= WARM_UP_REQUESTS {
            record(&mut direct_times, direct_time);
            record(&mut instance_times, instance_time);
        }
    }
    print_table(&percentiles(&direct_times), &percentiles(&instance_times));
    Ok(())
}

/// Builds a prompt that shares no prefix with any other, so that the prefix cache never hits.
fn prompt(path: &str, number: usize) -> String {
    (0..PROMPT_WORDS).map(|word| format!("{path}{number}w{word} ")).collect()
}

async fn time_to_first_token(address: SocketAddr, call: &OutgoingRequest) -> io::Result<Duration> {
    let start = Instant::now();
    let exchange = async { send_request(address, call).await?.read_tokens(|| {}).await };
    let complete = timeout(RESPONSE_TIMEOUT, exchange).await?.map_err(io::Error::other)?;
    let first = complete
        .token_times
        .first()
        .ok_or_else(|| io::Error::other("the response holds no token"))?;
    Ok(first.duration_since(start))
}

fn print_table(direct: &Percentiles, instance: &Percentiles) {
    println!("| first token | direct, ms | through an instance, ms | added, ms | ratio |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    for (name, direct_time, instance_time) in
        [("median", direct.p50, instance.p50), ("p99", direct.p99, instance.p99)]
    {
        let (added, ratio) = (instance_time - direct_time, instance_time / direct_time);
        println!("| {name} | {direct_time:.3} | {instance_time:.3} | {added:.3} | {ratio:.2} |");
    }
}
