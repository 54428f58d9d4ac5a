//! Reports of an engine, all of them late: metrics and cache events.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::{interval, sleep};

use super::{Engine, sim::Load};
use crate::{
    http::{Call, Reply, StreamSender, lock, send, stream, whole},
    time::now_ms,
};

/// Time between two looks at the load, in milliseconds.
const TICK_MS: u64 = 20;

/// Loads of late, the oldest of which is reported.
#[derive(Default)]
pub struct Reports {
    loads: VecDeque<(u64, Load)>,
}

/// Collects the load from time to time.
pub async fn collect(engine: Arc<Engine>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    loop {
        ticks.tick().await;
        if engine.faults.get().freeze_report {
            continue;
        }
        let load = lock(&engine.sim).load();
        let mut reports = lock(&engine.reports);
        reports.loads.push_back((now_ms(), load));
        let due = now_ms().saturating_sub(engine.settings.report_lag_ms);
        while reports.loads.get(1).is_some_and(|(at, _)| *at <= due) {
            reports.loads.pop_front();
        }
    }
}

/// Answers `GET /metrics`.
pub fn metrics(engine: &Engine) -> Reply {
    let load = lock(&engine.reports).loads.front().map_or_else(Load::default, |(_, load)| *load);
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
    whole(200, "text/plain; version=0.0.4", text)
}

/// Answers `GET /kv_events` with the events after `Last-Event-ID`, or else all that are kept.
pub fn cache_events(engine: Arc<Engine>, call: &Call) -> Reply {
    let last = call.header("last-event-id").and_then(|n| n.parse::<u64>().ok());
    let (tx, reply) = stream("text/event-stream");
    tokio::spawn(follow(engine, last.map_or(0, |n| n + 1), tx));
    reply
}

async fn follow(engine: Arc<Engine>, mut next: u64, tx: StreamSender) {
    while !tx.is_closed() {
        let due = now_ms().saturating_sub(engine.settings.report_lag_ms);
        let events = lock(&engine.sim).cache.events(next, due);
        for event in events {
            next = event.number + 1;
            let every = engine.faults.get().drop_kv_events_every;
            if every > 0 && event.number % every == every - 1 {
                continue;
            }
            let text = format!("id: {}\ndata: {}\n\n", event.number, event.data);
            if !send(&tx, text).await {
                return;
            }
        }
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}
