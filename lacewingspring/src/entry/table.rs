//! The runs of this instance by key.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use lacewingspring_core::{key_index::KeyId, names::Fingerprint};

use super::{run::Run, steps::StepReport};

/// Result of submitting a request under a key.
#[derive(Debug)]
pub enum Submitted {
    /// The run is new and the submitter has to start it.
    New(Arc<Run>),
    /// The run exists and can be followed.
    Joined(Arc<Run>),
    /// The key belongs to another request.
    Conflict,
}

/// Maximum number of removed runs whose steps are kept.
const MAX_PAST_RUNS: usize = 2_048;

/// Steps of a removed run.
#[derive(Debug)]
struct PastRun {
    id: KeyId,
    steps: Vec<StepReport>,
}

/// The runs of this instance by key.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: Mutex<HashMap<KeyId, Arc<Run>>>,
    past: Mutex<VecDeque<PastRun>>,
}

impl RunTable {
    /// Adds a run, or returns the existing one of the same key.
    pub fn submit(&self, id: KeyId, fingerprint: Fingerprint) -> Submitted {
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

    /// Returns the run of a key.
    pub fn get(&self, id: &KeyId) -> Option<Arc<Run>> {
        self.lock().get(id).cloned()
    }

    /// Removes a run and keeps its steps.
    pub fn remove(&self, id: &KeyId) {
        let Some(run) = self.lock().remove(id) else { return };
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        if past.len() == MAX_PAST_RUNS {
            past.pop_front();
        }
        past.push_back(PastRun { id: run.id.clone(), steps: run.steps() });
    }

    /// Returns the steps of the runs of a key, removed runs first.
    pub fn explain(&self, id: &KeyId) -> Option<Vec<StepReport>> {
        let past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        let past = past.iter().filter(|past| past.id == *id);
        let mut steps: Vec<_> = past.flat_map(|past| past.steps.clone()).collect();
        steps.extend(self.get(id).into_iter().flat_map(|run| run.steps()));
        (!steps.is_empty()).then_some(steps)
    }

    /// Returns all runs in the table, ended ones included.
    pub fn all(&self) -> Vec<Arc<Run>> {
        self.lock().values().cloned().collect()
    }

    /// Returns the number of runs that have not ended.
    pub fn open_run_count(&self) -> usize {
        self.lock().values().filter(|run| !run.ended()).count()
    }

    /// Returns the number of callers that still follow a run.
    pub fn follower_count(&self) -> usize {
        self.lock().values().map(|run| run.followers()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<KeyId, Arc<Run>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
