//! In-memory index of request keys, kept by the home of each key.
//!
//! The home of a key is the instance that holds the key's role in the current membership view. Its
//! index joins a repeated request to the existing run, and it authorizes each dispatch of an
//! idempotent request: of all runners that request a dispatch for a key, exactly one may proceed,
//! once. A replaced runner never proceeds. A take-over moves the whole run to the new runner, which
//! resumes a dispatched request instead of dispatching it again.
//!
//! The daemon queries an index only for keys whose home this instance is in its current view. The
//! guarantee assumes that a message between instances arrives within the learning time
//! ([`KeyIndexConfig::learning`]) or never.
//!
//! While a role stays at one home, its index ensures this by itself. When a role moves, the
//! previous home hands keys over one by one and refuses them afterwards, and runners announce their
//! open runs to the new home. Indexes also send it the keys that they hold as settled, so that
//! settled keys survive the loss of any one home. A new home whose predecessor is dead waits for
//! these announcements, for the learning time, before it treats a key as new. Two homes that are
//! partitioned from each other for longer than the learning time may each let one runner proceed.

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

use self::entry::{OpenRun, SettledEntry, Settlement};

mod config;
mod entry;
mod hand_over;
mod message;
mod settled;

/// Runs and settled keys for which this instance is the home.
#[derive(Debug)]
pub struct KeyIndex {
    cfg: KeyIndexConfig,
    /// Time of the last role change.
    role_since: Duration,
    learning_until: Duration,
    open: HashMap<KeyId, OpenRun>,
    settled: HashMap<KeyId, SettledEntry>,
    /// Settled keys in the order of their settlement, oldest first, with the settlement number.
    settled_by_age: VecDeque<(u64, KeyId)>,
    settlement_count: u64,
    violations: u64,
}

impl KeyIndex {
    /// Creates an empty index whose learning time starts now.
    pub fn new(cfg: KeyIndexConfig, now: Duration) -> Self {
        let learning_until = now + cfg.learning;
        Self {
            cfg,
            role_since: now,
            learning_until,
            open: HashMap::new(),
            settled: HashMap::new(),
            settled_by_age: VecDeque::new(),
            settlement_count: 0,
            violations: 0,
        }
    }

    /// Applies a view change, after which this instance may be the home of other keys.
    ///
    /// Restarts the learning time. Open runs of keys for which `is_home` returns false are marked
    /// as moved and kept only for the new home to fetch.
    pub fn roles_changed<F>(&mut self, now: Duration, is_home: F)
    where
        F: Fn(&KeyId) -> bool,
    {
        let lost_keys: Vec<KeyId> = self.open.keys().filter(|id| !is_home(id)).cloned().collect();
        for id in lost_keys {
            self.hand_over(now, &id);
        }
        self.role_since = now;
        self.learning_until = now + self.cfg.learning;
    }

    /// Registers a run of a key, or returns the existing run.
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
            if learning && run.may_be_stale() {
                return RegisterVerdict::Unknown;
            }
            return run.answer_registration(&fingerprint, &runner);
        }
        let settled = self.settled.get(&id);
        if let Some(verdict) = settled.and_then(|settled| settled.answer_registration(&fingerprint))
        {
            return verdict;
        }
        if settled.is_none() && tenure == HomeTenure::Recent && learning {
            return RegisterVerdict::Unknown;
        }
        if !self.ensure_capacity() {
            return RegisterVerdict::Full;
        }
        self.settled.remove(&id);
        self.open.insert(
            id,
            OpenRun { fingerprint, runner, progress: Progress::Waiting, unconfirmed: false },
        );
        RegisterVerdict::Registered
    }

    /// Authorizes the dispatch of a run, which each dispatch of an idempotent request requires.
    pub fn request_dispatch(
        &mut self,
        now: Duration,
        id: &KeyId,
        runner: &Runner,
        upstream: UpstreamName,
    ) -> DispatchVerdict {
        self.refresh(now, id);
        let Some(run) = self.open.get_mut(id) else {
            return self
                .settled
                .get(id)
                .map_or(DispatchVerdict::Unknown, SettledEntry::answer_dispatch);
        };
        if run.runner != *runner && self.cfg.policy.compare_runner {
            return DispatchVerdict::TakenOver { runner: run.runner.clone() };
        }
        if now < self.learning_until && run.may_be_stale() {
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

    /// Reverts a dispatch of which no byte was sent, so that the runner may try another upstream.
    ///
    /// Returns false if the run is not open or has another runner by now.
    pub fn revert_dispatch(&mut self, id: &KeyId, runner: &Runner) -> bool {
        let Some(run) = self.open.get_mut(id).filter(|run| run.runner == *runner) else {
            return false;
        };
        run.progress = Progress::Waiting;
        true
    }

    /// Replaces the dead runner of an open run.
    pub fn take_over(
        &mut self,
        now: Duration,
        id: &KeyId,
        new_runner: &Runner,
        dead_runner: &Runner,
    ) -> TakeOverVerdict {
        self.refresh(now, id);
        let Some(run) = self.open.get_mut(id) else { return TakeOverVerdict::Refused };
        // A take-over is idempotent: the new runner retries if the reply was lost.
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

    /// Records the outcome of a run and settles its key.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        id: &KeyId,
        runner: &Runner,
        outcome: Outcome,
    ) -> FinishVerdict {
        self.refresh(now, id);
        let moved = self.settled.get(id).and_then(SettledEntry::moved_run);
        let known_runner =
            self.open.get(id).map(|run| &run.runner).or(moved.map(|run| &run.runner));
        let Some(known) = known_runner else { return FinishVerdict::Unknown };
        if known != runner {
            return FinishVerdict::TakenOver { runner: known.clone() };
        }
        let settlement = Settlement::Finished { runner: runner.clone(), outcome };
        self.settle(now, id, settlement);
        FinishVerdict::Recorded
    }

    /// Removes a run that was not dispatched, so that a repeat of the request starts a new run.
    ///
    /// Returns whether the run was removed.
    pub fn release(&mut self, id: &KeyId, runner: &Runner) -> bool {
        let is_waiting = |run: &OpenRun| run.runner == *runner && run.progress == Progress::Waiting;
        if !self.open.get(id).is_some_and(is_waiting) {
            return false;
        }
        self.open.remove(id).is_some()
    }

    /// Answers a status query; voids an unknown key, which this index never dispatches afterwards.
    pub fn void(&mut self, now: Duration, id: &KeyId, tenure: HomeTenure) -> VoidVerdict {
        self.refresh(now, id);
        if let Some(run) = self.open.get(id) {
            let (runner, progress) = (run.runner.clone(), run.progress.clone());
            return VoidVerdict::Running { runner, progress };
        }
        let settled = self.settled.get(id);
        if let Some(verdict) = settled.and_then(SettledEntry::answer_status_query) {
            return verdict;
        }
        if settled.is_none() && tenure == HomeTenure::Recent && now < self.learning_until {
            return VoidVerdict::Unknown;
        }
        if !self.ensure_capacity() {
            return VoidVerdict::Full;
        }
        self.settle(now, id, Settlement::Void { local: true });
        VoidVerdict::Voided
    }

    /// Returns the open run of a key in the form sent to other homes.
    pub fn open_run(&self, id: &KeyId) -> Option<Announcement> {
        self.open.get(id).map(|run| run.announcement(id))
    }

    /// Returns the open runs whose runner is the given instance.
    pub fn open_runs_of(&self, instance: &InstanceName) -> Vec<Announcement> {
        let runs = self.open.iter().filter(|(_, run)| run.runner.instance == *instance);
        runs.map(|(id, run)| run.announcement(id)).collect()
    }

    /// Returns the number of keys, open and settled.
    pub fn len(&self) -> usize {
        self.open.len() + self.settled.len()
    }

    /// Returns whether the index holds no key, open or settled.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of dispatches known to this index that broke the once-only guarantee.
    ///
    /// Any value but zero is a bug.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn settle(&mut self, now: Duration, id: &KeyId, settlement: Settlement) {
        let moved = self.settled.get(id).and_then(SettledEntry::moved_run);
        let moved = moved.map(|run| run.fingerprint.clone());
        let fingerprint = self.open.remove(id).map(|run| run.fingerprint).or(moved);
        self.settlement_count += 1;
        let number = self.settlement_count;
        let expires = now + self.cfg.retention;
        let settled = SettledEntry { fingerprint, settlement, number, expires };
        self.settled.insert(id.clone(), settled);
        self.settled_by_age.push_back((number, id.clone()));
    }

    /// Evicts the oldest settled keys until one more key fits; false if only open runs are left.
    fn ensure_capacity(&mut self) -> bool {
        while self.len() >= self.cfg.max_keys {
            if !self.evict_oldest_settled() {
                return false;
            }
        }
        true
    }

    fn evict_oldest_settled(&mut self) -> bool {
        while let Some((number, id)) = self.settled_by_age.pop_front() {
            if self.settled.get(&id).is_some_and(|settled| settled.number == number) {
                self.settled.remove(&id);
                return true;
            }
        }
        false
    }

    /// Removes expired settled keys, and a hand-over of this key from before the last role change.
    fn refresh(&mut self, now: Duration, id: &KeyId) {
        self.expire(now);
        self.clear_stale_move(id);
    }

    fn expire(&mut self, now: Duration) {
        while let Some((number, id)) = self.settled_by_age.front() {
            match self.settled.get(id) {
                Some(settled) if settled.number == *number && settled.expires > now => return,
                Some(settled) if settled.number == *number => {
                    self.settled.remove(id);
                }
                _ => {}
            }
            self.settled_by_age.pop_front();
        }
    }
}
