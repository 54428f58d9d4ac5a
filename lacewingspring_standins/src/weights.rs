//! Weight store whose readers share one rate.

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
    http::{Call, CutError, Reply, StreamSender, accept, cut, error, json, lock, send, stream},
};

/// Largest piece that is sent at once, in bytes.
const PIECE_BYTES: u64 = 64 << 10;

/// Settings of the weight store.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Size of all weights, in bytes.
    #[arg(long, default_value_t = 10_000_000)]
    pub bytes: u64,
    /// Rate over all readers, in bytes per second.
    #[arg(long, default_value_t = 10_000_000)]
    pub bytes_per_second: u64,
    /// Most readers at a time.
    #[arg(long, default_value_t = 4)]
    pub readers: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { bytes: 10_000_000, bytes_per_second: 10_000_000, readers: 4 }
    }
}

/// Faults of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WeightFaults {
    /// Requests get 503 and readers are cut.
    down: bool,
}

/// Counts for `GET /journal`.
#[derive(Clone, Debug, Default, Serialize)]
struct Journal {
    /// Loads begun, by name.
    started: BTreeMap<String, u64>,
    /// Loads sent whole, by name.
    finished: BTreeMap<String, u64>,
    /// Loads refused for too many readers.
    refused: u64,
    /// Readers now.
    active: u64,
}

struct Weights {
    settings: Settings,
    faults: Faults<WeightFaults>,
    journal: Mutex<Journal>,
    /// Time at which the rate allows the next piece.
    next_piece: Mutex<Instant>,
}

/// Serves one weight store until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let weights = Arc::new(Weights {
        settings,
        faults: Faults::new(WeightFaults { down: false }),
        journal: Mutex::default(),
        next_piece: Mutex::new(Instant::now()),
    });
    accept(listener, Arc::default(), move |call| {
        let weights = weights.clone();
        async move { Ok::<Reply, CutError>(answer(weights, &call)) }
    })
    .await
}

fn answer(weights: Arc<Weights>, call: &Call) -> Reply {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET" | "PUT", "/faults") => weights.faults.answer(call),
        ("GET", "/journal") => json(200, &*lock(&weights.journal)),
        _ if weights.faults.get().down => error(503, "down"),
        ("GET", path) => match path.strip_prefix("/weights/") {
            Some(name) => load(weights, name.to_owned()),
            None => error(404, "not found"),
        },
        _ => error(404, "not found"),
    }
}

fn load(weights: Arc<Weights>, name: String) -> Reply {
    if !weights.begin(&name) {
        let mut reply = error(429, "too many readers");
        reply.headers_mut().insert("retry-after", 1.into());
        return reply;
    }
    let (tx, reply) = stream("application/octet-stream");
    tokio::spawn(async move {
        let whole = weights.send_all(&tx).await;
        let mut journal = lock(&weights.journal);
        journal.active -= 1;
        if whole {
            *journal.finished.entry(name).or_default() += 1;
        }
    });
    reply
}

impl Weights {
    /// Counts a reader in; returns false when there are too many.
    fn begin(&self, name: &str) -> bool {
        let mut journal = lock(&self.journal);
        if journal.active >= self.settings.readers {
            journal.refused += 1;
            return false;
        }
        journal.active += 1;
        *journal.started.entry(name.to_owned()).or_default() += 1;
        true
    }

    /// Sends the weights at the shared rate; returns whether all were sent.
    async fn send_all(&self, tx: &StreamSender) -> bool {
        let mut left = self.settings.bytes;
        while left > 0 {
            let size = left.min(PIECE_BYTES);
            sleep_until(self.reserve(size)).await;
            if self.faults.get().down {
                cut(tx).await;
                return false;
            }
            if !send(tx, Bytes::from(vec![0; size as usize])).await {
                return false;
            }
            left -= size;
        }
        true
    }

    /// Reserves the time of a piece, and returns when it is over.
    fn reserve(&self, size: u64) -> Instant {
        let time = Duration::from_secs_f64(size as f64 / self.settings.bytes_per_second as f64);
        let mut next = lock(&self.next_piece);
        *next = (*next).max(Instant::now()) + time;
        *next
    }
}
