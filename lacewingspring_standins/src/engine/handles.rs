//! Handles of exported runs, shared by all engines of the process.

use std::{
    collections::HashMap,
    sync::{LazyLock, Mutex},
};

use crate::{http::lock, time::now_ms};

/// Most handles kept.
const HANDLES: usize = 100_000;

static HANDLES_BY_NAME: LazyLock<Mutex<Handles>> = LazyLock::new(Mutex::default);

#[derive(Default)]
struct Handles {
    next: u64,
    by_name: HashMap<String, Handle>,
}

/// Key-value cache of an exported run.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Number of the engine that holds it, which loses it in a crash.
    pub engine: u64,
    /// Digest of the prompt.
    pub prompt_sha8: String,
    /// Tokens generated before the export.
    pub generated: u64,
    /// Tokens left to compute before the next one; none when nothing was held in memory.
    pub prefill_left: Option<u64>,
    /// Time at which it is forgotten, in milliseconds since process start.
    pub expires_ms: u64,
}

/// Keeps a handle and returns its name.
pub fn insert(handle: Handle) -> String {
    let mut handles = lock(&HANDLES_BY_NAME);
    if handles.by_name.len() >= HANDLES {
        let now = now_ms();
        handles.by_name.retain(|_, handle| handle.expires_ms > now);
    }
    handles.next += 1;
    let name = format!("kv-{}-{}", handle.engine, handles.next);
    handles.by_name.insert(name.clone(), handle);
    name
}

/// Finds a handle.
pub fn find(name: &str) -> Option<Handle> {
    let handles = lock(&HANDLES_BY_NAME);
    handles.by_name.get(name).filter(|handle| handle.expires_ms > now_ms()).cloned()
}

/// Forgets the handles of an engine.
pub fn forget(engine: u64) {
    lock(&HANDLES_BY_NAME).by_name.retain(|_, handle| handle.engine != engine);
}
