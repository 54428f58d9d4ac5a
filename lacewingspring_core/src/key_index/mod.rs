//! Index of request keys, held in memory by the home of each key.
//!
//! It joins a repeat of a request to the run that exists, and it is the only gate to the dispatch
//! of an idempotent request: of all runners that ask for a key, one is told to proceed, once. A
//! runner that was replaced never proceeds. A run is replaced only as a whole; its new runner
//! resumes what was dispatched and doesn't dispatch again.
//!
//! The daemon asks an index only for keys whose home it is in the present view, and a message
//! between instances is not delivered later than the learning time after it was sent.
//!
//! The promise holds for one index. When a role moves, the previous home hands single keys over
//! and refuses them from then on, and runners announce their open runs to the new home. Indexes tell
//! it of the keys that are settled in them, so that these outlast each home. A new home whose
//! previous home is dead waits for these announcements before it holds a key to be new. Two
//! homes that can't reach each other for longer than that may each let one runner proceed.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::names::{Fingerprint, InstanceName, UpstreamName};

pub use self::{
    config::{KeyIndexConfig, KeyIndexPolicy},
    message::{
        Announcement, DispatchVerdict, FinishVerdict, HandOver, HomeTenure, KeyId, Outcome,
        Progress, RegisterVerdict, Runner, SettledKey, TakeOverVerdict, VoidVerdict,
    },
};

use self::entry::{OpenRun, Settled, Settlement};

mod config;
mod entry;
mod hand_over;
mod message;
mod settled;

/// Index of the request keys whose home this instance is.
#[derive(Debug)]
pub struct KeyIndex {
    cfg: KeyIndexConfig,
    role_taken_at: Duration,
    learning_until: Duration,
    open: HashMap<KeyId, OpenRun>,
    settled: HashMap<KeyId, Settled>,
    /// Settled keys, oldest first, each with the number of its settlement.
    ages: VecDeque<(u64, KeyId)>,
    settlements: u64,
    violations: u64,
}

impl KeyIndex {
    /// Creates an empty index that has just taken its role.
    pub fn new(cfg: KeyIndexConfig, now: Duration) -> Self {
        let learning_until = now + cfg.learning;
        Self {
            cfg,
            role_taken_at: now,
            learning_until,
            open: HashMap::new(),
            settled: HashMap::new(),
            ages: VecDeque::new(),
            settlements: 0,
            violations: 0,
        }
    }

    /// Notes that the view has changed and this instance may be the home of other keys.
    ///
    /// The runs of keys whose home it isn't any more are kept only to be handed over.
    pub fn roles_changed<F>(&mut self, now: Duration, is_home: F)
    where
        F: Fn(&KeyId) -> bool,
    {
        let foreign: Vec<KeyId> = self.open.keys().filter(|id| !is_home(id)).cloned().collect();
        for id in foreign {
            self.hand_over(now, &id);
        }
        self.role_taken_at = now;
        self.learning_until = now + self.cfg.learning;
    }

    /// Registers a run of a key, or tells of the run that exists.
    pub fn register(
        &mut self,
        now: Duration,
        id: KeyId,
        fingerprint: Fingerprint,
        runner: Runner,
        tenure: HomeTenure,
    ) -> RegisterVerdict {
        self.refresh(now, &id);
        let learning = now < self.learning_until;
        if let Some(run) = self.open.get(&id) {
            if learning && run.is_doubtful() {
                return RegisterVerdict::Unknown;
            }
            return run.joined_by(&fingerprint, &runner);
        }
        let settled = self.settled.get(&id);
        if let Some(verdict) = settled.and_then(|settled| settled.answer(&fingerprint)) {
            return verdict;
        }
        if settled.is_none() && tenure == HomeTenure::Recent && learning {
            return RegisterVerdict::Unknown;
        }
        if !self.make_room() {
            return RegisterVerdict::Full;
        }
        self.settled.remove(&id);
        self.open.insert(
            id,
            OpenRun { fingerprint, runner, progress: Progress::Waiting, hearsay: false },
        );
        RegisterVerdict::Registered
    }

    /// Asks to dispatch; the only gate to the dispatch of an idempotent request.
    pub fn request_dispatch(
        &mut self,
        now: Duration,
        id: &KeyId,
        runner: &Runner,
        upstream: UpstreamName,
    ) -> DispatchVerdict {
        self.refresh(now, id);
        let Some(run) = self.open.get_mut(id) else {
            return self.settled.get(id).map_or(DispatchVerdict::Unknown, Settled::refuse_dispatch);
        };
        if run.runner != *runner && self.cfg.policy.compare_runner {
            return DispatchVerdict::TakenOver { runner: run.runner.clone() };
        }
        if now < self.learning_until && run.is_doubtful() {
            return DispatchVerdict::Unknown;
        }
        if let Progress::Dispatched { upstream } = &run.progress {
            if self.cfg.policy.compare_progress {
                return DispatchVerdict::Repeated { upstream: upstream.clone() };
            }
            self.violations += 1;
        }
        run.progress = Progress::Dispatched { upstream };
        DispatchVerdict::Proceed
    }

    /// Takes back a dispatch of which no byte was sent, so that another upstream may be tried.
    ///
    /// Returns whether it was taken back; it isn't after the runner was replaced.
    pub fn revert_dispatch(&mut self, id: &KeyId, runner: &Runner) -> bool {
        let Some(run) = self.open.get_mut(id).filter(|run| run.runner == *runner) else {
            return false;
        };
        run.progress = Progress::Waiting;
        true
    }

    /// Replaces the dead runner of a key.
    pub fn take_over(
        &mut self,
        now: Duration,
        id: &KeyId,
        new_runner: &Runner,
        dead_runner: &Runner,
    ) -> TakeOverVerdict {
        self.refresh(now, id);
        let Some(run) = self.open.get_mut(id) else { return TakeOverVerdict::Refused };
        // A take-over whose reply was lost is answered again.
        if run.runner != *dead_runner && run.runner != *new_runner {
            return TakeOverVerdict::Refused;
        }
        run.runner = new_runner.clone();
        match &run.progress {
            Progress::Waiting => TakeOverVerdict::NotDispatched,
            Progress::Dispatched { upstream } => {
                TakeOverVerdict::Resume { upstream: upstream.clone() }
            }
        }
    }

    /// Records what came of a run.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        id: &KeyId,
        runner: &Runner,
        outcome: Outcome,
    ) -> FinishVerdict {
        self.refresh(now, id);
        let moved = self.settled.get(id).and_then(Settled::moved_run);
        let runs_it = self.open.get(id).map(|run| &run.runner).or(moved.map(|run| &run.runner));
        let Some(known) = runs_it else { return FinishVerdict::Unknown };
        if known != runner {
            return FinishVerdict::TakenOver { runner: known.clone() };
        }
        let settlement = Settlement::Finished { runner: runner.clone(), outcome };
        self.settle(now, id, settlement);
        FinishVerdict::Recorded
    }

    /// Drops a run that wasn't dispatched, so that a repeat starts afresh.
    ///
    /// Returns whether it was dropped.
    pub fn release(&mut self, id: &KeyId, runner: &Runner) -> bool {
        let is_waiting = |run: &OpenRun| run.runner == *runner && run.progress == Progress::Waiting;
        if !self.open.get(id).is_some_and(is_waiting) {
            return false;
        }
        self.open.remove(id).is_some()
    }

    /// Settles a key for a status query: a key that is not known never dispatches from then on.
    pub fn void(&mut self, now: Duration, id: &KeyId, tenure: HomeTenure) -> VoidVerdict {
        self.refresh(now, id);
        if let Some(run) = self.open.get(id) {
            let (runner, progress) = (run.runner.clone(), run.progress.clone());
            return VoidVerdict::Running { runner, progress };
        }
        let settled = self.settled.get(id);
        if let Some(verdict) = settled.and_then(Settled::answer_status) {
            return verdict;
        }
        if settled.is_none() && tenure == HomeTenure::Recent && now < self.learning_until {
            return VoidVerdict::Unknown;
        }
        if !self.make_room() {
            return VoidVerdict::Full;
        }
        self.settle(now, id, Settlement::Void { here: true });
        VoidVerdict::Voided
    }

    /// Returns an open run as it is announced.
    pub fn open_run(&self, id: &KeyId) -> Option<Announcement> {
        self.open.get(id).map(|run| run.announcement(id))
    }

    /// Returns the open keys that an instance runs.
    pub fn open_runs_of(&self, instance: &InstanceName) -> Vec<Announcement> {
        let runs = self.open.iter().filter(|(_, run)| run.runner.instance == *instance);
        runs.map(|(id, run)| run.announcement(id)).collect()
    }

    /// Returns the number of open and of settled keys together.
    pub fn len(&self) -> usize {
        self.open.len() + self.settled.len()
    }

    /// Returns whether the index holds no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how often a key was dispatched twice as far as this index can tell. It must be zero.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn settle(&mut self, now: Duration, id: &KeyId, settlement: Settlement) {
        let moved = self.settled.get(id).and_then(Settled::moved_run);
        let moved = moved.map(|run| run.fingerprint.clone());
        let fingerprint = self.open.remove(id).map(|run| run.fingerprint).or(moved);
        self.settlements += 1;
        let number = self.settlements;
        let expires = now + self.cfg.retention;
        let settled = Settled { fingerprint, settlement, number, expires };
        self.settled.insert(id.clone(), settled);
        self.ages.push_back((number, id.clone()));
    }

    /// Makes room for one more key; false when all that are kept are open.
    fn make_room(&mut self) -> bool {
        while self.len() >= self.cfg.max_keys {
            if !self.drop_oldest_settled() {
                return false;
            }
        }
        true
    }

    fn drop_oldest_settled(&mut self) -> bool {
        while let Some((number, id)) = self.ages.pop_front() {
            if self.settled.get(&id).is_some_and(|settled| settled.number == number) {
                self.settled.remove(&id);
                return true;
            }
        }
        false
    }

    /// Drops what has run out, and the mark that this key was handed over if it is stale.
    fn refresh(&mut self, now: Duration, id: &KeyId) {
        self.expire(now);
        self.drop_stale_marker(id);
    }

    fn expire(&mut self, now: Duration) {
        while let Some((number, id)) = self.ages.front() {
            match self.settled.get(id) {
                Some(settled) if settled.number == *number && settled.expires > now => return,
                Some(settled) if settled.number == *number => {
                    self.settled.remove(id);
                }
                _ => {}
            }
            self.ages.pop_front();
        }
    }
}
