//! Engine stand-in: continuous batching in real time behind OpenAI completions.

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
    report::Reports,
    run::{Progress, Request},
    sim::Sim,
    state::ModelState,
};
use crate::{
    faults::Faults,
    http::{Breaker, Call, CutError, Reply, accept, error, json, lock},
    time::sleep_ms,
};

/// Most that the steps may lag behind real time before they stop catching up.
const CATCH_UP: Duration = Duration::from_millis(50);

/// Settings of an engine.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Prompt tokens computed in a second.
    #[arg(long, default_value_t = 20_000.0)]
    pub prefill_tokens_per_second: f64,
    /// Time of a decode step with one running sequence, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    pub decode_ms: f64,
    /// Time added to a decode step by each further running sequence, in milliseconds.
    #[arg(long, default_value_t = 0.3)]
    pub decode_ms_per_sequence: f64,
    /// Most running sequences.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Tokens that the running sequences may hold.
    #[arg(long, default_value_t = 200_000)]
    pub kv_tokens: u64,
    /// Tokens that the prefix cache may hold.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: u64,
    /// Model that is served; repeated for several names.
    #[arg(long = "model", default_value = "model")]
    pub models: Vec<String>,
    /// Lag of the metrics and cache events, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub report_lag_ms: u64,
    /// Refuses orders with a fencing lower than the last seen.
    #[arg(long)]
    pub checks_fencing: bool,
    /// Time for which ended runs are kept, in milliseconds.
    #[arg(long, default_value_t = 15_000)]
    pub retention_ms: u64,
    /// Time of a load of a model, adapter or version, in milliseconds.
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

/// Faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineFaults {
    /// Factor on all times.
    slow_factor: f64,
    /// Text of a prompt that crashes the engine when its prefill starts; empty for none.
    poison: String,
    /// Time without service after a crash, in milliseconds.
    restart_ms: u64,
    /// Crashes now; turns itself off.
    crash_now: bool,
    /// Next streams that end early without a finish.
    truncate: u64,
    /// Next answers that carry the identifier of another request.
    mislabel: u64,
    /// Next streams that repeat an event.
    duplicate_events: u64,
    /// Tokens after which a stream is cut.
    cut_after_tokens: u64,
    /// Next streams whose connection is cut.
    cut_streams: u64,
    /// Metrics stay as they are.
    freeze_report: bool,
    /// Metrics are nonsense.
    absurd_report: bool,
    /// Leaves out each n-th cache event, whose number stays used; 0 for none.
    drop_kv_events_every: u64,
}

/// One engine.
struct Engine {
    settings: Settings,
    faults: Faults<EngineFaults>,
    sim: Mutex<Sim>,
    state: Mutex<ModelState>,
    reports: Mutex<Reports>,
    breaker: Arc<Breaker>,
    /// Wakes the simulation when a run arrives.
    arrived: Notify,
}

/// Serves one engine until the future is dropped.
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
    let breaker = Arc::<Breaker>::default();
    let engine = Arc::new(Engine {
        faults: Faults::new(faults),
        sim: Mutex::new(Sim::new(settings.clone())),
        state: Mutex::new(ModelState::new(&settings)),
        reports: Mutex::default(),
        breaker: breaker.clone(),
        arrived: Notify::new(),
        settings,
    });
    let answering = engine.clone();
    tokio::select! {
        result = accept(listener, breaker, move |call| respond(answering.clone(), call)) => result,
        () = simulate(engine.clone()) => Ok(()),
        () = report::collect(engine) => Ok(()),
    }
}

async fn respond(engine: Arc<Engine>, call: Call) -> Result<Reply, CutError> {
    let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (call.method.as_str(), segments.as_slice()) {
        ("GET" | "PUT", ["faults"]) => Ok(engine.change_faults(&call)),
        ("GET", ["journal"]) => Ok(json(200, &lock(&engine.sim).journal)),
        ("DELETE", ["journal"]) => {
            lock(&engine.sim).journal.reset();
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

/// Runs the steps of the engine in real time.
async fn simulate(engine: Arc<Engine>) {
    let mut deadline = Instant::now();
    loop {
        let faults = engine.faults.get();
        let step = lock(&engine.sim).start_step(&faults.poison);
        match step {
            sim::Step::Idle => {
                engine.arrived.notified().await;
                deadline = Instant::now();
            }
            sim::Step::Poisoned => engine.crash(),
            sim::Step::Work(time) => {
                let earliest = Instant::now() - CATCH_UP;
                deadline = deadline.max(earliest) + time.mul_f64(faults.slow_factor);
                sleep_until(deadline).await;
                lock(&engine.sim).finish_step();
            }
        }
    }
}

impl Engine {
    fn change_faults(self: &Arc<Self>, call: &Call) -> Reply {
        let reply = self.faults.answer(call);
        let faults = self.faults.get();
        if faults.crash_now {
            self.faults.modify(|f| f.crash_now = false);
            let engine = self.clone();
            tokio::spawn(async move {
                // The reply to the order itself goes out first.
                sleep_ms(10).await;
                engine.crash();
            });
        }
        reply
    }

    /// Queues a request; none when a crash has overtaken it, which loses it.
    fn add(&self, req: Arc<Request>) -> Option<watch::Receiver<Progress>> {
        let mut sim = lock(&self.sim);
        (!self.breaker.is_down()).then(|| sim.add(req))
    }

    /// Loses all runs, the cache and the state, and cuts all connections.
    fn crash(&self) {
        let mut sim = lock(&self.sim);
        self.breaker.trip(self.faults.get().restart_ms);
        sim.crash();
        drop(sim);
        *lock(&self.state) = ModelState::new(&self.settings);
    }

    /// Sleeps for a time in milliseconds, longer on a straggler.
    async fn take_time(&self, ms: u64) {
        let factor = self.faults.get().slow_factor;
        tokio::time::sleep(Duration::from_millis(ms).mul_f64(factor)).await;
    }
}
