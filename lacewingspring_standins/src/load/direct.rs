//! Time that the path adds to the first token, against direct calls to the same engine.

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
    client::{Send, open},
    deploy::probe,
    scenario::Deployment,
    stats::{Percentiles, percentiles, record},
};

/// Requests on each path that are not measured.
const WARM_UP: usize = 50;

/// Words of a prompt.
const PROMPT_WORDS: usize = 400;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Compares calls through an instance with direct ones, in turns, one at a time.
///
/// # Errors
///
/// Fails when a call isn't answered whole.
pub async fn compare(deployment: &Deployment, requests: usize) -> io::Result<()> {
    let engine = deployment.engines().first().map(|engine| engine.address);
    let instance = deployment.instances().first().map(|instance| instance.address);
    let (Some(engine), Some(instance)) = (engine, instance) else {
        return Err(io::Error::other("no engine or no instance"));
    };
    let mut direct = Histogram::new(3).expect("the digits are in range");
    let mut through = direct.clone();
    for number in 0..WARM_UP + requests {
        let prompt = prompt("direct", number);
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 1, "stream": true });
        let id = ("x-request-id", format!("direct-{number}"));
        let call = Send {
            headers: vec![id],
            body: body.to_string(),
            ..Send::new("POST", "/v1/completions")
        };
        let alone = first_token(engine, &call).await?;
        let call = probe(deployment, &self::prompt("routed", number))
            .ok_or_else(|| io::Error::other("no service"))?;
        let routed = first_token(instance, &call).await?;
        if number >= WARM_UP {
            record(&mut direct, alone);
            record(&mut through, routed);
        }
    }
    print(&percentiles(&direct), &percentiles(&through));
    Ok(())
}

/// Prompt that no other shares a prefix with.
fn prompt(path: &str, number: usize) -> String {
    (0..PROMPT_WORDS).map(|word| format!("{path}{number}w{word} ")).collect()
}

async fn first_token(address: SocketAddr, call: &Send) -> io::Result<Duration> {
    let start = Instant::now();
    let exchange = async { open(address, call).await?.tokens(|| {}).await };
    let whole = timeout(ANSWER_TIMEOUT, exchange).await?.map_err(io::Error::other)?;
    let first = whole.tokens.first().ok_or_else(|| io::Error::other("no token"))?;
    Ok(first.duration_since(start))
}

fn print(direct: &Percentiles, through: &Percentiles) {
    println!("| first token | direct, ms | through an instance, ms | added, ms | ratio |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    for (name, alone, routed) in
        [("median", direct.p50, through.p50), ("p99", direct.p99, through.p99)]
    {
        let (added, ratio) = (routed - alone, routed / alone);
        println!("| {name} | {alone:.3} | {routed:.3} | {added:.3} | {ratio:.2} |");
    }
}
