//! The runs of this instance by key.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::run::{Run, RunId};

/// What a submission under a key came to.
#[derive(Debug)]
pub enum Submitted {
    /// The run is new and is to be driven.
    New(Arc<Run>),
    /// The run exists and is followed.
    Joined(Arc<Run>),
    /// The key belongs to another request.
    Conflict,
}

/// The runs of this instance by key.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: Mutex<HashMap<RunId, Arc<Run>>>,
}

impl RunTable {
    /// Adds a run, or finds the one that exists.
    pub fn submit(&self, id: RunId, fingerprint: String) -> Submitted {
        match self.lock().entry(id) {
            Entry::Occupied(entry) if entry.get().fingerprint == fingerprint => {
                Submitted::Joined(entry.get().clone())
            }
            Entry::Occupied(_) => Submitted::Conflict,
            Entry::Vacant(entry) => {
                let run = Run::new(entry.key().clone(), fingerprint);
                entry.insert(run.clone());
                Submitted::New(run)
            }
        }
    }

    /// Finds a run.
    pub fn get(&self, id: &RunId) -> Option<Arc<Run>> {
        self.lock().get(id).cloned()
    }

    /// Forgets a run.
    pub fn remove(&self, id: &RunId) {
        self.lock().remove(id);
    }

    /// Returns the number of runs that have not ended.
    pub fn open(&self) -> usize {
        self.lock().values().filter(|run| !run.ended()).count()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RunId, Arc<Run>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
