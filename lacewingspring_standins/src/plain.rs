//! Plain HTTP service whose calls have a side effect: each executed call is recorded in a journal.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
};

use clap::Args;
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

use crate::{
    faults::Faults,
    http::{AbortError, Call, CrashSimulator, Reply, accept, json, lock, truncated},
    time::{now_ms, sleep_ms},
};

/// Maximum number of calls in the journal; later calls are answered but not recorded.
const MAX_JOURNAL_CALLS: usize = 200_000;

/// Settings of the plain service.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Service time of a call, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub latency_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { latency_ms: 20 }
    }
}

/// Fault settings of the plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainFaults {
    /// Additional service time of a call, in milliseconds.
    delay_ms: u64,
    /// Number of upcoming calls that are executed and whose connection is then closed without a
    /// reply.
    cut_before_reply: u64,
    /// Number of upcoming calls whose connection is closed without executing them.
    cut_before_act: u64,
    /// Number of upcoming replies that are truncated: only half of the declared body is sent.
    truncate: u64,
    /// Number of upcoming replies that carry the identifier of another request.
    mislabel: u64,
    /// Simulates a crash: closes all connections. Resets to false after the crash is scheduled.
    crash_now: bool,
    /// Downtime after a crash, in milliseconds.
    restart_ms: u64,
}

/// Journal record of one call.
#[derive(Clone, Debug, Serialize)]
struct CallRecord {
    /// Value of the header `X-Request-Id`; empty if absent.
    request_id: String,
    /// Value of the header `Idempotency-Key`, if any.
    idempotency_key: Option<String>,
    /// Request path, without the query.
    path: String,
    /// Request body; invalid UTF-8 is replaced.
    body: String,
    /// Arrival time, in milliseconds of the process clock.
    started_ms: u64,
    /// Completion time, in milliseconds of the process clock; `None` while the call executes.
    finished_ms: Option<u64>,
}

/// Recorded calls by sequence number, in order of arrival.
#[derive(Default)]
struct Journal {
    next: u64,
    calls: BTreeMap<u64, CallRecord>,
}

struct PlainService {
    settings: Settings,
    faults: Faults<PlainFaults>,
    journal: Mutex<Journal>,
    crash_simulator: Arc<CrashSimulator>,
}

/// Runs one plain service until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let faults = PlainFaults { restart_ms: 1000, ..PlainFaults::default() };
    let crash_simulator = Arc::<CrashSimulator>::default();
    let service = Arc::new(PlainService {
        settings,
        faults: Faults::new(faults),
        journal: Mutex::default(),
        crash_simulator: crash_simulator.clone(),
    });
    accept(listener, crash_simulator, move |call| handle(service.clone(), call)).await
}

async fn handle(service: Arc<PlainService>, call: Call) -> Result<Reply, AbortError> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET" | "PUT", "/faults") => {
            let reply = service.faults.handle(&call);
            crash_if_requested(service);
            Ok(reply)
        }
        ("GET", "/journal") => {
            let calls: Vec<_> = lock(&service.journal).calls.values().cloned().collect();
            Ok(json(200, &json!({ "calls": calls })))
        }
        ("DELETE", "/journal") => {
            lock(&service.journal).calls.clear();
            Ok(json(200, &json!({})))
        }
        _ if service.faults.consume(|f| &mut f.cut_before_act) => Err(AbortError::Fault),
        _ => serve_call(service, call).await,
    }
}

fn crash_if_requested(service: Arc<PlainService>) {
    if !service.faults.get().crash_now {
        return;
    }
    service.faults.modify(|f| f.crash_now = false);
    tokio::spawn(async move {
        // Lets the reply to `PUT /faults` go out before the connections close.
        sleep_ms(10).await;
        service.crash_simulator.crash(service.faults.get().restart_ms);
    });
}

async fn serve_call(service: Arc<PlainService>, call: Call) -> Result<Reply, AbortError> {
    let id = call.header("x-request-id").unwrap_or_default().to_owned();
    let execution = execute(service.clone(), id.clone(), call);
    // Runs in its own task so that the call completes even if the client disconnects.
    let confirmation = tokio::spawn(execution).await.map_err(|_| AbortError::Fault)?;
    if service.faults.consume(|f| &mut f.cut_before_reply) {
        return Err(AbortError::Fault);
    }
    let mislabel = service.faults.consume(|f| &mut f.mislabel);
    let id = if mislabel { format!("other-{id}") } else { id };
    let body = json!({ "confirmation": confirmation, "request_id": id });
    let mut reply = json(200, &body);
    if let Ok(value) = id.parse() {
        reply.headers_mut().insert("x-request-id", value);
    }
    if service.faults.consume(|f| &mut f.truncate) {
        return Ok(truncated(reply));
    }
    Ok(reply)
}

/// Records the call, waits for the service time and returns the confirmation: a digest of the
/// request identifier and the body.
async fn execute(service: Arc<PlainService>, id: String, call: Call) -> String {
    let number = service.record(&id, &call);
    sleep_ms(service.settings.latency_ms + service.faults.get().delay_ms).await;
    if let Some(record) = lock(&service.journal).calls.get_mut(&number) {
        record.finished_ms = Some(now_ms());
    }
    let digest = Sha256::new().chain_update(id.as_bytes()).chain_update(&call.body).finalize();
    crate::hex8(&digest)
}

impl PlainService {
    fn record(&self, id: &str, call: &Call) -> u64 {
        let mut journal = lock(&self.journal);
        let number = journal.next;
        journal.next += 1;
        if journal.calls.len() >= MAX_JOURNAL_CALLS {
            return number;
        }
        let record = CallRecord {
            request_id: id.to_owned(),
            idempotency_key: call.header("idempotency-key").map(str::to_owned),
            path: call.path.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            started_ms: now_ms(),
            finished_ms: None,
        };
        journal.calls.insert(number, record);
        number
    }
}
