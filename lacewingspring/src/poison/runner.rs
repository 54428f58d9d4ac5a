//! Runner's side of poison detection: asks the home of a fingerprint before each run and reports
//! how the run ended.

use std::{
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use lacewingspring_core::{
    key_index::Runner,
    names::{Fingerprint, InstanceName, UpstreamName},
    poison::{FingerprintId, RunEnd, RunId, RunReply, RunStart},
};
use tokio::time::sleep;

use super::Poison;
use crate::{
    clock,
    daemon::Node,
    membership::peer,
    peers::{Message, OpenRun, PoisonCall, PoisonReply},
};

/// Timeout of a call to a home.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two attempts to reach a home.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Age from which a home's reply must be renewed before the dispatch; shorter than any restart of
/// an engine.
const MAX_REPLY_AGE: Duration = Duration::from_millis(100);

/// Most attempts to report to a home how a run ended.
const MAX_REPORT_ATTEMPTS: usize = 40;

/// A run that the home of its fingerprint permitted. Dropping the guard reports
/// [`RunEnd::Aborted`]: no crash is counted.
#[derive(Debug)]
pub struct RunGuard {
    node: Arc<Node>,
    run: OpenRun,
    /// Time of the last call to the home.
    asked_at: Duration,
    is_ended: bool,
}

/// Reply of a home to a run that asked to begin.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The run may be dispatched; the guard is `None` if poison detection is off.
    Run(Option<RunGuard>),
    /// The request needs a new permit, for an upstream on which nothing else runs.
    Alone,
    /// The request needs a new permit, for this upstream.
    UseUpstream(UpstreamName),
    /// The request must wait for this time before it asks again.
    Wait(Duration),
    /// The request is quarantined and must be refused.
    Quarantined,
    /// No home answered before the deadline.
    NoHome,
}

impl RunGuard {
    /// Returns whether the run may still be dispatched.
    ///
    /// Asks the home again if its reply is older than `MAX_REPLY_AGE`: the upstream may have
    /// crashed and restarted since, and the home would then no longer count a crash for this run.
    pub async fn may_dispatch(&mut self) -> bool {
        let now = clock::now();
        if now.saturating_sub(self.asked_at) < MAX_REPLY_AGE {
            return true;
        }
        self.asked_at = now;
        let reply = request_run(&self.node, &self.run.start).await;
        matches!(reply, Some(RunReply::Run { alone, .. }) if !alone || self.run.alone)
    }

    /// Reports that the run completed.
    pub fn complete(mut self) {
        self.end(RunEnd::Completed);
    }

    /// Reports that the upstream crashed. Returns once the home has confirmed the report or all
    /// attempts have failed.
    pub async fn report_crash(mut self) {
        self.is_ended = true;
        self.node.poison.close_run(self.run.start.id.number);
        report(&self.node, &self.run.start, RunEnd::Crashed).await;
    }

    fn end(&mut self, end: RunEnd) {
        self.is_ended = true;
        self.node.poison.close_run(self.run.start.id.number);
        let (node, start) = (self.node.clone(), self.run.start.clone());
        tokio::spawn(async move { report(&node, &start, end).await });
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(RunEnd::Aborted);
        }
    }
}

/// Asks the home of a fingerprint whether a run may begin on the granted upstream.
pub async fn begin(
    node: &Arc<Node>,
    fingerprint: &Fingerprint,
    upstream: &UpstreamName,
    granted_alone: bool,
    deadline: Duration,
) -> BeginOutcome {
    if !node.poison.enabled {
        return BeginOutcome::Run(None);
    }
    let start = node.poison.new_run(node, fingerprint, upstream);
    // Created before the first call: if this task is dropped, the guard ends the run that the home
    // may have recorded.
    let run = OpenRun { start: start.clone(), alone: granted_alone };
    node.poison.open_run(run.clone());
    let mut guard = RunGuard { node: node.clone(), run, asked_at: clock::now(), is_ended: false };
    loop {
        guard.asked_at = clock::now();
        match request_run(node, &start).await {
            Some(RunReply::Run { alone: true, .. }) if !granted_alone => {
                return BeginOutcome::Alone;
            }
            Some(RunReply::Run { .. }) => return BeginOutcome::Run(Some(guard)),
            Some(RunReply::UseUpstream { upstream }) => return BeginOutcome::UseUpstream(upstream),
            Some(RunReply::Wait { retry_after }) => return BeginOutcome::Wait(retry_after),
            Some(RunReply::Quarantined) => return BeginOutcome::Quarantined,
            None if clock::now() >= deadline => return BeginOutcome::NoHome,
            None => sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn request_run(node: &Arc<Node>, start: &RunStart) -> Option<RunReply> {
    let id = FingerprintId::new(&start.fingerprint);
    let home = node.fleet.view().holder(&id, None).map(peer)?;
    let message = Message::Poison(PoisonCall::Begin(start.clone()));
    match node.peers.call(&home, message, CALL_TIMEOUT).await {
        Ok(Message::PoisonReply(PoisonReply::Begin(reply))) => Some(reply),
        Ok(_) | Err(_) => None,
    }
}

async fn report(node: &Arc<Node>, start: &RunStart, end: RunEnd) {
    let fingerprint = FingerprintId::new(&start.fingerprint);
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let call = PoisonCall::Ended { fingerprint, id: start.id.clone(), end };
        let home = node.fleet.view().holder(&fingerprint, None).map(peer);
        if let Some(home) = home {
            let reply = node.peers.call(&home, Message::Poison(call), CALL_TIMEOUT).await;
            if let Ok(Message::PoisonReply(PoisonReply::Done)) = reply {
                return;
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

impl Poison {
    /// Returns the open runs of this instance.
    pub(super) fn open_runs(&self) -> Vec<OpenRun> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.values().cloned().collect()
    }

    /// Records the incarnation of a member; returns the one recorded before.
    pub(super) fn record_incarnation(&self, name: &InstanceName, number: u64) -> Option<u64> {
        let mut known = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(name.clone(), number)
    }

    fn new_run(&self, node: &Node, fingerprint: &Fingerprint, upstream: &UpstreamName) -> RunStart {
        let instance = node.settings.instance.clone();
        let runner = Runner { instance, incarnation: node.incarnation };
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        RunStart {
            id: RunId { runner, number },
            fingerprint: fingerprint.clone(),
            upstream: upstream.clone(),
        }
    }

    fn open_run(&self, run: OpenRun) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.insert(run.start.id.number, run);
    }

    fn close_run(&self, number: u64) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
    }
}
