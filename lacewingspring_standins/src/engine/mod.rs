//! Simulated inference engine: continuous batching in real time behind the OpenAI completions API.

mod answer;
mod cache;
mod completions;
mod handles;
mod journal;
mod report;
mod run;
mod sim;
mod state;

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use clap::Args;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    time::{Instant, sleep_until},
};

pub use self::answer::{answer, block_hashes, sha8};
use self::{
    report::LoadSamples,
    run::{Progress, Request},
    sim::Sim,
    state::ModelState,
};
use crate::{
    faults::Faults,
    http::{AbortError, Call, CrashSimulator, Reply, accept, error, json, lock},
    time::sleep_ms,
};

/// Maximum lag behind real time that the simulated steps make up by shorter sleeps; lag beyond it
/// is not made up.
const MAX_STEP_LAG: Duration = Duration::from_millis(50);

/// Settings of an engine.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Prefill throughput, in prompt tokens per second.
    #[arg(long, default_value_t = 20_000.0)]
    pub prefill_tokens_per_second: f64,
    /// Duration of a decode step with one running sequence, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    pub decode_ms: f64,
    /// Increase of the duration of a decode step per further running sequence, in milliseconds.
    #[arg(long, default_value_t = 0.3)]
    pub decode_ms_per_sequence: f64,
    /// Maximum number of running sequences.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Capacity of the key-value cache for running sequences, in tokens.
    #[arg(long, default_value_t = 200_000)]
    pub kv_tokens: u64,
    /// Capacity of the prefix cache, in tokens.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: u64,
    /// Name of the served model. Repeat it to serve the model under several names.
    #[arg(long = "model", default_value = "model")]
    pub models: Vec<String>,
    /// Delay of the metrics and cache events, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub report_lag_ms: u64,
    /// Refuses load orders whose fencing number is lower than the last accepted one.
    #[arg(long)]
    pub checks_fencing: bool,
    /// Retention of ended runs and exported handles, in milliseconds.
    #[arg(long, default_value_t = 15_000)]
    pub retention_ms: u64,
    /// Duration of the load of a model, adapter or version, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub load_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000.0,
            decode_ms: 10.0,
            decode_ms_per_sequence: 0.3,
            slots: 16,
            kv_tokens: 200_000,
            cache_tokens: 100_000,
            models: vec!["model".to_owned()],
            report_lag_ms: 500,
            checks_fencing: false,
            retention_ms: 15_000,
            load_ms: 500,
        }
    }
}

/// Fault settings of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineFaults {
    /// Factor on the duration of steps and loads.
    slow_factor: f64,
    /// Crashes the engine when it admits a prompt that contains this text, unless an import
    /// replaces the prefill; empty disables the fault.
    poison: String,
    /// Downtime after a crash, in milliseconds.
    restart_ms: u64,
    /// Simulates a crash. Resets to false once the crash is scheduled.
    crash_now: bool,
    /// Number of upcoming streams that end halfway, without a finish reason or `[DONE]`.
    truncate: u64,
    /// Number of upcoming replies that carry the identifier of another request.
    mislabel: u64,
    /// Number of upcoming streams that repeat an event.
    duplicate_events: u64,
    /// Number of tokens after which the streams of `cut_streams` are closed.
    cut_after_tokens: u64,
    /// Number of upcoming streams whose connection is closed after `cut_after_tokens`.
    cut_streams: u64,
    /// Stops updating the metrics.
    freeze_report: bool,
    /// Reports implausible metrics: a negative number, a huge number and NaN.
    absurd_report: bool,
    /// Drops every n-th cache event, leaving a gap in the sequence numbers; 0 disables the fault.
    drop_kv_events_every: u64,
}

/// State of one engine.
struct Engine {
    settings: Settings,
    faults: Faults<EngineFaults>,
    sim: Mutex<Sim>,
    state: Mutex<ModelState>,
    load_samples: Mutex<LoadSamples>,
    crash_simulator: Arc<CrashSimulator>,
    /// Wakes the idle simulation when a run is queued.
    run_queued: Notify,
}

/// Runs one engine until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let faults = EngineFaults {
        slow_factor: 1.0,
        poison: String::new(),
        restart_ms: 1000,
        crash_now: false,
        truncate: 0,
        mislabel: 0,
        duplicate_events: 0,
        cut_after_tokens: 0,
        cut_streams: 0,
        freeze_report: false,
        absurd_report: false,
        drop_kv_events_every: 0,
    };
    let crash_simulator = Arc::<CrashSimulator>::default();
    let engine = Arc::new(Engine {
        faults: Faults::new(faults),
        sim: Mutex::new(Sim::new(settings.clone())),
        state: Mutex::new(ModelState::new(&settings)),
        load_samples: Mutex::default(),
        crash_simulator: crash_simulator.clone(),
        run_queued: Notify::new(),
        settings,
    });
    let handler_engine = engine.clone();
    tokio::select! {
        result = accept(
            listener,
            crash_simulator,
            move |call| handle(handler_engine.clone(), call),
        ) => result,
        () = simulate(engine.clone()) => Ok(()),
        () = report::sample_load(engine) => Ok(()),
    }
}

async fn handle(engine: Arc<Engine>, call: Call) -> Result<Reply, AbortError> {
    let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (call.method.as_str(), segments.as_slice()) {
        ("GET" | "PUT", ["faults"]) => Ok(engine.change_faults(&call)),
        ("GET", ["journal"]) => Ok(json(200, &lock(&engine.sim).journal)),
        ("DELETE", ["journal"]) => {
            lock(&engine.sim).journal.clear();
            Ok(json(200, &json!({})))
        }
        ("GET", ["metrics"]) => Ok(report::metrics(&engine)),
        ("GET", ["kv_events"]) => Ok(report::cache_events(engine.clone(), &call)),
        ("GET", ["v1", "models"]) => Ok(state::models(&engine)),
        ("GET", ["v1", "state"]) => Ok(state::get(&engine)),
        ("PUT", ["v1", "state"]) => Ok(state::put(engine.clone(), &call).await),
        ("POST", ["v1", "completions"]) => completions::create(engine.clone(), &call).await,
        ("GET", ["v1", "completions", id]) => completions::resume(engine.clone(), id, &call),
        ("DELETE", ["v1", "completions", id]) => Ok(completions::cancel(&engine, id)),
        ("POST", ["v1", "completions", id, "export"]) => Ok(completions::export(&engine, id)),
        _ => Ok(error(404, "not found")),
    }
}

/// Runs the simulated steps in real time.
async fn simulate(engine: Arc<Engine>) {
    let mut deadline = Instant::now();
    loop {
        let faults = engine.faults.get();
        let step = lock(&engine.sim).start_step(&faults.poison);
        match step {
            sim::Step::Idle => {
                engine.run_queued.notified().await;
                deadline = Instant::now();
            }
            sim::Step::Poisoned => engine.crash(),
            sim::Step::Work(time) => {
                let earliest = Instant::now() - MAX_STEP_LAG;
                deadline = deadline.max(earliest) + time.mul_f64(faults.slow_factor);
                sleep_until(deadline).await;
                lock(&engine.sim).finish_step();
            }
        }
    }
}

impl Engine {
    fn change_faults(self: &Arc<Self>, call: &Call) -> Reply {
        let reply = self.faults.handle(call);
        let faults = self.faults.get();
        if faults.crash_now {
            self.faults.modify(|f| f.crash_now = false);
            let engine = self.clone();
            tokio::spawn(async move {
                // Lets the reply to `PUT /faults` go out before the connections close.
                sleep_ms(10).await;
                engine.crash();
            });
        }
        reply
    }

    /// Queues a request. Returns `None`, and drops the request, during the downtime of a crash.
    fn enqueue(&self, req: Arc<Request>) -> Option<watch::Receiver<Progress>> {
        let mut sim = lock(&self.sim);
        (!self.crash_simulator.is_down()).then(|| sim.enqueue(req))
    }

    /// Drops all runs, the cache and the model state, and closes all connections.
    fn crash(&self) {
        let mut sim = lock(&self.sim);
        self.crash_simulator.crash(self.faults.get().restart_ms);
        sim.crash();
        drop(sim);
        *lock(&self.state) = ModelState::new(&self.settings);
    }

    /// Sleeps for `ms` milliseconds, scaled by the fault `slow_factor`.
    async fn sleep_scaled(&self, ms: u64) {
        let factor = self.faults.get().slow_factor;
        tokio::time::sleep(Duration::from_millis(ms).mul_f64(factor)).await;
    }
}
