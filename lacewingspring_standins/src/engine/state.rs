//! Model state of an engine, and load orders: requests to load a model, an adapter or a version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Engine, Settings};
use crate::http::{Call, Reply, error, json, lock};

/// Model version whose load always fails.
const FAILING_VERSION: &str = "bad";

/// Served model and the fields of the last load order. Also the body of a load order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelState {
    /// Name of the model.
    model: String,
    /// Name of the adapter on the model; empty for none.
    adapter: String,
    /// Version of the weights.
    version: String,
    /// Role of the engine, such as `prefill` or `decode`.
    role: String,
    /// Fencing number of the last accepted order.
    fencing: u64,
    /// Model names that requests may use.
    #[serde(skip)]
    names: Vec<String>,
    /// Whether a load is in progress; reported, but ignored in an order.
    #[serde(skip_deserializing)]
    loading: bool,
}

impl ModelState {
    /// Creates the state of an engine that has just started.
    pub fn new(settings: &Settings) -> Self {
        let names = settings.models.clone();
        Self { model: names.first().cloned().unwrap_or_default(), names, ..Self::default() }
    }

    /// Returns the error reply to a request for `model`, or `None` if the model is served.
    pub fn refusal(&self, model: &str) -> Option<Reply> {
        if self.loading {
            return Some(error(503, "loading"));
        }
        let served = self.names.iter().any(|name| name == model);
        let served = served || (!self.adapter.is_empty() && self.adapter == model);
        (!served).then(|| error(404, &format!("The model `{model}` does not exist.")))
    }

    fn has_same_weights(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter && self.version == other.version
    }
}

/// Handles `GET /v1/models`.
pub fn models(engine: &Engine) -> Reply {
    let state = lock(&engine.state);
    let adapter = Some(&state.adapter).filter(|adapter| !adapter.is_empty());
    let names = state.names.iter().chain(adapter);
    let data: Vec<_> = names.map(|name| json!({ "id": name, "object": "model" })).collect();
    json(200, &json!({ "object": "list", "data": data }))
}

/// Handles `GET /v1/state`.
pub fn get(engine: &Engine) -> Reply {
    json(200, &*lock(&engine.state))
}

/// Handles `PUT /v1/state`: checks a load order and executes it.
pub async fn put(engine: Arc<Engine>, call: &Call) -> Reply {
    let order: ModelState = match call.json() {
        Ok(order) => order,
        Err(e) => return error(400, &e.to_string()),
    };
    if let Some(refusal) = begin_load(&engine, &order) {
        return refusal;
    }
    // Runs in its own task so that the load completes even if the client disconnects.
    let loaded = tokio::spawn(async move { load_model(&engine, order).await });
    loaded.await.unwrap_or_else(|_| error(500, "load failed"))
}

/// Waits for the duration of the load, unless the weights are already loaded, and replaces the
/// state.
async fn load_model(engine: &Engine, mut order: ModelState) -> Reply {
    let before = lock(&engine.state).clone();
    if !before.has_same_weights(&order) {
        engine.sleep_scaled(engine.settings.load_ms).await;
        let mut state = lock(&engine.state);
        // A crash during the load has reset the state and with it the flag.
        if !std::mem::take(&mut state.loading) || order.version == FAILING_VERSION {
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

/// Checks an order and marks its load as in progress; returns the error reply if it is refused.
fn begin_load(engine: &Engine, order: &ModelState) -> Option<Reply> {
    let mut state = lock(&engine.state);
    if engine.settings.checks_fencing && order.fencing < state.fencing {
        return Some(error(409, "fencing is lower than the last seen"));
    }
    if state.loading {
        return Some(error(503, "loading"));
    }
    state.fencing = order.fencing;
    state.loading = !state.has_same_weights(order);
    None
}
