//! Detects requests that crash upstreams.
//!
//! The home of a request's fingerprint decides on each of its runs; verdicts go to all instances.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use lacewingspring_core::{
    names::{Fingerprint, InstanceName},
    poison::{FingerprintId, PoisonConfig, PoisonDetector, RunReply, Verdict, VerdictReport},
};

use crate::{
    clock,
    daemon::Node,
    membership::{is_up, peer},
    peers::{Message, PoisonCall, PoisonReply},
    settings::{Mechanism, TestSettings},
};

pub use self::{
    follow::follow_members,
    runner::{BeginOutcome, RunGuard, begin},
    stored::read_stored,
};

mod follow;
mod runner;
mod stored;

/// Timeout for sending verdicts or open runs to a member.
const VERDICTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a new home of a fingerprint waits for runners to announce their open runs.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(400);

/// Poison detector of this instance and the open runs that it must report.
#[derive(Debug)]
pub struct Poison {
    enabled: bool,
    detector: Mutex<PoisonDetector>,
    /// Time of the last change of the members.
    changed_at: Mutex<Duration>,
    /// Last known incarnation of each member.
    incarnations: Mutex<HashMap<InstanceName, u64>>,
    /// Open runs of this instance by the number of the run.
    open: Mutex<HashMap<u64, crate::peers::OpenRun>>,
    next_run: AtomicU64,
}

impl Poison {
    /// Creates a detector without verdicts or open runs.
    pub fn new(settings: &TestSettings, now: Duration) -> Self {
        // `remaining_wait` implements the wait, only for fingerprints whose home has changed.
        let cfg = PoisonConfig { learning: Duration::ZERO, ..PoisonConfig::default() };
        Self {
            enabled: settings.is_on(Mechanism::PoisonWatch),
            detector: Mutex::new(PoisonDetector::new(cfg, now)),
            changed_at: Mutex::new(now),
            incarnations: Mutex::default(),
            open: Mutex::default(),
            next_run: AtomicU64::new(0),
        }
    }

    /// Returns this instance's verdict on a request; `Clear` if poison detection is off.
    pub fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        if !self.enabled {
            return Verdict::Clear;
        }
        self.detector().verdict(clock::now(), fingerprint)
    }

    fn detector(&self) -> MutexGuard<'_, PoisonDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changed_at(&self) -> MutexGuard<'_, Duration> {
        self.changed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a call about a request that may crash upstreams.
pub fn serve(node: &Arc<Node>, call: PoisonCall) -> PoisonReply {
    let now = clock::now();
    match call {
        PoisonCall::Begin(start) => {
            let id = FingerprintId::new(&start.fingerprint);
            if !is_home(node, id) {
                return PoisonReply::NotHome;
            }
            if let Some(retry_after) = remaining_wait(node, now, id) {
                return PoisonReply::Begin(RunReply::Wait { retry_after });
            }
            PoisonReply::Begin(node.poison.detector().request_run(now, start))
        }
        PoisonCall::Ended { fingerprint, id, end } => {
            if !is_home(node, fingerprint) {
                return PoisonReply::NotHome;
            }
            node.poison.detector().record_end(now, &id, end);
            publish_changes(node);
            PoisonReply::Done
        }
        PoisonCall::Announce(runs) => {
            let mut detector = node.poison.detector();
            for run in runs {
                detector.merge_announcement(run.start, run.alone);
            }
            PoisonReply::Done
        }
        PoisonCall::Verdicts(reports) => {
            let mut detector = node.poison.detector();
            detector.merge_reports(now, &reports);
            // Discards the reports that the merge queued: their sender sends them to all members.
            detector.take_reports();
            PoisonReply::Done
        }
    }
}

/// Returns how long a new home of a fingerprint still waits for announcements; `None` if over.
fn remaining_wait(node: &Node, now: Duration, id: FingerprintId) -> Option<Duration> {
    let until = *node.poison.changed_at() + ANNOUNCEMENT_WAIT;
    let is_new = !node.fleet.view().previous_holders(&id, None).is_empty();
    (is_new && now < until).then(|| until - now)
}

fn is_home(node: &Node, id: FingerprintId) -> bool {
    let view = node.fleet.view();
    view.holder(&id, None).is_some_and(|holder| holder.name == node.settings.instance)
}

/// Sends the verdicts that changed to all members and stores quarantines in the key-value service.
fn publish_changes(node: &Arc<Node>) {
    let reports = node.poison.detector().take_reports();
    if reports.is_empty() {
        return;
    }
    for report in reports.iter().filter(|report| report.verdict == Verdict::Quarantined) {
        log::warn!(fingerprint:? = report.fingerprint; "Quarantines a request.");
        tokio::spawn(stored::store(node.clone(), *report));
    }
    broadcast(node, &reports);
}

fn broadcast(node: &Arc<Node>, reports: &[VerdictReport]) {
    let view = node.fleet.view();
    let own = &node.settings.instance;
    let others = view.members.iter().filter(|member| is_up(member) && member.name != *own);
    for member in others.map(peer) {
        let node = node.clone();
        let message = Message::Poison(PoisonCall::Verdicts(reports.to_vec()));
        tokio::spawn(async move {
            let _ = node.peers.call(&member, message, VERDICTS_TIMEOUT).await;
        });
    }
}
