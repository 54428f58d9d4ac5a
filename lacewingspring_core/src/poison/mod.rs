//! Requests that crash the upstreams that run them.
//!
//! Each fingerprint (service and body) has a home among the instances. Before each dispatch a
//! runner asks the home to begin a run, and it tells the home how the run ended:
//!
//! * While no run of a fingerprint has ended whole, all its runs are on one upstream at a time.
//! * A fingerprint that ran on an upstream when it crashed is suspect. A suspect runs alone on one
//!   upstream of the fleet at a time.
//! * A suspect that crashes the upstream it ran alone on is quarantined, and runs no more.
//! * A run that ends whole clears a suspect, so the neighbours of a crash are cleared one by one.
//!
//! So a request that crashes each upstream that runs it takes down at most two of them: the first
//! before it is suspect, the second while it runs alone. This assumes that
//!
//! 1. the daemon dispatches only what the home of the present view let begin, and an upstream given
//!    as alone has no other work until the run ends;
//! 2. a run that an upstream's crash cut is told as `End::Crashed` by its runner, or the upstream
//!    is told as crashed, before it is told as ended in any other way; a runner that dies with its
//!    upstream may leave the report to others;
//! 3. verdicts and open runs reach a new home within its learning time, in which it lets nothing
//!    begin;
//! 4. the crash comes before the run is told as ended;
//! 5. a run that has begun is dispatched before its upstream has crashed and come back, or it asks
//!    again.
//!
//! A home that dies before it has told a crash forgets that crash, and the bound grows by one. An
//! upstream that crashes of itself during a trial has an innocent request quarantined until the
//! quarantine expires.
//!
//! A quarantine that expires leaves the fingerprint suspect, so the bound holds for each such time.

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
    alone: bool,
    /// Whether the crash of its upstream has been counted.
    counted: bool,
}

/// Watch for requests that crash upstreams, on each instance.
///
/// It knows all verdicts, and the open runs of the fingerprints whose home it is.
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
    /// Creates a watch that has just taken its role.
    pub fn new(cfg: PoisonConfig, now: Duration) -> Self {
        let learning_until = now + cfg.learning;
        let verdicts = Verdicts::new(&cfg);
        let proven = Proven::new(&cfg);
        let runs = BTreeMap::new();
        Self { cfg, learning_until, verdicts, proven, runs, by_fingerprint: HashMap::new() }
    }

    /// Notes that the view has changed and this instance may be the home of other fingerprints.
    ///
    /// Runs of fingerprints whose home it isn't any more are dropped; runners announce them to the
    /// new home.
    pub fn roles_changed<F>(&mut self, now: Duration, is_home: F)
    where
        F: Fn(FingerprintId) -> bool,
    {
        let foreign = self.runs.iter().filter(|(_, run)| !is_home(run.fingerprint));
        let foreign: Vec<RunId> = foreign.map(|(id, _)| id.clone()).collect();
        for id in foreign {
            self.remove(&id);
        }
        self.learning_until = now + self.cfg.learning;
    }

    /// Returns the verdict on a fingerprint; any instance may refuse the quarantined by it.
    pub fn verdict(&mut self, now: Duration, fingerprint: &Fingerprint) -> Verdict {
        self.verdicts.get(now, FingerprintId::new(fingerprint))
    }

    /// Asks to begin a run; to be asked of the fingerprint's home before each dispatch.
    pub fn request_run(&mut self, now: Duration, start: RunStart) -> RunReply {
        let fingerprint = FingerprintId::new(&start.fingerprint);
        let verdict = self.verdicts.get(now, fingerprint);
        if verdict == Verdict::Quarantined {
            return RunReply::Quarantined;
        }
        // A question whose answer was lost is answered again, unless a crash came between.
        match self.runs.get(&start.id) {
            Some(run) if run.counted => drop(self.remove(&start.id)),
            Some(run) => return RunReply::Run { upstream: run.upstream.clone(), alone: run.alone },
            None => {}
        }
        if now < self.learning_until {
            return RunReply::Wait { retry_after: self.learning_until - now };
        }
        let alone = verdict == Verdict::Suspect;
        if let Some(refusal) = self.refuse_beside(now, fingerprint, &start, alone) {
            return refusal;
        }
        let upstream = start.upstream.clone();
        let run = Run { fingerprint, upstream: start.upstream, alone, counted: false };
        self.insert(start.id, run);
        RunReply::Run { upstream, alone }
    }

    /// Ends a run. It may be told more than once.
    pub fn record_end(&mut self, now: Duration, id: &RunId, end: RunEnd) {
        let Some(run) = self.remove(id) else { return };
        match end {
            RunEnd::Completed if !run.counted => {
                self.proven.insert(now, run.fingerprint);
                self.verdicts.clear(now, run.fingerprint);
            }
            RunEnd::Crashed if !run.counted => self.count_crash(now, &run),
            RunEnd::Completed | RunEnd::Crashed | RunEnd::Aborted => {}
        }
    }

    /// Counts the crash of an upstream for all that runs on it.
    ///
    /// It must be told before the upstream is used again, and once for each crash. The runs stay open until their runners tell their end.
    pub fn record_upstream_crash(&mut self, now: Duration, upstream: &UpstreamName) {
        let hit = self.runs.values_mut().filter(|run| run.upstream == *upstream && !run.counted);
        let mut hit: Vec<Run> = hit
            .map(|run| {
                let before = run.clone();
                run.counted = true;
                before
            })
            .collect();
        hit.sort_by_key(|run| run.fingerprint);
        hit.dedup_by_key(|run| run.fingerprint);
        for run in hit {
            self.count_crash(now, &run);
        }
    }

    /// Ends the runs of a runner that is gone; how they ended is unknown, so they are suspect.
    pub fn remove_runner(&mut self, now: Duration, instance: &str, incarnation: u64) {
        let is_theirs = |id: &&RunId| {
            id.runner.instance.as_str() == instance && id.runner.incarnation == incarnation
        };
        let ids: Vec<RunId> = self.runs.keys().filter(is_theirs).cloned().collect();
        for id in ids {
            let Some(run) = self.remove(&id) else { continue };
            if !run.counted && self.cfg.policy.suspect_orphans {
                self.verdicts.suspect(now, run.fingerprint);
            }
        }
    }

    /// Takes an open run that its runner announces to a new home.
    pub fn merge_announcement(&mut self, start: RunStart, alone: bool) {
        let fingerprint = FingerprintId::new(&start.fingerprint);
        if !self.runs.contains_key(&start.id) {
            let run = Run { fingerprint, upstream: start.upstream, alone, counted: false };
            self.insert(start.id, run);
        }
    }

    /// Returns the verdicts that changed since the last call, for the next heartbeats.
    pub fn take_reports(&mut self) -> Vec<VerdictReport> {
        self.verdicts.take_changes()
    }

    /// Returns all verdicts, for an instance that has just joined.
    pub fn all_reports(&self) -> Vec<VerdictReport> {
        self.verdicts.all()
    }

    /// Takes verdicts that other instances report.
    pub fn merge_reports(&mut self, now: Duration, reports: &[VerdictReport]) {
        for report in reports {
            self.verdicts.merge(now, *report);
        }
    }

    /// Returns the number of open runs.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Refuses a run beside others of its fingerprint; none when it may begin.
    fn refuse_beside(
        &mut self,
        now: Duration,
        fingerprint: FingerprintId,
        start: &RunStart,
        alone: bool,
    ) -> Option<RunReply> {
        let first = self.by_fingerprint.get(&fingerprint)?.first()?;
        let upstream = self.runs.get(first)?.upstream.clone();
        if alone {
            let busy = self.cfg.policy.single_trial;
            return busy.then_some(RunReply::Wait { retry_after: self.cfg.trial_retry_after });
        }
        let spread = self.proven.contains(now, fingerprint) || !self.cfg.policy.single_upstream;
        (!spread && upstream != start.upstream).then_some(RunReply::UseUpstream { upstream })
    }

    fn count_crash(&mut self, now: Duration, run: &Run) {
        self.proven.remove(run.fingerprint);
        // The other runs on the same upstream were cut by the same crash.
        for other in self.by_fingerprint.get(&run.fingerprint).into_iter().flatten() {
            if let Some(other) = self.runs.get_mut(other)
                && other.upstream == run.upstream
            {
                other.counted = true;
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
