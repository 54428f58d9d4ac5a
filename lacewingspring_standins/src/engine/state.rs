//! Model that an engine serves, and orders to load another.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Engine, Settings};
use crate::http::{Call, Reply, error, json, lock};

/// Version whose load fails.
const BAD_VERSION: &str = "bad";

/// Model that is served, and the last order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelState {
    /// Model.
    model: String,
    /// Adapter on the model, empty for none.
    adapter: String,
    /// Version of the model.
    version: String,
    /// Role of the engine, such as prefill or decode.
    role: String,
    /// Fencing number of the last order.
    fencing: u64,
    /// Names that requests may use.
    #[serde(skip)]
    names: Vec<String>,
    /// Whether a load is going on; told, and not read from an order.
    #[serde(skip_deserializing)]
    loading: bool,
}

impl ModelState {
    /// State after a start.
    pub fn new(settings: &Settings) -> Self {
        let names = settings.models.clone();
        Self { model: names.first().cloned().unwrap_or_default(), names, ..Self::default() }
    }

    /// Says why a request for a model is refused now, if it is.
    pub fn refusal(&self, model: &str) -> Option<Reply> {
        if self.loading {
            return Some(error(503, "loading"));
        }
        let served = self.names.iter().any(|name| name == model);
        let served = served || (!self.adapter.is_empty() && self.adapter == model);
        (!served).then(|| error(404, &format!("The model `{model}` does not exist.")))
    }

    fn same_weights(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter && self.version == other.version
    }
}

/// Answers `GET /v1/models`.
pub fn models(engine: &Engine) -> Reply {
    let state = lock(&engine.state);
    let adapter = Some(&state.adapter).filter(|adapter| !adapter.is_empty());
    let names = state.names.iter().chain(adapter);
    let data: Vec<_> = names.map(|name| json!({ "id": name, "object": "model" })).collect();
    json(200, &json!({ "object": "list", "data": data }))
}

/// Answers `GET /v1/state`.
pub fn get(engine: &Engine) -> Reply {
    json(200, &*lock(&engine.state))
}

/// Answers `PUT /v1/state`: takes an order and loads what it names.
pub async fn put(engine: Arc<Engine>, call: &Call) -> Reply {
    let order: ModelState = match call.json() {
        Ok(order) => order,
        Err(e) => return error(400, &e.to_string()),
    };
    if let Some(refusal) = begin(&engine, &order) {
        return refusal;
    }
    // The load goes on in its own task when the caller goes away.
    let loaded = tokio::spawn(async move { load(&engine, order).await });
    loaded.await.unwrap_or_else(|_| error(500, "load failed"))
}

/// Takes the time of a load and swaps the state.
async fn load(engine: &Engine, mut order: ModelState) -> Reply {
    let before = lock(&engine.state).clone();
    if !before.same_weights(&order) {
        engine.take_time(engine.settings.load_ms).await;
        let mut state = lock(&engine.state);
        // A crash in the meantime has started over.
        if !std::mem::take(&mut state.loading) || order.version == BAD_VERSION {
            lock(&engine.sim).journal.loads_failed += 1;
            return error(500, "load failed");
        }
        lock(&engine.sim).cache.clear();
    }
    order.names =
        if before.model == order.model { before.names } else { vec![order.model.clone()] };
    *lock(&engine.state) = order;
    get(engine)
}

/// Checks an order and marks its load; returns the refusal, if any.
fn begin(engine: &Engine, order: &ModelState) -> Option<Reply> {
    let mut state = lock(&engine.state);
    if engine.settings.checks_fencing && order.fencing < state.fencing {
        return Some(error(409, "fencing is lower than the last seen"));
    }
    if state.loading {
        return Some(error(503, "loading"));
    }
    state.fencing = order.fencing;
    state.loading = !state.same_weights(order);
    None
}
