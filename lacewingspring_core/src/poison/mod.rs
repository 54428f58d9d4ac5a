//! Detection of requests that crash the upstreams that run them (poison requests).
//!
//! Each fingerprint (service and body) has a home among the instances. Before each dispatch a
//! runner asks the home to start a run, and afterwards it reports to the home how the run ended:
//!
//! * Until a run of a fingerprint has completed, all its runs are on one upstream at a time.
//! * A fingerprint that ran on an upstream when it crashed is a suspect. A suspect has one run at a
//!   time in the whole fleet, alone on its upstream (a trial).
//! * A suspect that crashes the upstream on which it ran alone is quarantined: it is not run again.
//! * A run that completes clears a suspect, so the requests that ran beside a poison request are
//!   cleared one by one.
//!
//! So a request that crashes each upstream that runs it takes down at most two of them: the first
//! before it is a suspect, the second while it runs alone. This assumes that
//!
//! 1. the daemon dispatches only runs that the home of the current view has allowed, and an
//!    upstream that was granted alone gets no other work until the run ends;
//! 2. a run that a crash of its upstream broke off is reported as `RunEnd::Crashed` by its runner,
//!    or the crash of the upstream is reported, before any other end of the run is reported; a
//!    runner that dies with its upstream may leave the report to others;
//! 3. verdicts and open runs reach a new home within its learning time, in which it starts no run;
//! 4. the crash occurs before the end of the run is reported;
//! 5. a run that the home has allowed is dispatched before its upstream has crashed and restarted,
//!    or its runner asks again.
//!
//! If a home dies before it has reported a crash to the other instances, the crash is forgotten and
//! the bound grows by one. If an upstream crashes during a trial for another reason, an innocent
//! request is quarantined until the quarantine expires.
//!
//! A fingerprint whose quarantine expires becomes a suspect again, so the bound holds anew for each
//! such period.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::names::{Fingerprint, UpstreamName};

pub use self::{
    config::{PoisonConfig, PoisonPolicy},
    message::{FingerprintId, RunEnd, RunId, RunReply, RunStart, Verdict, VerdictReport},
};

use self::{proven::Proven, verdicts::Verdicts};

mod config;
mod message;
mod proven;
mod verdicts;

/// One open run of a fingerprint.
#[derive(Clone, Debug)]
struct Run {
    fingerprint: FingerprintId,
    upstream: UpstreamName,
    /// Whether the upstream runs nothing else until the run ends.
    alone: bool,
    /// Whether a crash of the upstream during the run has been counted.
    crash_counted: bool,
}

/// Detector of poison requests, one per instance.
///
/// It holds all verdicts, and the open runs of the fingerprints whose home is this instance.
#[derive(Debug)]
pub struct PoisonDetector {
    cfg: PoisonConfig,
    learning_until: Duration,
    verdicts: Verdicts,
    proven: Proven,
    runs: BTreeMap<RunId, Run>,
    by_fingerprint: HashMap<FingerprintId, Vec<RunId>>,
}

impl PoisonDetector {
    /// Creates the detector of an instance that has just become a home, so its learning time
    /// starts.
    pub fn new(cfg: PoisonConfig, now: Duration) -> Self {
        let learning_until = now + cfg.learning;
        let verdicts = Verdicts::new(&cfg);
        let proven = Proven::new(&cfg);
        let runs = BTreeMap::new();
        Self { cfg, learning_until, verdicts, proven, runs, by_fingerprint: HashMap::new() }
    }

    /// Updates the roles after a change of the view, and restarts the learning time.
    ///
    /// Open runs of fingerprints whose home is now another instance are dropped; their runners
    /// announce them to the new home.
    pub fn roles_changed<F>(&mut self, now: Duration, is_home: F)
    where
        F: Fn(FingerprintId) -> bool,
    {
        let moved = self.runs.iter().filter(|(_, run)| !is_home(run.fingerprint));
        let moved: Vec<RunId> = moved.map(|(id, _)| id.clone()).collect();
        for id in moved {
            self.remove(&id);
        }
        self.learning_until = now + self.cfg.learning;
    }

    /// Returns the verdict on a fingerprint. Any instance may refuse a quarantined request by it.
    pub fn verdict(&mut self, now: Duration, fingerprint: &Fingerprint) -> Verdict {
        self.verdicts.get(now, FingerprintId::new(fingerprint))
    }

    /// Decides on the start of a run, at the home of the fingerprint; runners ask before each
    /// dispatch.
    pub fn request_run(&mut self, now: Duration, start: RunStart) -> RunReply {
        let fingerprint = FingerprintId::new(&start.fingerprint);
        let verdict = self.verdicts.get(now, fingerprint);
        if verdict == Verdict::Quarantined {
            return RunReply::Quarantined;
        }
        // A runner whose reply was lost asks again and gets the same reply, unless the upstream has
        // crashed in between.
        match self.runs.get(&start.id) {
            Some(run) if run.crash_counted => drop(self.remove(&start.id)),
            Some(run) => return RunReply::Run { upstream: run.upstream.clone(), alone: run.alone },
            None => {}
        }
        if now < self.learning_until {
            return RunReply::Wait { retry_after: self.learning_until - now };
        }
        let alone = verdict == Verdict::Suspect;
        if let Some(refusal) = self.check_open_runs(now, fingerprint, &start, alone) {
            return refusal;
        }
        let upstream = start.upstream.clone();
        let run = Run { fingerprint, upstream: start.upstream, alone, crash_counted: false };
        self.insert(start.id, run);
        RunReply::Run { upstream, alone }
    }

    /// Records the end of a run. Repeated reports have no effect.
    pub fn record_end(&mut self, now: Duration, id: &RunId, end: RunEnd) {
        let Some(run) = self.remove(id) else { return };
        match end {
            RunEnd::Completed if !run.crash_counted => {
                self.proven.insert(now, run.fingerprint);
                self.verdicts.clear(now, run.fingerprint);
            }
            RunEnd::Crashed if !run.crash_counted => self.count_crash(now, &run),
            RunEnd::Completed | RunEnd::Crashed | RunEnd::Aborted => {}
        }
    }

    /// Counts a crash of an upstream against all fingerprints that run on it.
    ///
    /// It must be called once for each crash, before the upstream gets new work. The runs stay open
    /// until their runners report the end.
    pub fn record_upstream_crash(&mut self, now: Duration, upstream: &UpstreamName) {
        let affected =
            self.runs.values_mut().filter(|run| run.upstream == *upstream && !run.crash_counted);
        let mut affected: Vec<Run> = affected
            .map(|run| {
                let before = run.clone();
                run.crash_counted = true;
                before
            })
            .collect();
        affected.sort_by_key(|run| run.fingerprint);
        affected.dedup_by_key(|run| run.fingerprint);
        for run in affected {
            self.count_crash(now, &run);
        }
    }

    /// Ends the open runs of a runner that has left the fleet. How they ended is unknown, so their
    /// fingerprints become suspects.
    pub fn remove_runner(&mut self, now: Duration, instance: &str, incarnation: u64) {
        let is_theirs = |id: &&RunId| {
            id.runner.instance.as_str() == instance && id.runner.incarnation == incarnation
        };
        let ids: Vec<RunId> = self.runs.keys().filter(is_theirs).cloned().collect();
        for id in ids {
            let Some(run) = self.remove(&id) else { continue };
            if !run.crash_counted && self.cfg.policy.suspect_orphans {
                self.verdicts.suspect(now, run.fingerprint);
            }
        }
    }

    /// Adds an open run that its runner announces to this new home.
    pub fn merge_announcement(&mut self, start: RunStart, alone: bool) {
        let fingerprint = FingerprintId::new(&start.fingerprint);
        if !self.runs.contains_key(&start.id) {
            let run = Run { fingerprint, upstream: start.upstream, alone, crash_counted: false };
            self.insert(start.id, run);
        }
    }

    /// Takes the verdicts that changed since the last call, to be reported to all instances.
    pub fn take_reports(&mut self) -> Vec<VerdictReport> {
        self.verdicts.take_changes()
    }

    /// Returns all verdicts, for an instance that has just joined.
    pub fn all_reports(&self) -> Vec<VerdictReport> {
        self.verdicts.all()
    }

    /// Merges verdicts that other instances report.
    pub fn merge_reports(&mut self, now: Duration, reports: &[VerdictReport]) {
        for report in reports {
            self.verdicts.merge(now, *report);
        }
    }

    /// Returns the number of open runs.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the refusal of a run if other open runs of its fingerprint rule it out; `None` if it
    /// may start.
    fn check_open_runs(
        &mut self,
        now: Duration,
        fingerprint: FingerprintId,
        start: &RunStart,
        alone: bool,
    ) -> Option<RunReply> {
        let first = self.by_fingerprint.get(&fingerprint)?.first()?;
        let upstream = self.runs.get(first)?.upstream.clone();
        if alone {
            let exclusive = self.cfg.policy.single_trial;
            return exclusive.then_some(RunReply::Wait { retry_after: self.cfg.trial_retry_after });
        }
        let unrestricted =
            self.proven.contains(now, fingerprint) || !self.cfg.policy.single_upstream;
        (!unrestricted && upstream != start.upstream).then_some(RunReply::UseUpstream { upstream })
    }

    fn count_crash(&mut self, now: Duration, run: &Run) {
        self.proven.remove(run.fingerprint);
        // The same crash broke off the other runs of the fingerprint on this upstream.
        for other in self.by_fingerprint.get(&run.fingerprint).into_iter().flatten() {
            if let Some(other) = self.runs.get_mut(other)
                && other.upstream == run.upstream
            {
                other.crash_counted = true;
            }
        }
        if run.alone && self.cfg.policy.quarantine {
            self.verdicts.quarantine(now, run.fingerprint);
        } else {
            self.verdicts.suspect(now, run.fingerprint);
        }
    }

    fn insert(&mut self, id: RunId, run: Run) {
        self.by_fingerprint.entry(run.fingerprint).or_default().push(id.clone());
        self.runs.insert(id, run);
    }

    fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.runs.remove(id)?;
        if let Some(ids) = self.by_fingerprint.get_mut(&run.fingerprint) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.by_fingerprint.remove(&run.fingerprint);
            }
        }
        Some(run)
    }
}
