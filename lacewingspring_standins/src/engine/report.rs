//! Metrics and cache events of an engine, both published after `report_lag_ms`.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::{interval, sleep};

use super::{Engine, sim::EngineLoad};
use crate::{
    http::{Call, Reply, StreamSender, full, lock, send, stream},
    time::now_ms,
};

/// Interval between load samples, and between polls for cache events, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Recent load samples with their times in milliseconds, oldest first. The oldest is the one
/// reported.
#[derive(Default)]
pub struct LoadSamples {
    samples: VecDeque<(u64, EngineLoad)>,
}

/// Samples the load periodically. Keeps the newest sample that is at least `report_lag_ms` old,
/// which is the one reported, and the later ones.
pub async fn sample_load(engine: Arc<Engine>) {
    let mut ticks = interval(Duration::from_millis(POLL_INTERVAL_MS));
    loop {
        ticks.tick().await;
        if engine.faults.get().freeze_report {
            continue;
        }
        let load = lock(&engine.sim).load();
        let mut load_samples = lock(&engine.load_samples);
        load_samples.samples.push_back((now_ms(), load));
        let due = now_ms().saturating_sub(engine.settings.report_lag_ms);
        while load_samples.samples.get(1).is_some_and(|(at, _)| *at <= due) {
            load_samples.samples.pop_front();
        }
    }
}

/// Handles `GET /metrics`.
pub fn metrics(engine: &Engine) -> Reply {
    let load = lock(&engine.load_samples)
        .samples
        .front()
        .map_or_else(EngineLoad::default, |(_, load)| *load);
    let model = engine.settings.models.first().map_or("", String::as_str);
    let values = if engine.faults.get().absurd_report {
        ["-5".to_owned(), "1e18".to_owned(), "NaN".to_owned()]
    } else {
        [load.running.to_string(), load.waiting.to_string(), load.kv_usage.to_string()]
    };
    let names = ["num_requests_running", "num_requests_waiting", "kv_cache_usage_perc"];
    let mut text = String::new();
    for (name, value) in names.iter().zip(&values) {
        text += &format!("# TYPE vllm:{name} gauge\n");
        text += &format!("vllm:{name}{{model_name=\"{model}\"}} {value}\n");
    }
    full(200, "text/plain; version=0.0.4", text)
}

/// Handles `GET /kv_events`: streams the events after `Last-Event-ID`, or all kept ones without it.
pub fn cache_events(engine: Arc<Engine>, call: &Call) -> Reply {
    let last = call.header("last-event-id").and_then(|n| n.parse::<u64>().ok());
    let (tx, reply) = stream("text/event-stream");
    tokio::spawn(stream_cache_events(engine, last.map_or(0, |n| n + 1), tx));
    reply
}

async fn stream_cache_events(engine: Arc<Engine>, mut next: u64, tx: StreamSender) {
    while !tx.is_closed() {
        let due = now_ms().saturating_sub(engine.settings.report_lag_ms);
        let events = lock(&engine.sim).cache.events(next, due);
        for event in events {
            next = event.sequence + 1;
            let every = engine.faults.get().drop_kv_events_every;
            if every > 0 && event.sequence % every == every - 1 {
                continue;
            }
            let text = format!("id: {}\ndata: {}\n\n", event.sequence, event.data);
            if !send(&tx, text).await {
                return;
            }
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
