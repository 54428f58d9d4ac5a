//! Weight store whose readers share one bandwidth limit.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use clap::Args;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until},
};

use crate::{
    faults::Faults,
    http::{
        AbortError, Call, Reply, StreamSender, abort_connection, accept, error, json, lock, send,
        stream,
    },
};

/// Maximum size of a chunk, in bytes. The bandwidth limit applies to each chunk.
const MAX_CHUNK_BYTES: u64 = 64 << 10;

/// Settings of the weight store.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Size of every model's weights, in bytes.
    #[arg(long, default_value_t = 10_000_000)]
    pub bytes: u64,
    /// Bandwidth shared by all readers, in bytes per second.
    #[arg(long, default_value_t = 10_000_000)]
    pub bytes_per_second: u64,
    /// Maximum number of concurrent readers.
    #[arg(long, default_value_t = 4)]
    pub readers: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { bytes: 10_000_000, bytes_per_second: 10_000_000, readers: 4 }
    }
}

/// Fault settings of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WeightFaults {
    /// Requests get status 503, and the connections of current readers are closed.
    down: bool,
}

/// Load counts, as returned by `GET /journal`.
#[derive(Clone, Debug, Default, Serialize)]
struct Journal {
    /// Started loads by model name.
    started: BTreeMap<String, u64>,
    /// Completed loads by model name.
    finished: BTreeMap<String, u64>,
    /// Loads refused because the maximum number of readers was reached.
    refused: u64,
    /// Current readers.
    active: u64,
}

struct WeightStore {
    settings: Settings,
    faults: Faults<WeightFaults>,
    journal: Mutex<Journal>,
    /// Earliest time at which the bandwidth limit allows another chunk.
    next_chunk_at: Mutex<Instant>,
}

/// Runs one weight store until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let weights = Arc::new(WeightStore {
        settings,
        faults: Faults::new(WeightFaults { down: false }),
        journal: Mutex::default(),
        next_chunk_at: Mutex::new(Instant::now()),
    });
    accept(listener, Arc::default(), move |call| {
        let weights = weights.clone();
        async move { Ok::<Reply, AbortError>(handle(weights, &call)) }
    })
    .await
}

fn handle(weights: Arc<WeightStore>, call: &Call) -> Reply {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET" | "PUT", "/faults") => weights.faults.handle(call),
        ("GET", "/journal") => json(200, &*lock(&weights.journal)),
        _ if weights.faults.get().down => error(503, "down"),
        ("GET", path) => match path.strip_prefix("/weights/") {
            Some(name) => start_load(weights, name.to_owned()),
            None => error(404, "not found"),
        },
        _ => error(404, "not found"),
    }
}

fn start_load(weights: Arc<WeightStore>, name: String) -> Reply {
    if !weights.admit_reader(&name) {
        let mut reply = error(429, "too many readers");
        reply.headers_mut().insert("retry-after", 1.into());
        return reply;
    }
    let (tx, reply) = stream("application/octet-stream");
    tokio::spawn(async move {
        let complete = weights.send_all(&tx).await;
        let mut journal = lock(&weights.journal);
        journal.active -= 1;
        if complete {
            *journal.finished.entry(name).or_default() += 1;
        }
    });
    reply
}

impl WeightStore {
    /// Registers a reader; returns false, and counts a refusal, if the maximum is reached.
    fn admit_reader(&self, name: &str) -> bool {
        let mut journal = lock(&self.journal);
        if journal.active >= self.settings.readers {
            journal.refused += 1;
            return false;
        }
        journal.active += 1;
        *journal.started.entry(name.to_owned()).or_default() += 1;
        true
    }

    /// Sends the weights within the shared bandwidth; returns whether all bytes were sent.
    async fn send_all(&self, tx: &StreamSender) -> bool {
        let mut remaining = self.settings.bytes;
        while remaining > 0 {
            let size = remaining.min(MAX_CHUNK_BYTES);
            sleep_until(self.reserve_transmission(size)).await;
            if self.faults.get().down {
                abort_connection(tx).await;
                return false;
            }
            if !send(tx, Bytes::from(vec![0; size as usize])).await {
                return false;
            }
            remaining -= size;
        }
        true
    }

    /// Reserves the transmission time of a chunk of `size` bytes and returns its end.
    fn reserve_transmission(&self, size: u64) -> Instant {
        let time = Duration::from_secs_f64(size as f64 / self.settings.bytes_per_second as f64);
        let mut next = lock(&self.next_chunk_at);
        *next = (*next).max(Instant::now()) + time;
        *next
    }
}
