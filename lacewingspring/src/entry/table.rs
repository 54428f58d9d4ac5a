//! The runs of this instance by key.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use lacewingspring_core::names::{RequestKey, WorkspaceName};

use super::run::{Run, RunId};
use crate::peers::{Exchange, Message};

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

    /// Sends the parts of a run to another instance, until its last part.
    pub async fn serve_follow(&self, workspace: WorkspaceName, key: RequestKey, end: &Exchange) {
        let Some(run) = self.get(&RunId { workspace, key }) else {
            let _ = end.tx.send(Message::NoRun).await;
            return;
        };
        let mut follower = run.follow();
        while let Some(part) = follower.next().await {
            if end.tx.send(Message::Part(part)).await.is_err() {
                return;
            }
        }
    }

    /// Returns the number of runs that have not ended.
    pub fn open(&self) -> usize {
        self.lock().values().filter(|run| !run.ended()).count()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RunId, Arc<Run>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
