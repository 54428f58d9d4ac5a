//! The runs of this instance by key.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use lacewingspring_core::{key_index::KeyId, names::Fingerprint};

use super::{run::Run, steps::StepReport};

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

/// Most forgotten runs whose decisions are kept.
const MAX_PAST_RUNS: usize = 2_048;

/// Decisions about a run that was forgotten.
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
    /// Adds a run, or finds the one that exists.
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

    /// Finds a run.
    pub fn get(&self, id: &KeyId) -> Option<Arc<Run>> {
        self.lock().get(id).cloned()
    }

    /// Forgets a run.
    pub fn remove(&self, id: &KeyId) {
        let Some(run) = self.lock().remove(id) else { return };
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        if past.len() == MAX_PAST_RUNS {
            past.pop_front();
        }
        past.push_back(PastRun { id: run.id.clone(), steps: run.steps() });
    }

    /// Returns the decisions about a run, forgotten ones first.
    pub fn explain(&self, id: &KeyId) -> Option<Vec<StepReport>> {
        let past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        let past = past.iter().filter(|past| past.id == *id);
        let mut steps: Vec<_> = past.flat_map(|past| past.steps.clone()).collect();
        steps.extend(self.get(id).into_iter().flat_map(|run| run.steps()));
        (!steps.is_empty()).then_some(steps)
    }

    /// Returns all runs that are kept.
    pub fn all(&self) -> Vec<Arc<Run>> {
        self.lock().values().cloned().collect()
    }

    /// Returns the number of runs that have not ended.
    pub fn open_run_count(&self) -> usize {
        self.lock().values().filter(|run| !run.ended()).count()
    }

    /// Returns the number of callers that still read an answer.
    pub fn follower_count(&self) -> usize {
        self.lock().values().map(|run| run.followers()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<KeyId, Arc<Run>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
