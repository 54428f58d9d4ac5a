//! Registry of exported runs by handle, shared by all engines of the process.

use std::{
    collections::HashMap,
    sync::{LazyLock, Mutex},
};

use crate::{http::lock, time::now_ms};

/// An insertion first removes the expired handles if at least this many are registered.
const CLEANUP_THRESHOLD_HANDLES: usize = 100_000;

static REGISTRY: LazyLock<Mutex<Registry>> = LazyLock::new(Mutex::default);

#[derive(Default)]
struct Registry {
    next: u64,
    by_name: HashMap<String, Handle>,
}

/// Exported key-value cache of a run.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Number of the engine that holds the cache. A crash of that engine invalidates the handle.
    pub engine: u64,
    /// First 8 hexadecimal digits of the SHA-256 of the prompt.
    pub prompt_sha8: String,
    /// Number of tokens generated before the export.
    pub generated: u64,
    /// Number of tokens still to prefill before the next one is generated. `None` if the run held
    /// no memory at the export; the importing engine then prefills everything.
    pub prefill_left: Option<u64>,
    /// Expiry, in milliseconds of the process clock.
    pub expires_ms: u64,
}

/// Registers a handle and returns its name.
pub fn insert(handle: Handle) -> String {
    let mut registry = lock(&REGISTRY);
    if registry.by_name.len() >= CLEANUP_THRESHOLD_HANDLES {
        let now = now_ms();
        registry.by_name.retain(|_, handle| handle.expires_ms > now);
    }
    registry.next += 1;
    let name = format!("kv-{}-{}", handle.engine, registry.next);
    registry.by_name.insert(name.clone(), handle);
    name
}

/// Returns a handle by name, unless it has expired.
pub fn find(name: &str) -> Option<Handle> {
    let registry = lock(&REGISTRY);
    registry.by_name.get(name).filter(|handle| handle.expires_ms > now_ms()).cloned()
}

/// Removes the handles of an engine.
pub fn remove_engine(engine: u64) {
    lock(&REGISTRY).by_name.retain(|_, handle| handle.engine != engine);
}
