//! The runner's side: asks to begin and tells how a run ended.

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

/// Longest wait for the answer of a home.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two attempts to reach a home.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a run that was not dispatched asks again; shorter than any restart of an engine.
const FRESH: Duration = Duration::from_millis(100);

/// Attempts to tell a home how a run ended.
const MAX_REPORTS: usize = 40;

/// A run that its home let begin. Dropped without a word, it counts as cut without a crash.
#[derive(Debug)]
pub struct RunGuard {
    node: Arc<Node>,
    run: OpenRun,
    begun_at: Duration,
    is_ended: bool,
}

/// What a home said to a run that would begin.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The run may be dispatched; without a trial when the watch is off.
    Run(Option<RunGuard>),
    /// The request must be permitted anew, alone on an upstream.
    Alone,
    /// The request must be permitted anew, on this upstream.
    UseUpstream(UpstreamName),
    /// The request must wait.
    Wait(Duration),
    /// The request is refused.
    Quarantined,
    /// No home answered in time.
    NoHome,
}

impl RunGuard {
    /// Returns whether the run may still be dispatched.
    ///
    /// The upstream may have crashed and come back since the run began; the home then no longer
    /// counts a crash for it, so it is asked again after a while.
    pub async fn may_dispatch(&mut self) -> bool {
        let now = clock::now();
        if now.saturating_sub(self.begun_at) < FRESH {
            return true;
        }
        self.begun_at = now;
        let begin = ask(&self.node, &self.run.start).await;
        matches!(begin, Some(RunReply::Run { alone, .. }) if !alone || self.run.alone)
    }

    /// Tells that the run ended whole.
    pub fn complete(mut self) {
        self.end(RunEnd::Completed);
    }

    /// Tells that the upstream crashed; returns once the home knows, or can't be reached.
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

/// Asks the home of a fingerprint to begin a run on an upstream that was granted.
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
    let start = node.poison.start(node, fingerprint, upstream);
    // What the home may take for begun is ended whatever becomes of this task.
    let run = OpenRun { start: start.clone(), alone: granted_alone };
    node.poison.open_run(run.clone());
    let mut trial = RunGuard { node: node.clone(), run, begun_at: clock::now(), is_ended: false };
    loop {
        trial.begun_at = clock::now();
        match ask(node, &start).await {
            Some(RunReply::Run { alone: true, .. }) if !granted_alone => {
                return BeginOutcome::Alone;
            }
            Some(RunReply::Run { .. }) => return BeginOutcome::Run(Some(trial)),
            Some(RunReply::UseUpstream { upstream }) => return BeginOutcome::UseUpstream(upstream),
            Some(RunReply::Wait { retry_after }) => return BeginOutcome::Wait(retry_after),
            Some(RunReply::Quarantined) => return BeginOutcome::Quarantined,
            None if clock::now() >= deadline => return BeginOutcome::NoHome,
            None => sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn ask(node: &Arc<Node>, start: &RunStart) -> Option<RunReply> {
    let id = FingerprintId::new(&start.fingerprint);
    let home = node.fleet.view().holder(&id, None).map(peer)?;
    let message = Message::Poison(PoisonCall::Begin(start.clone()));
    match node.peers.call(&home, message, CALL_TIMEOUT).await {
        Ok(Message::PoisonReply(PoisonReply::Begin(begin))) => Some(begin),
        Ok(_) | Err(_) => None,
    }
}

async fn report(node: &Arc<Node>, start: &RunStart, end: RunEnd) {
    let fingerprint = FingerprintId::new(&start.fingerprint);
    for _ in 0..MAX_REPORTS {
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

    /// Notes the incarnation of a member; returns the one that was known.
    pub(super) fn observe_incarnation(&self, name: &InstanceName, number: u64) -> Option<u64> {
        let mut known = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(name.clone(), number)
    }

    fn start(&self, node: &Node, fingerprint: &Fingerprint, upstream: &UpstreamName) -> RunStart {
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
