//! Plain HTTP service of the kind that books something: each call is recorded as an act.

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
    http::{Breaker, Call, CutError, Reply, accept, json, lock, truncated},
    time::{now_ms, sleep_ms},
};

/// Calls kept in the journal; later ones are answered and not recorded.
const JOURNAL_CALLS: usize = 200_000;

/// Settings of the plain service.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub latency_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { latency_ms: 20 }
    }
}

/// Faults of the plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainFaults {
    /// Further time that a call takes, in milliseconds.
    delay_ms: u64,
    /// Next calls that are acted on and then cut.
    cut_before_reply: u64,
    /// Next calls that are cut without acting.
    cut_before_act: u64,
    /// Next replies that declare a greater length than is sent.
    truncate: u64,
    /// Next replies that carry the identifier of another request.
    mislabel: u64,
    /// Cuts all connections now; turns itself off.
    crash_now: bool,
    /// Time without service after a crash, in milliseconds.
    restart_ms: u64,
}

/// Call as it stands in the journal.
#[derive(Clone, Debug, Serialize)]
struct CallRecord {
    /// Identifier from `X-Request-Id`.
    request_id: String,
    /// Key from `Idempotency-Key`, if any.
    idempotency_key: Option<String>,
    /// Path of the call.
    path: String,
    /// Body of the call.
    body: String,
    /// Time of its arrival, in milliseconds since process start.
    started_ms: u64,
    /// Time at which it was done, in milliseconds since process start.
    finished_ms: Option<u64>,
}

/// Calls by number, in the order of their arrival.
#[derive(Default)]
struct Journal {
    next: u64,
    calls: BTreeMap<u64, CallRecord>,
}

struct Plain {
    settings: Settings,
    faults: Faults<PlainFaults>,
    journal: Mutex<Journal>,
    breaker: Arc<Breaker>,
}

/// Serves one plain service until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let faults = PlainFaults { restart_ms: 1000, ..PlainFaults::default() };
    let breaker = Arc::<Breaker>::default();
    let service = Arc::new(Plain {
        settings,
        faults: Faults::new(faults),
        journal: Mutex::default(),
        breaker: breaker.clone(),
    });
    accept(listener, breaker, move |call| answer(service.clone(), call)).await
}

async fn answer(service: Arc<Plain>, call: Call) -> Result<Reply, CutError> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET" | "PUT", "/faults") => {
            let reply = service.faults.answer(&call);
            may_crash(service);
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
        _ if service.faults.take(|f| &mut f.cut_before_act) => Err(CutError::Fault),
        _ => book(service, call).await,
    }
}

fn may_crash(service: Arc<Plain>) {
    if !service.faults.get().crash_now {
        return;
    }
    service.faults.modify(|f| f.crash_now = false);
    tokio::spawn(async move {
        // The reply to the order itself goes out first.
        sleep_ms(10).await;
        service.breaker.trip(service.faults.get().restart_ms);
    });
}

async fn book(service: Arc<Plain>, call: Call) -> Result<Reply, CutError> {
    let id = call.header("x-request-id").unwrap_or_default().to_owned();
    let act = act(service.clone(), id.clone(), call);
    // The act goes on in its own task when the caller goes away.
    let confirmation = tokio::spawn(act).await.map_err(|_| CutError::Fault)?;
    if service.faults.take(|f| &mut f.cut_before_reply) {
        return Err(CutError::Fault);
    }
    let mislabel = service.faults.take(|f| &mut f.mislabel);
    let id = if mislabel { format!("other-{id}") } else { id };
    let body = json!({ "confirmation": confirmation, "request_id": id });
    let mut reply = json(200, &body);
    if let Ok(value) = id.parse() {
        reply.headers_mut().insert("x-request-id", value);
    }
    if service.faults.take(|f| &mut f.truncate) {
        return Ok(truncated(reply));
    }
    Ok(reply)
}

/// Records the call, takes its time, and returns the confirmation.
async fn act(service: Arc<Plain>, id: String, call: Call) -> String {
    let number = service.record(&id, &call);
    sleep_ms(service.settings.latency_ms + service.faults.get().delay_ms).await;
    if let Some(record) = lock(&service.journal).calls.get_mut(&number) {
        record.finished_ms = Some(now_ms());
    }
    let digest = Sha256::new().chain_update(id.as_bytes()).chain_update(&call.body).finalize();
    crate::hex8(&digest)
}

impl Plain {
    fn record(&self, id: &str, call: &Call) -> u64 {
        let mut journal = lock(&self.journal);
        let number = journal.next;
        journal.next += 1;
        if journal.calls.len() >= JOURNAL_CALLS {
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
